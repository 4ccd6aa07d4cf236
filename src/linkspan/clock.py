"""The one steady clock of the product.

It counts the time for which the machine was suspended, as the time of day does, and never
jumps. What others do meanwhile goes on: an heir claims a shard, a lease at an executor ends, a
caller gives up. A clock that leaves that time out would make an owner believe its proof, and
what it heard, that much younger than they are.

Timers of the event loop do not count it: what wakes compares this clock before it acts.
"""

from __future__ import annotations

import time


def steady() -> float:
    """Return steady time in seconds, from an arbitrary zero that all processes here share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
