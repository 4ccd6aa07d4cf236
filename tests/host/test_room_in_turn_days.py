"""Standing tasks use small pieces of room that come free in turn in halls that are nearly full."""

from __future__ import annotations

import pytest

from tests.host.room_in_turn_day import RoomInTurnDay
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("seed", [32000, 32008])
def test_standing_tasks_use_room_that_comes_free_in_turn(seed: int) -> None:
    """Guards against waits that add up: for room at home, a move in vain, and summaries."""
    assert run_virtual(RoomInTurnDay(seed).play(), limit_s=120.0).problems == []
