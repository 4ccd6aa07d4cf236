"""Tests the number of waiting jobs that callers receive, and the lines about it.

The failure: an owner announced a job as begun when it planned a start. While executors refused or
lost all starts, hosts told callers that no job waited and that each of them was running.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import pytest

from linkspan.jobs.spec import StepSpec
from linkspan.shard.messages import StartOutcome
from tests.hall_world import HallWorld
from tests.host.waiting_jobs import count_waiting
from tests.job_builders import step
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import run_virtual

JOBS = 6

COUNTED_AFTER_S = 6.0
"""Time after which jobs must be counted, in seconds: 3 s until an accepted job is visible, 2 s for
the age of the count, and one more."""


def _refuse(outcome: StartOutcome, executor: MemoryExecutor) -> None:
    executor.refuses_with = outcome


def _drop(executor: MemoryExecutor) -> None:
    executor.drops_starts = True


def _recover(executor: MemoryExecutor) -> None:
    executor.refuses_with, executor.drops_starts = None, False


TROUBLES = [
    pytest.param(partial(_refuse, StartOutcome.UNHEALTHY), id="unhealthy"),
    pytest.param(partial(_refuse, StartOutcome.NO_ROOM), id="no room"),
    pytest.param(partial(_refuse, StartOutcome.INVALID), id="invalid"),
    pytest.param(_drop, id="no answer"),
]

STEPS = [
    pytest.param(step(2, estimate_s=0.5), id="short"),
    pytest.param(step(2, gang=True, estimate_s=0.5), id="gang"),
    pytest.param(step(2, standing=True), id="standing"),
]


async def _troubled(
    trouble: Callable[[MemoryExecutor], None], spec: StepSpec, halls: tuple[str, ...]
) -> HallWorld:
    """Return a world whose executors are in trouble while jobs wait."""
    world = HallWorld(halls=halls)
    await world.begin()
    for executor in world.executors.values():
        trouble(executor)
    for number in range(JOBS):
        assert await world.submit(f"east-host-{number % 2}", world.new_job(spec)) == 200
    await asyncio.sleep(COUNTED_AFTER_S)
    return world


async def _counts(world: HallWorld) -> set[int]:
    return {await count_waiting(world, name) for name in world.hosts}


@pytest.mark.parametrize("halls", [("east",), ("east", "west")], ids=["one hall", "two halls"])
@pytest.mark.parametrize("spec", STEPS)
@pytest.mark.parametrize("trouble", TROUBLES)
def test_jobs_whose_starts_are_refused_or_lost_count_as_waiting(
    trouble: Callable[[MemoryExecutor], None], spec: StepSpec, halls: tuple[str, ...]
) -> None:
    """Guards against hosts that say that no job waits while none of them has begun."""

    async def play() -> None:
        world = await _troubled(trouble, spec, halls)
        assert await _counts(world) == {JOBS}
        assert {await world.state("east-host-0", job) for job in world.accepted} == {"queued"}
        for executor in world.executors.values():
            _recover(executor)
        await asyncio.sleep(20.0)
        assert await _counts(world) == {0}
        assert world.problems == []

    run_virtual(play())


@pytest.mark.parametrize("trouble", TROUBLES)
def test_jobs_without_a_begun_task_count_as_waiting_after_a_change_of_owner(
    trouble: Callable[[MemoryExecutor], None],
) -> None:
    """Guards against a next owner that takes each job with a progress record for begun."""

    async def play() -> None:
        world = await _troubled(trouble, step(2, estimate_s=0.5), ("east",))
        owner = world.owner()
        assert owner
        world.kill_host(owner)
        await asyncio.sleep(COUNTED_AFTER_S)
        assert await _counts(world) == {JOBS}

    run_virtual(play())


def test_a_job_whose_task_began_before_a_change_of_owner_does_not_count_as_waiting() -> None:
    """Guards against begun jobs that count as waiting as their announcement was lost."""

    async def play() -> None:
        world = HallWorld()
        await world.begin()
        assert await world.submit("east-host-0", world.new_job(step(2, estimate_s=30.0))) == 200
        await asyncio.sleep(0.3)
        owner = world.owner()
        assert owner
        world.kill_host(owner)
        await asyncio.sleep(COUNTED_AFTER_S)
        assert await _counts(world) == {0}

    run_virtual(play())


def test_a_begun_job_and_each_count_leave_a_line() -> None:
    """Guards against a count that no log line explains."""

    async def play() -> tuple[HallWorld, str]:
        world = HallWorld()
        await world.begin()
        job = world.new_job(step(1, estimate_s=5.0))
        await world.submit("east-host-0", job)
        await asyncio.sleep(2.0)
        assert await count_waiting(world, "east-host-0") == 0
        return world, job.job_id

    world, job_id = run_virtual(play())
    (begun,) = world.log.named("JOB_BEGUN")
    assert (begun["job"], begun["confirmed"], begun["unanswered"]) == (job_id, 1, 0)
    (counted,) = world.log.named("WAITING_COUNTED")
    assert (counted["queue"], counted["waiting"]) == (world.queue.name, 0)
    assert 0.0 <= counted["view_age_s"] < 0.1
