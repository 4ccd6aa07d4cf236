"""Random days on which halls lose their executors for good; more seeds are played by hand."""

from __future__ import annotations

import pytest

from tests.host.lost_hall_day import WAYS, LostHallDay
from tests.virtual_time import run_virtual

SEEDS = (1, 9, 1002)
"""Seeds that lost jobs: two before work of a job that has begun could leave its hall, the last one
as the return of one repetition hid that of another."""


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("way", sorted(WAYS))
def test_no_job_is_lost_with_a_halls_executors(way: str, seed: int) -> None:
    """Guards against accepted jobs that never end after a loss, and runs that come twice."""
    assert run_virtual(LostHallDay(seed, way).play()) == []
