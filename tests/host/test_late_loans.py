"""A record of loans that is done late does not hide loans that were told since."""

from __future__ import annotations

import asyncio

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Delegated
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

BORROWER = 1
TASKS = 5


def test_a_record_of_loans_that_is_done_late_loses_no_task() -> None:
    """The store may do what a former owner asked for seconds after the next one wrote.

    The older record, which names fewer loans, is then the newest of its key. The next
    owner of the borrowing hall takes the others for none of its tasks, and the hall that
    lent them takes them for looked after.
    """

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        spec = world.new_job(step(TASKS, standing=True, max_per_executor=1))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(6.0)
        assert _at_work(world, spec.job_id) == TASKS
        entry = world.hosts["east-host-0"].host.job_registry.catalog.get(spec.job_id)
        assert entry
        first, *others = entry.delegated[BORROWER]
        world.store.put(JOBS, *encode(Delegated(spec.job_id, BORROWER, (first,))))
        owner = world.owner(BORROWER)
        assert owner
        world.kill_host(owner)
        await asyncio.sleep(5.0)
        hidden = TaskName(spec.job_id, 0, others[0].step, others[0].index)
        world.crash_executor(_place_of(world, hidden))
        await asyncio.sleep(20.0)
        assert _at_work(world, spec.job_id) == TASKS
        return world

    assert run_virtual(play()).problems == []


def _at_work(world: HallWorld, job_id: str) -> int:
    alive = [e for e in world.executors.values() if e.alive]
    return sum(task.job_id == job_id for e in alive for task in e.running)


def _place_of(world: HallWorld, task: TaskName) -> str:
    return next(a for a, e in world.executors.items() if e.alive and task in e.running)
