"""Random days with evacuations beside overlapping faults."""

from __future__ import annotations

import pytest

from tests.host.evacuation_day import EvacuationDay
from tests.virtual_time import run_virtual

LIMIT_S = 200.0
"""Longest duration of a day, in virtual seconds."""


@pytest.mark.parametrize("seed", range(8100, 8104))
def test_a_day_with_evacuations_breaks_no_promise(seed: int) -> None:
    day = EvacuationDay(seed)
    assert run_virtual(day.play(), limit_s=LIMIT_S).problems == []
    # A day on which no owner learns of an evacuation tests nothing. Some halls have no owner.
    names = [event for _, event, _ in day.world.log.lines]
    assert names.count("EVACUATION_IN_FORCE") >= day.evacuated > 0
    assert names.count("HALL_EVACUATED") > day.evacuated / 2
