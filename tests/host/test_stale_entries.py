"""Entries that outlast their executors, and entries that expire early, break no promise.

The failure: tasks ran on two executors at once, and tasks started again after their end.

An executor crashed, its next incarnation accepted work, and the store was down for some seconds,
during which the entry of the running incarnation expired and that of the crashed one stayed. A
host that then took over the hall read the old entry only, and took the crashed incarnation for a
later one than the running one.

Without that inference, the same randomized days break nothing.
"""

from __future__ import annotations

import pytest

from tests.host.stale_entries_day import StaleEntriesDay
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("seed", [147, 278, 384])
def test_stale_and_missing_entries_break_no_promise(seed: int) -> None:
    day = StaleEntriesDay(seed)
    world = run_virtual(day.play(), limit_s=400.0)
    assert world.problems == [], day.fault_log
