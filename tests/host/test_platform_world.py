"""Worlds of the platform's kind: executors that tell no start time, and entries that come late."""

from __future__ import annotations

import asyncio
import json

from tests.hall_executors import EXECUTORS
from tests.hall_world import HallWorld
from tests.virtual_time import run_virtual

ADDRESS = "east-0:1"


def _entries(world: HallWorld) -> dict[bytes | None, bytes]:
    """Return the entries of the executors, empty ones included."""
    return {entry.key: entry.value for entry in world.store.log(EXECUTORS).entries}


# Guards against worlds in which a hall can tell incarnations apart that the platform's can't.
def test_an_executor_with_a_plain_id_tells_no_start_and_returns_under_a_new_one() -> None:
    async def play() -> HallWorld:
        world = HallWorld(plain_ids=True)
        world.add_executor("east", ADDRESS)
        world.restart_executor(ADDRESS, down_s=0.5)
        await asyncio.sleep(1.0)
        return world

    old, new = (entries := _entries(run_virtual(play()))).values()
    assert len(entries) == 2
    assert old == b""
    assert "born" not in json.loads(new)
