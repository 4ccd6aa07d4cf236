"""An owner waits for a run that it found at an executor before it granted a lease there.

Guards against a task that runs on two executors at once: a new owner found the run by the first
report of an executor, then got no answer from the executor and started the task elsewhere at once.

An owner grants a lease with its second call to an executor, and only while its ownership is proved.
The ownership of an owner that has just recovered is unproved if the store was down or its process
was frozen. The executor's silence then counted as an expired lease, since this owner had granted
none, while the lease of the previous owner was still valid. With an executor that keeps answering,
the scenarios pass either way.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld
from tests.host.owner_waits import start_long_task, until
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import run_virtual

CHECK_INTERVAL_S = 0.002
"""Interval between checks of the state of a host."""

MAX_WAIT_S = 20.0
"""Longest time until the next owner has claimed the shard, or has a report of an executor."""

STORE_DOWN_S = 11.0
"""Time for which the store is down after a claim: longer than an owner acts without proof."""

FREEZE_S = 1.5
"""Duration of a freeze."""

EXECUTOR_SILENCE_S = 15.0
"""Time for which an executor does not answer: longer than a lease."""


@pytest.mark.parametrize("silent", [True, False])
def test_an_owner_waits_for_a_run_if_the_store_was_down_after_its_claim(silent: bool) -> None:
    async def play() -> HallWorld:
        world, first, second, busy = await _start_task()
        world.store.silent.add(first)
        await until(
            lambda: world.hosts[second].host.candidates[0].tenure is not None,
            limit_s=MAX_WAIT_S,
            check_interval_s=CHECK_INTERVAL_S,
        )
        world.store.silent.add(second)
        await asyncio.sleep(STORE_DOWN_S)
        world.store.silent.discard(second)
        await until(
            lambda: _has_report(world, second, busy),
            limit_s=MAX_WAIT_S,
            check_interval_s=CHECK_INTERVAL_S,
        )
        await _wait_out_lease(world, second, busy, silent)
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("silent", [True, False])
def test_an_owner_waits_for_a_run_after_a_freeze(silent: bool) -> None:
    async def play() -> HallWorld:
        world, first, second, busy = await _start_task()
        world.kill_host(first)
        await until(
            lambda: _has_report(world, second, busy),
            limit_s=MAX_WAIT_S,
            check_interval_s=CHECK_INTERVAL_S,
        )
        running = world.hosts[second]
        world.freeze_host(second)
        await asyncio.sleep(FREEZE_S)
        world.thaw(running)
        await _wait_out_lease(world, second, busy, silent)
        return world

    assert run_virtual(play()).problems == []


async def _start_task() -> tuple[HallWorld, str, str, MemoryExecutor]:
    """Return a hall, its owner, its other host and the executor that runs a task."""
    world = HallWorld(lists_machines=False)
    first, second = await start_long_task(world)
    (busy,) = (e for e in world.executors.values() if e.running)
    return world, first, second, busy


def _has_report(world: HallWorld, host: str, busy: MemoryExecutor) -> bool:
    """Return whether a host owns the shard and has an executor's first report."""
    tenure = world.hosts[host].host.candidates[0].tenure
    known = tenure.core.executors.get(busy.incarnation_name) if tenure else None
    return bool(known and known.has_reported)


async def _wait_out_lease(world: HallWorld, host: str, busy: MemoryExecutor, silent: bool) -> None:
    if silent:
        world.cuts.add((host, busy.record.address))
    await asyncio.sleep(EXECUTOR_SILENCE_S)
