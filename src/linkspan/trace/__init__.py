"""Traces one job through the logs of all hosts."""

from linkspan.trace._lines import TraceLine, trace
from linkspan.trace._starts import Start, repeated_starts
from linkspan.trace._summary import summary

__all__ = ["Start", "TraceLine", "repeated_starts", "summary", "trace"]
