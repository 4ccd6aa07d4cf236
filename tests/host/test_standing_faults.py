"""Series of overlapping faults do not keep a standing task from running after the last fault.

A standing task that has run, with capacity for two of it, must be at work again within 9 s: the
platform counts it as lost after that.
"""

from __future__ import annotations

import pytest

from tests.host.standing_faults_day import StandingFaultsDay
from tests.virtual_time import run_virtual

LIMIT_S = 400.0
"""Longest duration of a scenario, in virtual seconds."""


def _lost_tasks(seed: int, *kinds: str) -> tuple[list[str], list[str]]:
    """Return the violations of a scenario, and the times and names of its faults."""
    day = StandingFaultsDay(seed, kinds)
    world = run_virtual(day.play(), limit_s=LIMIT_S)
    return world.problems, day.fault_log


@pytest.mark.parametrize("seed", [0])
def test_a_standing_task_runs_again_after_faults_of_all_kinds(seed: int) -> None:
    """Guards against standing tasks that wait although there is capacity."""
    problems, faults = _lost_tasks(seed)
    assert problems == [], faults


@pytest.mark.parametrize("seed", [300])
def test_a_standing_task_runs_again_after_departures_in_series(seed: int) -> None:
    """Guards against standing tasks that wait after departures announced late or never."""
    problems, faults = _lost_tasks(seed, "drain")
    assert problems == [], faults


@pytest.mark.parametrize("seed", [100, 109, 122])
def test_a_standing_task_does_not_go_from_hall_to_hall(seed: int) -> None:
    """Guards against waits that begin anew with each handover of a task that may not share.

    In 109 and 122, an unanswered start binds another task to its executor, too.
    """
    problems, faults = _lost_tasks(seed, "restart_late", "replace")
    assert problems == [], faults


@pytest.mark.parametrize("seed", [11])
def test_a_standing_task_is_not_bound_to_an_unanswered_start(seed: int) -> None:
    """Guards against tasks that wait until an unanswered start can no longer arrive."""
    problems, faults = _lost_tasks(seed)
    assert problems == [], faults


@pytest.mark.parametrize("seed", [605])
def test_stopped_starts_take_no_capacity_from_standing_tasks(seed: int) -> None:
    """Guards against owners that reserve cores for stopped starts that no executor runs.

    Other standing tasks of the hall found no capacity for 9 s. Tasks are bound to unanswered
    starts, too.
    """
    problems, faults = _lost_tasks(seed, "shrink_and_grow", "restart_late")
    assert problems == [], faults
