"""The judge of standing tasks reports those that never ran, by cores, memory and spread limit."""

from __future__ import annotations

import pytest

from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from tests.hall_world import HallWorld
from tests.host.standing_judge import StandingJudge
from tests.virtual_time import run_virtual

LIMIT_S = 9.0
"""Longest time for which a task with room may not run."""

CAPACITY = Demand(8_000, 32_000)
"""Capacity of an executor."""


def _standing(count: int, demand: Demand, spread: int = 0) -> StepSpec:
    return StepSpec(count, demand, 1.0, standing=True, max_per_executor=spread)


async def _idle_world(executors: int) -> HallWorld:
    """Return a world with executors and no hosts, so that only the test starts tasks."""
    world = HallWorld(executors_per_hall=executors)
    for index in range(executors):
        world.add_executor("east", f"east-{index}:1")
    return world


def _accept(world: HallWorld, step: StepSpec) -> JobSpec:
    spec = world.new_job(step)
    world.specs[spec.job_id] = spec
    world.accepted.add(spec.job_id)
    return spec


def _reports(world: HallWorld, *excused: str) -> list[str]:
    """Return what the judge reports on a state that lasts for longer than the limit."""
    judge = StandingJudge(LIMIT_S)
    assert judge.check(world, 0.0, frozenset(excused)) == []
    assert judge.check(world, LIMIT_S, frozenset(excused)) == []
    lines = judge.check(world, LIMIT_S + 0.5, frozenset(excused))
    assert judge.check(world, LIMIT_S + 1.0, frozenset(excused)) == []
    return lines


@pytest.mark.parametrize(
    ("demand", "spread", "reported"),
    [
        (Demand(7_700, 3_000), 0, 2),
        (Demand(1_000, 20_000), 0, 2),
        (Demand(8_001, 100), 0, 0),
        (Demand(100, 32_001), 0, 0),
        (Demand(100, 100), 1, 2),
    ],
)
def test_a_task_that_never_ran_is_reported_where_two_of_it_fit(
    demand: Demand, spread: int, reported: int
) -> None:
    """Guards against a judge that skips tasks that never ran, or sees room where there is none."""

    async def play() -> list[str]:
        world = await _idle_world(2)
        _accept(world, _standing(2, demand, spread))
        return _reports(world)

    lines = run_virtual(play())
    assert len(lines) == reported
    assert all("never ran" in line for line in lines)


def test_one_executor_below_its_spread_limit_is_not_room_for_two() -> None:
    """Guards against a judge that ignores the spread limit."""

    async def play() -> list[str]:
        world = await _idle_world(1)
        _accept(world, _standing(2, Demand(100, 100), 1))
        return _reports(world)

    assert run_virtual(play()) == []


def test_tasks_of_an_excused_job_are_not_reported() -> None:
    """Guards against reports of cancelled jobs."""

    async def play() -> list[str]:
        world = await _idle_world(2)
        spec = _accept(world, _standing(2, Demand(100, 100)))
        return _reports(world, spec.job_id)

    assert run_virtual(play()) == []
