"""Handling of executor reports: found, missing and ended runs, crashes, restarts and liveness."""
