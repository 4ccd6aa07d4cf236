"""Scheduler for latency-critical services and batch work on the same hosts."""

__version__ = "0.1.0"
