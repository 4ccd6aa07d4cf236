"""An executor whose first entry is replaced before it has answered takes work in the end."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.hall_world import HallWorld
from tests.host.short_work import begin, run_short
from tests.virtual_time import run_virtual

ADDRESS = "east-9:1"


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
