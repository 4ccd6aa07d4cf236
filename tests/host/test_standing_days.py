"""Overlapping faults do not keep a standing task from running for long where there is capacity."""

from __future__ import annotations

import pytest

from tests.host.standing_day import StandingDay
from tests.virtual_time import run_virtual

# Two of these seeds guard against tasks that are lost because a hall accepts no delegation of a
# job that it moved away.


@pytest.mark.parametrize("seed", [0, 1, 3, 9])
def test_no_standing_task_is_forgotten(seed: int) -> None:
    day = StandingDay(seed)
    world = run_virtual(day.play(), limit_s=400.0)
    assert world.problems == [], day.fault_log
