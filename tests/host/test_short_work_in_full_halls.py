"""Short work of every size is served in halls that standing work would fill."""

from __future__ import annotations

from statistics import fmean

import pytest

from tests.host.full_hall_day import SHORT_CORES, FullHallDay
from tests.virtual_time import run_virtual

MIN_IN_TIME_SHARE = 0.48
"""Highest share of a kind of work that any customer's terms require to be served in time."""

MIN_SIZE_FACTOR = 0.5
"""The customers' terms: no size may be served less than half as often as the whole kind."""

MIN_STANDING_SHARE = 0.7
"""A tenth of the cores is for short work, and beside standing tasks of 9 to 18 cores up to a fifth
of an executor of 64 is left over."""


@pytest.mark.parametrize(
    ("seed", "halls"), [(0, ("east",)), (1, ("east",)), (2, ("east",)), (3, ("east", "west"))]
)
def test_short_work_of_every_size_is_served_beside_standing_jobs_that_keep_coming(
    seed: int, halls: tuple[str, ...]
) -> None:
    """Guards against standing jobs that are accepted beyond all room and take each free piece."""
    day = FullHallDay(seed, halls)
    assert run_virtual(day.play(), limit_s=120.0).problems == []
    assert day.in_time_share() >= MIN_IN_TIME_SHARE
    by_size = {cores: day.useful_share(cores) for cores in SHORT_CORES}
    assert min(by_size.values()) >= MIN_SIZE_FACTOR * day.useful_share(), by_size
    assert fmean(day.standing_share) >= MIN_STANDING_SHARE
