"""Owners lost between the decision on a job and its final record, in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from linkspan.errors import StoreRefused
from linkspan.jobs.job_registry import JOBS
from linkspan.store.types import Partition, Store
from tests.hall_world import HallWorld
from tests.job_builders import QUEUE, step
from tests.standins.memory_store import StoreLink
from tests.virtual_time import run_virtual

QUEUE_OF_TWO = replace(QUEUE, max_attempts=2)


class FinalRecordWorld(HallWorld):
    """A deployment whose store can refuse the job records while it takes those of progress."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.refuses_job_records = False

    def store_link(self, host: str) -> Store:
        link = StoreLink(self.store, host)
        append = link.append

        async def append_unless_refused(partition: Partition, *args: object, **more: object):  # type: ignore[no-untyped-def]
            if self.refuses_job_records and partition == JOBS:
                await asyncio.sleep(0.002)
                raise StoreRefused(503)
            return await append(partition, *args, **more)  # type: ignore[arg-type]

        link.append = append_unless_refused  # type: ignore[method-assign]
        return link


@pytest.mark.parametrize("lists_machines", [False, True])
def test_a_next_owner_knows_the_failures_of_a_job_whose_final_record_was_lost(
    lists_machines: bool,
) -> None:
    """Guards against a failed job that is taken up again, and starts its tasks too often."""

    async def play() -> None:
        world = FinalRecordWorld(failing_share=1.0, lists_machines=lists_machines)
        world.queue = QUEUE_OF_TWO
        await world.begin()
        spec = world.new_job(step(1, cpu=2_000, estimate_s=1.0))
        assert await world.submit("east-host-0", spec) == 200
        async with asyncio.timeout(20.0):
            while len(world.log.named("RUN_FAILED")) < 1:
                await asyncio.sleep(0.01)
        world.refuses_job_records = True
        async with asyncio.timeout(20.0):
            while not world.log.named("JOB_DECIDED"):
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        (last,) = (f for f in world.log.named("RUN_FAILED") if f["failures"] == 2)
        owner = world.owner()
        assert owner
        world.kill_host(owner)
        gone = [e for e in world.executors.values() if e.incarnation_name == last["executor"]]
        world.crash_executor(gone[0].record.address, back=False)
        world.refuses_job_records = False
        other = next(iter(world.hosts))
        await world.wait_for(other, spec.job_id, "failed", limit_s=40.0)
        assert sum(map(len, world.starts.values())) == 2

    run_virtual(play())


@pytest.mark.parametrize("lists_machines", [False, True])
def test_a_next_owner_knows_what_was_done_where_the_final_record_was_lost(
    lists_machines: bool,
) -> None:
    """Guards against a task that is done and runs again, as its executor is gone, too."""

    async def play() -> None:
        world = FinalRecordWorld(lists_machines=lists_machines)
        await world.begin()
        spec = world.new_job(step(2, cpu=2_000, estimate_s=1.0))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(0.5)
        world.refuses_job_records = True
        async with asyncio.timeout(20.0):
            while not world.log.named("JOB_DECIDED"):
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)
        owner = world.owner()
        assert owner
        world.kill_host(owner)
        for executor in list(world.executors.values()):
            world.crash_executor(executor.record.address)
        world.refuses_job_records = False
        await world.wait_for(next(iter(world.hosts)), spec.job_id, "succeeded", limit_s=40.0)
        assert sum(map(len, world.starts.values())) == 2

    run_virtual(play())
