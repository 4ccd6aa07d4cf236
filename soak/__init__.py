"""Runs real host processes under drawn faults and judges what callers and executors see."""
