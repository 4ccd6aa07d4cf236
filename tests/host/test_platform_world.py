"""Worlds of the platform's kind: executors that tell no start time, and entries that come late."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.discovery import Discovery
from tests.hall_executors import EXECUTORS
from tests.hall_world import HallWorld
from tests.virtual_time import run_virtual, world_time

ADDRESS = "east-0:1"


def _written(world: HallWorld) -> list[bytes]:
    """Return the executors' entries in the order of their writes; an empty one is a removal."""
    return [entry.value for entry in world.store.log(EXECUTORS).entries]


# Guards against worlds in which a hall can tell incarnations apart that the platform's can't.
def test_an_executor_with_a_plain_id_tells_no_start_and_returns_under_a_new_one() -> None:
    async def play() -> HallWorld:
        world = HallWorld(plain_ids=True)
        world.add_executor("east", ADDRESS)
        world.restart_executor(ADDRESS, down_s=0.5)
        await asyncio.sleep(1.0)
        return world

    world = run_virtual(play())
    old, removed, new = _written(world)
    assert removed == b""
    assert all("born" not in json.loads(entry) for entry in (old, new))
    assert len({entry.key for entry in world.store.log(EXECUTORS).entries}) == 2


# Guards against worlds in which a hall knows of a new executor before the platform lists it.
@pytest.mark.parametrize("made_s", [0.0, 0.4, 1.09])
def test_entries_and_their_changes_reach_the_store_late_and_in_order(made_s: float) -> None:
    async def play() -> tuple[float, list[bytes]]:
        world = HallWorld()
        world.discovery = Discovery(beat_s=1.1, lag_s=0.8)
        await asyncio.sleep(made_s)
        made = world_time()
        world.add_executor("east", ADDRESS)
        world.resize(ADDRESS, 1_000)
        world.crash_executor(ADDRESS, back=False)
        while len(_written(world)) < 3:
            await asyncio.sleep(0.01)
        return world_time() - made, _written(world)

    took_s, (added, resized, removed) = run_virtual(play())
    assert 0.8 <= took_s <= 1.92
    assert [json.loads(entry)["capacity"]["cpu"] for entry in (added, resized)] == [8_000, 1_000]
    assert removed == b""
