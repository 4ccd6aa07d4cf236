"""An executor whose first entry is replaced before it has answered takes work in the end."""

from __future__ import annotations

import asyncio
import json

import pytest

from linkspan.jobs.job_registry import JobRegistry
from tests.hall_world import HallWorld
from tests.host.short_work import begin, run_short
from tests.virtual_time import run_virtual
from tests.wire_addresses import wire_address

ADDRESS = "east-9:1"

SLOW_READ_S = 0.8
"""Time that a read of the job records takes, for which the first answer waits."""


# Guards against an answer that counts as given at an address that an entry claims meanwhile.
@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize("delay_s", [0.3, 0.4, 0.5, 0.6, 0.7])
def test_an_answer_counts_for_the_address_that_was_called(seed: int, delay_s: float) -> None:
    async def play() -> HallWorld:
        world = HallWorld(seed=seed, max_poll_delay_s=0.9, executors_per_hall=1)
        world.slow_poll_addresses.add(ADDRESS)
        await begin(world)
        executor = world.add_executor("east", ADDRESS)
        await asyncio.sleep(delay_s)
        entry = world.entry_fields(
            executor.record, address="10.9.9.9:80", born=executor.started_at_ms
        )
        world.enter(executor.record.executor_id, json.dumps(entry).encode())
        await asyncio.sleep(1.5)
        world.register(executor)
        await asyncio.sleep(2.0)
        for _ in range(3):
            await run_short(world, 20)
        assert executor.last_number
        return world

    assert run_virtual(play()).problems == []


# Guards against the same while the answer waits for the records of the jobs: never used again.
@pytest.mark.parametrize("delay_s", [0.1, 0.3, 0.4, 0.6])
def test_an_answer_that_waits_counts_for_the_address_that_was_called(
    delay_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    read_jobs = JobRegistry.refresh
    slow = False

    async def read_slowly(self: JobRegistry, **limits: float) -> bool:
        await asyncio.sleep(SLOW_READ_S if slow else 0.0)
        return await read_jobs(self, **limits)

    monkeypatch.setattr(JobRegistry, "refresh", read_slowly)

    async def play() -> HallWorld:
        nonlocal slow
        world = HallWorld(executors_per_hall=1)
        await begin(world)
        other = wire_address(list(world.executors)[-1])
        slow = True
        executor = world.add_executor("east", ADDRESS)
        await asyncio.sleep(delay_s)
        entry = world.entry_fields(executor.record, address=other, born=executor.started_at_ms)
        world.enter(executor.record.executor_id, json.dumps(entry).encode())
        await asyncio.sleep(1.5)
        world.register(executor)
        slow = False
        await asyncio.sleep(5.0)
        for _ in range(3):
            await run_short(world, 20)
        assert executor.last_number
        return world

    assert run_virtual(play()).problems == []
