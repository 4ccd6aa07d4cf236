"""An operator raises a queue's limit while jobs run, and may remove the queue after that."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

import pytest

from linkspan.model.configuration import Configuration, Service
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.job_builders import QUEUE, step
from tests.virtual_time import run_virtual

POOL = {"pool": Service("pool")}


@dataclass
class FirstRunsFail(HallWorld):
    """A deployment in which the first run of each task fails, and no other one does."""

    def fails(self, task: TaskName, run: int) -> bool:
        del task
        return run == 1


async def _raise_limit(*, removed: bool) -> tuple[HallWorld, str]:
    """Raise a queue's limit from one to three while a job runs, then kill the owner."""
    world = FirstRunsFail()
    world.queue = replace(QUEUE, max_attempts=1)
    await world.begin()
    spec = world.new_job(step(1, estimate_s=4.0))
    assert await world.submit("east-host-0", spec) == 200
    await asyncio.sleep(1.0)
    world.queue = replace(QUEUE, max_attempts=3)
    world.configuration = Configuration(4, {QUEUE.name: world.queue}, POOL)
    world.publish()
    await asyncio.sleep(4.5)
    if removed:
        world.configuration = Configuration(5, {}, POOL)
        world.publish()
        await asyncio.sleep(0.5)
    owner = world.owner()
    assert owner
    world.record_fault()
    world.kill_host(owner)
    await asyncio.sleep(60.0)
    return world, await world.state(next(iter(world.hosts)), spec.job_id)


@pytest.mark.parametrize("removed", [False, True])
def test_a_raised_limit_holds_at_the_next_owner(*, removed: bool) -> None:
    """Guards against a job shown as failed after one failed run of three that are allowed.

    The record of its acceptance holds the limit at that time. A next owner uses this limit where
    the queue is gone, although the previous owner used the raised one.
    """
    world, state = run_virtual(_raise_limit(removed=removed))
    assert state == "succeeded"
    assert world.problems == []
