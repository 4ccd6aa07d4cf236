"""Worlds of the platform's kind: executors that tell no start time, and entries that come late."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.discovery import Discovery
from tests.hall_executors import EXECUTORS
from tests.hall_world import HallWorld
from tests.host.disruptions import Disruptions
from tests.host.platform_day import put_on_platform
from tests.host.platform_faults import start_executor
from tests.host.standing_rule import MAX_BESIDE_ROOM_S, StandingRule
from tests.job_builders import step
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


# Guards against a judge that leaves a hall the time until the platform lists a new executor, or
# that finds no calm as long as executors are gone for good.
def test_room_counts_from_the_start_of_a_new_executor() -> None:
    async def play() -> tuple[float, str]:
        world = HallWorld()
        put_on_platform(world)
        world.add_executor("east", ADDRESS)
        world.crash_executor(ADDRESS, back=False)
        world.departed.add(ADDRESS)
        spec = world.new_job(step(1, cpu=3_000, standing=True))
        world.specs[spec.job_id] = spec
        world.accepted.add(spec.job_id)
        rule = StandingRule(Disruptions())
        reported = rule.check(world, world_time(), set())
        await asyncio.sleep(8.0)
        start_executor(world, "east")
        started = world_time()
        while not reported:
            reported = rule.check(world, world_time(), set())
            await asyncio.sleep(0.1)
        return world_time() - started, *reported

    took_s, line = run_virtual(play(), limit_s=30.0)
    assert took_s == pytest.approx(MAX_BESIDE_ROOM_S, abs=0.21)
    assert "LOST" in line
