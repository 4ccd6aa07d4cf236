"""A run that was found at an executor is waited for, also where nothing was leased there yet.

What was seen: a task ran on two executors at once. A new owner had found its run by the first
report of an executor, then had no answer from it, and started the task elsewhere at once.

How it came about: an owner leases with its second call to an executor, and only while its
ownership is proved. One that had just recovered was not proved: the store had been away, or
its process had stood still. The executor's silence then counted as a lease that ended, since
this owner had granted none; that of the former owner went on.

What proved it: the plays below; they keep the promise with an executor that goes on answering.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld
from tests.host.owner_waits import BEGUN_S, LONG_S, until
from tests.job_builders import step
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import run_virtual

LOOK_S = 0.002
"""Time between looks at what a host knows."""

WAIT_S = 20.0
"""Longest time until a successor has claimed the shard, or has heard of an executor."""

AWAY_S = 11.0
"""Time for which the store is away after a claim: longer than an owner acts unproved."""

STILL_S = 1.5
"""Time for which a process stands still."""

SILENT_S = 15.0
"""Time for which an executor does not answer: longer than a lease."""


@pytest.mark.parametrize("silent", [True, False])
def test_a_run_is_waited_for_though_the_store_was_away_after_the_claim(silent: bool) -> None:
    async def play() -> HallWorld:
        world, first, second, busy = await _working()
        world.store.silent.add(first)
        await until(
            lambda: world.hosts[second].host.candidates[0].tenure is not None,
            limit_s=WAIT_S,
            look_s=LOOK_S,
        )
        world.store.silent.add(second)
        await asyncio.sleep(AWAY_S)
        world.store.silent.discard(second)
        await until(lambda: _has_heard(world, second, busy), limit_s=WAIT_S, look_s=LOOK_S)
        await _keep_from(world, second, busy, silent)
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("silent", [True, False])
def test_a_run_is_waited_for_though_its_owner_stood_still(silent: bool) -> None:
    async def play() -> HallWorld:
        world, first, second, busy = await _working()
        world.kill_host(first)
        await until(lambda: _has_heard(world, second, busy), limit_s=WAIT_S, look_s=LOOK_S)
        running = world.hosts[second]
        world.freeze_host(second)
        await asyncio.sleep(STILL_S)
        world.thaw(running)
        await _keep_from(world, second, busy, silent)
        return world

    assert run_virtual(play()).problems == []


async def _working() -> tuple[HallWorld, str, str, MemoryExecutor]:
    """Return a hall, its owner, its other host and the executor that runs a task."""
    world = HallWorld(lists_machines=False)
    await world.begin()
    first = world.owner()
    assert first
    second = next(name for name, _ in world.host_names() if name != first)
    spec = world.new_job(step(1, estimate_s=LONG_S))
    assert await world.submit(first, spec) == 200
    await asyncio.sleep(BEGUN_S)
    (busy,) = (e for e in world.executors.values() if e.running)
    return world, first, second, busy


def _has_heard(world: HallWorld, host: str, busy: MemoryExecutor) -> bool:
    """Whether a host owns the shard and has an executor's first report."""
    tenure = world.hosts[host].host.candidates[0].tenure
    known = tenure.core.executors.get(busy.incarnation_name) if tenure else None
    return bool(known and known.has_reported)


async def _keep_from(world: HallWorld, host: str, busy: MemoryExecutor, silent: bool) -> None:
    if silent:
        world.cuts.add((host, busy.record.address))
    await asyncio.sleep(SILENT_S)
