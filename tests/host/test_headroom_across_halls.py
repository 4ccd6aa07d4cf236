"""Standing tasks that never ran start in another hall where only the headroom is left.

Three tasks of 7.75 cores on an executor of 32 leave 8.75 cores: enough for a fourth, but not beside
a tenth of the executor for short work.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec
from tests.hall_world import HallWorld
from tests.job_builders import MAX_AWAY_S, step
from tests.virtual_time import run_virtual

MILLI_CPU = 7_750
EXECUTOR_MILLI_CPU = 32_000
TASKS_BESIDE = 3
"""Standing tasks on each executor of the other hall."""

SETTLE_S = 5.0
"""Time after which all of them run, also those that use the headroom."""

STOP_S = 1.5
"""Time from the cancellation of a job until its executor is empty."""


def _accept_in_first_hall(world: HallWorld, spec: JobSpec) -> None:
    """Accept a job for the first hall, as a host with an outdated view of the halls does."""
    world.specs[spec.job_id] = spec
    world.store.put(JOBS, *encode(Submitted(spec, 0, 0.0, "life-x")))
    world.accepted.add(spec.job_id)


async def _play(count: int, *, begins_at_home: bool) -> tuple[HallWorld, int]:
    """Return a world after the bound, and how many tasks of the accepted job run."""
    world = HallWorld(
        halls=("east", "west"), milli_cpu=EXECUTOR_MILLI_CPU, executors_per_hall=count
    )
    await world.begin()
    neighbours = step(
        TASKS_BESIDE * count, cpu=MILLI_CPU, standing=True, max_per_executor=TASKS_BESIDE
    )
    await world.submit("west-host-0", world.new_job(neighbours))
    full = step(count - 1, cpu=EXECUTOR_MILLI_CPU - 1_000, estimate_s=90.0)
    last = world.new_job(step(1, cpu=EXECUTOR_MILLI_CPU - 1_000, estimate_s=90.0))
    await world.submit("east-host-0", world.new_job(full))
    await world.submit("east-host-0", last)
    await asyncio.sleep(SETTLE_S)
    if begins_at_home:
        # With one empty executor at home the job begins there and does not move as a whole.
        await world.cancel("east-host-0", last.job_id)
        await asyncio.sleep(STOP_S)
    running = sorted(len(e.running) for e in world.executors.values())
    expected = [*([1] * count), *([TASKS_BESIDE] * count)]
    assert running == ([0, *expected[1:]] if begins_at_home else expected)
    spec = world.new_job(step(count, cpu=MILLI_CPU, standing=True))
    _accept_in_first_hall(world, spec)
    await asyncio.sleep(MAX_AWAY_S)
    running = {t for e in world.executors.values() for t in e.running if t.job_id == spec.job_id}
    return world, len(running)


@pytest.mark.parametrize("begins_at_home", [False, True])
@pytest.mark.parametrize("count", [6, 17])
def test_tasks_that_never_ran_use_the_headroom_of_another_hall(
    count: int, begins_at_home: bool
) -> None:
    """Guards against accepted standing tasks that wait for ever beside room in another hall."""
    world, running = run_virtual(_play(count, begins_at_home=begins_at_home))
    assert running == count
    assert world.problems == []
