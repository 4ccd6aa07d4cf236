"""A run that was left out of an executor's reports is waited for, however long.

What was seen: a task ran on two executors at once. Its owner had looked at the first executor
and renewed the leases there for longer than any lease of a former owner lasts.

How it came about: a former owner, not yet aware of its successor, started a job on an executor
that the successor reached a moment later. The successor could not read the job's record, and
so left the run out of the executor's reports: none of them counted as a first answer. Work
that may have been started before was held back until a time by which leases of former owners
have ended; but this owner itself had gone on renewing the lease of that run. Then the record
was read, and the job was started.

What proved it: the play; a record that is read before that time breaks nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from linkspan.jobs.job_registry import JOBS
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.part_world import PartWorld
from tests.virtual_time import run_virtual

LOOK_S = 0.005
"""Time between looks at what has happened."""

WAIT_S = 5.0
"""Longest time until a successor has claimed the shard, or a task runs."""

SETTLED_S = 5.0
"""Time after which a record that could be read again was read, and what follows was done."""

CALL_S = 0.2
"""Time by which a call of a slow host takes longer, on its way and on the way back."""

ASKED_S = 0.05
"""Time between two questions of callers."""

LONG_S = 100.0
"""Length of the work."""


@pytest.mark.parametrize("unread_s", [5.0, 12.0, 21.0])
def test_a_run_of_an_unread_job_is_waited_for(unread_s: float) -> None:
    async def play() -> HallWorld:
        world, first, second, busy, others = await _cut_in_two()
        world.call_s = {second: CALL_S}
        world.away.add((first, "owners"))
        await _until(lambda: _heard(world, second) == len(others))
        world.away.add((second, JOBS.topic))
        # What it records is refused by now, and it would start nothing. So it has no answer.
        world.away.add((first, "progress"))
        assert await world.submit(first, world.new_job(step(1, estimate_s=LONG_S))) == 200
        await _until(lambda: bool(world.executors[busy].running))
        world.cuts.discard((second, busy))
        await asyncio.sleep(unread_s)
        world.away.discard((second, JOBS.topic))
        # Callers ask for jobs, for which a host reads the records, too.
        for _ in range(round(SETTLED_S / ASKED_S)):
            await asyncio.gather(asyncio.sleep(ASKED_S), world.ask(second, "f" * 16))
        assert sum(map(len, world.starts.values())) >= 1
        return world

    assert run_virtual(play()).problems == []


async def _cut_in_two() -> tuple[PartWorld, str, str, str, list[str]]:
    """Return a world that is cut, its owner and an executor on one side, all else on the other.

    Returns:
        The world, the owner, the other host, the executor beside the owner, and the others.
    """
    world = PartWorld(lists_machines=False)
    await world.begin()
    first = world.owner()
    assert first
    second = next(name for name, _ in world.host_names() if name != first)
    busy, *others = sorted(world.executors)
    world.cuts = {(second, busy)} | {(first, address) for address in others}
    return world, first, second, busy, others


def _heard(world: HallWorld, host: str) -> int:
    """Return how many executors an owner has heard of in full."""
    tenure = world.hosts[host].host.candidates[0].tenure
    return sum(e.has_reported for e in tenure.core.executors.values()) if tenure else 0


async def _until(happens: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not happens():
            await asyncio.sleep(LOOK_S)


def test_an_owner_that_the_store_refuses_starts_nothing() -> None:
    """Guards against a start of an owner that is not aware of its successor."""

    async def play() -> HallWorld:
        world, first, second, busy, others = await _cut_in_two()
        world.away.add((first, "owners"))
        await _until(lambda: _heard(world, second) == len(others))
        assert await world.submit(first, world.new_job(step(1, estimate_s=LONG_S))) == 200
        await asyncio.sleep(SETTLED_S)
        assert not world.executors[busy].running
        return world

    assert run_virtual(play()).problems == []
