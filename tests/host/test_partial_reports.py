"""A new owner waits for a run that it left out of an executor's reports, however long.

The failure: a task ran on two executors at once. Its owner had polled the first executor and
renewed the leases there for longer than any lease of a former owner lasts.

A former owner, not yet aware of the next owner, started a job on an executor that the next owner
reached a moment later. The next owner could not read the job's record and so left the run out
of the executor's reports: none of them counted as a complete first report. Work that may have
been started before was held back until the leases of former owners have expired, but this owner
itself had gone on renewing the lease of that run. Then the record was read, and the job started.

A record that is read before that time breaks nothing.
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

CHECK_INTERVAL_S = 0.005
"""Interval between checks of a condition."""

WAIT_S = 5.0
"""Longest time until the next owner has claimed the shard, or a task runs."""

SETTLED_S = 5.0
"""Time within which a record that has become readable is read and acted on."""

CALL_S = 0.2
"""Additional latency of a slow host's call, in each direction."""

QUERY_INTERVAL_S = 0.05
"""Interval between two queries of callers."""

LONG_S = 100.0
"""Duration of the work."""


@pytest.mark.parametrize("unread_s", [5.0, 12.0, 21.0])
def test_a_run_of_an_unread_job_is_waited_for(unread_s: float) -> None:
    async def play() -> HallWorld:
        world, first, second, busy, others = await _partition()
        world.call_s = {second: CALL_S}
        world.refused_topics.add((first, "owners"))
        await _until(lambda: _count_reported(world, second) == len(others))
        world.refused_topics.add((second, JOBS.topic))
        # The store would refuse its records by now, and it would start nothing. So the store
        # does not answer it.
        world.refused_topics.add((first, "progress"))
        assert await world.submit(first, world.new_job(step(1, estimate_s=LONG_S))) == 200
        await _until(lambda: bool(world.executors[busy].running))
        world.cuts.discard((second, busy))
        await asyncio.sleep(unread_s)
        world.refused_topics.discard((second, JOBS.topic))
        # Queries of callers also make a host read the job records.
        for _ in range(round(SETTLED_S / QUERY_INTERVAL_S)):
            await asyncio.gather(asyncio.sleep(QUERY_INTERVAL_S), world.ask(second, "f" * 16))
        assert sum(map(len, world.starts.values())) >= 1
        return world

    assert run_virtual(play()).problems == []


async def _partition() -> tuple[PartWorld, str, str, str, list[str]]:
    """Return a partitioned world: its owner and an executor on one side, the rest on the other.

    Returns:
        The world, the owner, the other host, the executor on the owner's side, and the others.
    """
    world = PartWorld(lists_machines=False)
    await world.begin()
    first = world.owner()
    assert first
    second = next(name for name, _ in world.host_names() if name != first)
    busy, *others = sorted(world.executors)
    world.cuts = {(second, busy)} | {(first, address) for address in others}
    return world, first, second, busy, others


def _count_reported(world: HallWorld, host: str) -> int:
    """Return how many executors have given an owner a complete report."""
    tenure = world.hosts[host].host.candidates[0].tenure
    return sum(e.has_reported for e in tenure.core.executors.values()) if tenure else 0


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(CHECK_INTERVAL_S)


def test_an_owner_that_the_store_refuses_starts_nothing() -> None:
    """Guards against a start by an owner that is not aware of the next owner."""

    async def play() -> HallWorld:
        world, first, second, busy, others = await _partition()
        world.refused_topics.add((first, "owners"))
        await _until(lambda: _count_reported(world, second) == len(others))
        assert await world.submit(first, world.new_job(step(1, estimate_s=LONG_S))) == 200
        await asyncio.sleep(SETTLED_S)
        assert not world.executors[busy].running
        return world

    assert run_virtual(play()).problems == []
