"""A delegation record that the store applies late does not hide newer delegations.

The store may apply a write of a former owner seconds after the next owner has written. The
older record, which names fewer delegated tasks, is then the newest of its key. A next owner
of the delegate hall that reads only this record drops the other tasks, while their home hall
assumes that the delegate hall still runs them.
"""

from __future__ import annotations

import asyncio

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Delegated
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

DELEGATE = 1
TASKS = 5


def test_a_delegation_record_applied_late_loses_no_task() -> None:
    """All tasks run after the delegate hall's owner and the executor of a hidden task crash."""

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        spec = world.new_job(step(TASKS, standing=True, max_per_executor=1))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(6.0)
        assert _count_running(world, spec.job_id) == TASKS
        entry = world.hosts["east-host-0"].host.job_registry.catalog.get(spec.job_id)
        assert entry
        first, *others = entry.delegated[DELEGATE]
        world.store.put(JOBS, *encode(Delegated(spec.job_id, DELEGATE, (first,))))
        owner = world.owner(DELEGATE)
        assert owner
        world.kill_host(owner)
        await asyncio.sleep(5.0)
        hidden = TaskName(spec.job_id, 0, others[0].step, others[0].index)
        world.crash_executor(_address_of(world, hidden))
        await asyncio.sleep(20.0)
        assert _count_running(world, spec.job_id) == TASKS
        return world

    assert run_virtual(play()).problems == []


def _count_running(world: HallWorld, job_id: str) -> int:
    alive = [e for e in world.executors.values() if e.alive]
    return sum(task.job_id == job_id for e in alive for task in e.running)


def _address_of(world: HallWorld, task: TaskName) -> str:
    return next(a for a, e in world.executors.items() if e.alive and task in e.running)
