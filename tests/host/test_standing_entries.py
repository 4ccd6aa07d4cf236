"""Entries that outlast their executors, and entries that go early, break no promise.

What was seen: tasks ran on two executors at once, and tasks began again after their end.

How it came about: an executor crashed, its next life took work, and the store went down for some
seconds, during which the entry of the living one went and that of the crashed one stayed. Who took
the hall over then read the old entry alone and took it for the living executor's successor.

What proved it: the drawn days below; without that inference the same days break nothing.
"""

from __future__ import annotations

import pytest

from tests.host.standing_entries_day import StandingEntriesDay
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("seed", [147, 278, 384])
def test_entries_that_stand_or_go_break_no_promise(seed: int) -> None:
    day = StandingEntriesDay(seed)
    world = run_virtual(day.play(), limit_s=400.0)
    assert world.problems == [], day.told
