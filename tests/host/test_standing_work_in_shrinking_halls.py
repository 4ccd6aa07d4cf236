"""Standing work gets the room that short work does not use, also where halls lose executors."""

from __future__ import annotations

from statistics import fmean

import pytest

from tests.host.shrinking_halls_day import STANDING_STAY_S, ShrinkingHallsDay
from tests.virtual_time import run_virtual

MAX_BESIDE_ROOM_S = STANDING_STAY_S
"""Longest time for which a caller may be refused beside room for all of its job, in seconds: room
that short work does not use is not kept for longer than a standing job stays (admission.md)."""

MIN_STANDING_SHARE = 0.8
"""Of the room beside short work: tasks of 8 cores leave up to an eighth of an executor of 64."""

MIN_SHORT_IN_TIME_SHARE = 0.48
"""Highest share of a kind of work that any customer's terms require to be served in time."""


@pytest.mark.parametrize(("seed", "short_work"), [(0, "burst"), (1, "burst")])
def test_no_standing_job_is_refused_for_long_for_short_work_that_does_not_come(
    seed: int, short_work: str
) -> None:
    """Guards against room that is kept for the rest of a day after a burst of short work."""
    day = ShrinkingHallsDay(seed, short_work)
    assert run_virtual(day.play(), limit_s=200.0).problems == []
    assert day.longest_room_s <= MAX_BESIDE_ROOM_S
    assert fmean(day.shares) >= MIN_STANDING_SHARE
    assert day.in_time_share() >= MIN_SHORT_IN_TIME_SHARE
