"""Overlapping faults, with callers that poll and send again, break no promise."""

from __future__ import annotations

import pytest

from tests.host.overlapping_day import OverlappingDay
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("seed", range(5))
def test_overlapping_troubles_break_no_promise(seed: int) -> None:
    day = OverlappingDay(seed)
    world = run_virtual(day.play(), limit_s=400.0)
    assert world.problems == [], day.fault_log
