"""Registry entries that no executor wrote identify no executor; the other entries stay valid."""

from __future__ import annotations

import asyncio
import json

import orjson
import pytest

from linkspan.shard.handover.summary import HallSummary
from tests.hall_world import HallWorld
from tests.host.short_work import assert_each_began_once, begin, run_short, running_count
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import run_virtual

NESTED = b"[" * 1_000 + b"]" * 1_000
"""As deep as JSON decoders follow, and deeper than ``repr`` does."""

FOREIGN_ENTRIES = {
    "bytes": lambda _world, _executor: b"\xff\xfe\x00",
    "cut": lambda world, executor: entry(world, executor)[:40],
    "unknown state": lambda world, executor: entry(world, executor, state="retired"),
    "number as state": lambda world, executor: entry(world, executor, state=7),
    "unknown service": lambda world, executor: entry(world, executor, service="other"),
    "nested": lambda world, executor: entry(world, executor, labels="PART").replace(
        b'"PART"', NESTED
    ),
    "no capacity": lambda world, executor: entry(world, executor, capacity=None),
    "too much capacity": lambda world, executor: entry(
        world, executor, capacity={"cpu": 2**53, "memMb": 2**53, "gpu": 0}
    ),
    "port out of range": lambda world, executor: entry(world, executor, address="10.0.0.1:70000"),
    "host name": lambda world, executor: entry(world, executor, address="some-host:80"),
}
"""Values that another writer may put in place of an executor's entry."""

REWRITE_DELAY_S = 1.5
"""Time after which an executor rewrites its own entry."""


def entry(world: HallWorld, executor: MemoryExecutor, **changes: object) -> bytes:
    return json.dumps(world.entry_fields(executor.record, **changes)).encode()  # type: ignore[arg-type]


@pytest.mark.parametrize("kind", FOREIGN_ENTRIES)
def test_a_foreign_entry_over_a_valid_one_stops_new_work_on_its_executor(kind: str) -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        overwritten = next(iter(world.executors.values()))
        world.enter(overwritten.record.executor_id, FOREIGN_ENTRIES[kind](world, overwritten))
        # The owner reads registrations twice a second.
        await asyncio.sleep(0.7)
        for _ in range(10):
            # More tasks than the two other executors can run at once.
            await run_short(world, 20)
        assert overwritten.last_number == 0
        assert all(e.last_number for e in world.executors.values() if e is not overwritten)
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("kind", FOREIGN_ENTRIES)
def test_a_foreign_entry_that_is_soon_overwritten_ends_no_run(kind: str) -> None:
    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=4)
        await begin(world, standing=3)
        for executor in list(world.executors.values()):
            world.enter(executor.record.executor_id, FOREIGN_ENTRIES[kind](world, executor))
        await asyncio.sleep(REWRITE_DELAY_S)
        for executor in world.executors.values():
            world.register(executor)
        await asyncio.sleep(10.0)
        assert running_count(world) == 3
        return world

    assert_each_began_once(run_virtual(play()), 3)


@pytest.mark.parametrize("kind", FOREIGN_ENTRIES)
def test_standing_tasks_leave_an_executor_whose_entry_stays_foreign(kind: str) -> None:
    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=4)
        await begin(world, standing=3)
        overwritten = next(e for e in world.executors.values() if e.running)
        world.enter(overwritten.record.executor_id, FOREIGN_ENTRIES[kind](world, overwritten))
        await asyncio.sleep(6.0)
        assert not overwritten.running
        assert running_count(world) == 3
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("kind", FOREIGN_ENTRIES)
def test_a_foreign_entry_at_an_executors_address_ends_none_of_its_runs(kind: str) -> None:
    """A valid entry at the address of another executor would prove that executor crashed."""

    async def play() -> HallWorld:
        world = HallWorld()
        await begin(world, standing=3)
        for number, executor in enumerate(list(world.executors.values())):
            world.enter(f"odd-{number}", FOREIGN_ENTRIES[kind](world, executor))
        await asyncio.sleep(10.0)
        await run_short(world, 20)
        assert running_count(world) == 3
        return world

    world = run_virtual(play())
    assert world.problems == []
    standing = [t for t in world.starts if world.step_of(t).standing]
    assert [len(world.starts[task]) for task in standing] == [1] * 3


# Guards against a hall that gets no work from others, as nobody can read its summary.
def test_a_capacity_too_large_leaves_the_summary_of_its_hall_readable() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        executor = next(iter(world.executors.values()))
        value = FOREIGN_ENTRIES["too much capacity"](world, executor)
        world.enter(executor.record.executor_id, value)
        await asyncio.sleep(1.0)
        tenure = world.hosts[str(world.owner())].host.candidates[0].tenure
        assert tenure
        published = orjson.loads(orjson.dumps(tenure.summary().encode()))
        assert HallSummary.decode(published).capacity == 2 * world.milli_cpu
        return world

    assert run_virtual(play()).problems == []


def test_a_key_that_is_not_text_is_ignored_and_the_other_entries_are_valid() -> None:
    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=0)
        await world.begin()
        first = world.add_executor("east", "east-8:1")
        world.enter_under(b"\xff\xfe", entry(world, first))
        await asyncio.sleep(1.0)
        known = world.hosts[str(world.owner())].host.executor_registry.executors()
        assert [record.executor_id for record in known] == [first.incarnation_name]
        second = world.add_executor("east", "east-9:1")
        await asyncio.sleep(1.0)
        await run_short(world, 20)
        assert first.last_number
        assert second.last_number
        return world

    assert run_virtual(play()).problems == []
