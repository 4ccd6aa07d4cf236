"""Troubles that overlap leave no standing task away for long beside room for it."""

from __future__ import annotations

import pytest

from tests.host.standing_day import StandingDay
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("seed", range(4))
def test_no_standing_task_is_forgotten(seed: int) -> None:
    day = StandingDay(seed)
    world = run_virtual(day.play(), limit_s=400.0)
    assert world.problems == [], day.told
