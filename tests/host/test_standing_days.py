"""Troubles that overlap leave no standing task away for long beside room for it."""

from __future__ import annotations

import pytest

from tests.host.standing_day import StandingDay
from tests.virtual_time import run_virtual

# On two of these days tasks are lost by a hall that takes no loan of a job that it moved away.


@pytest.mark.parametrize("seed", [0, 1, 3, 9])
def test_no_standing_task_is_forgotten(seed: int) -> None:
    day = StandingDay(seed)
    world = run_virtual(day.play(), limit_s=400.0)
    assert world.problems == [], day.told
