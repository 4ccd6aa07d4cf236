"""Steady clock that includes the time for which the machine was suspended.

The clock never jumps. While a machine is suspended, other hosts go on: the next owner claims a
shard, leases at executors expire and callers time out. With a clock that excludes the suspended
time, an owner would underestimate the age of its proof of ownership and of the reports that it
has received.

Timers of the event loop exclude the suspended time, so code that a timer wakes checks this clock
before it acts.
"""

from __future__ import annotations

import time


def steady() -> float:
    """Return the steady time in seconds since an arbitrary start that all local processes share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_offset_s() -> float:
    """Return the time of day, in seconds since 1970, minus the steady time.

    It changes when the time of day is set.
    """
    return time.time() - steady()
