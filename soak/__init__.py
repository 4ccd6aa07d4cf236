"""Runs host processes under random faults and checks what callers and executors observe."""
