"""Tests of a review of registry entries, each in a forced order of events."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.hall_world import HallWorld
from tests.host.short_work import begin, run_short
from tests.virtual_time import run_virtual

ADDRESS = "east-9:1"
RESTORED_S = 40
"""Time for which the executor has written its own entry each second, in seconds."""


# Guards against an executor that is never used again, as another hall's owner called it first.
@pytest.mark.parametrize("west_takeovers", [0, 6])
def test_an_executor_that_another_hall_has_called_takes_work_in_the_end(
    west_takeovers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"), executors_per_hall=1)
        await begin(world)
        for _ in range(west_takeovers):
            owner = str(world.owner(1))
            world.kill_host(owner)
            await asyncio.sleep(4.0)
            world.start_host(owner)
            await asyncio.sleep(2.0)
        with monkeypatch.context() as patch:
            # The other writer's entry is there first.
            patch.setattr(HallWorld, "register", lambda *_args, **_kwargs: None)
            executor = world.add_executor("east", ADDRESS)
        entry = world.entry_fields(executor.record, zone="west", born=executor.started_at_ms)
        world.enter(executor.record.executor_id, json.dumps(entry).encode())
        await asyncio.sleep(1.5)
        for _ in range(RESTORED_S):
            world.register(executor)
            await asyncio.sleep(1.0)
        for _ in range(3):
            await run_short(world, 20)
        assert executor.last_number
        return world

    assert run_virtual(play()).problems == []
