"""Starts that never arrive, at an executor that restarts repeatedly, across a change of owners."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

CRASHES = 5
"""Crashes of the one executor: more than a task survives that runs at each of them."""

CRASH_INTERVAL_S = 2.5
"""Time between two crashes, within which an unanswered start is given up and sent again."""


@dataclass
class LosingStarts(HallWorld):
    """A deployment in which orders are lost for a while.

    Attributes:
        losing: Whether orders are lost now.
    """

    losing: bool = False

    def late_by(self) -> float:
        # Later than the end of the test.
        return 10_000.0 if self.losing else 0.0


async def _played(*, change: bool) -> tuple[HallWorld, str]:
    """Play crashes of an executor that no start ever reached."""
    world = LosingStarts(executors_per_hall=1)
    await world.begin()
    address = "east-0:1"
    # Incarnations are distinguished by their start times.
    world.restart_executor(address, down_s=0.1)
    await asyncio.sleep(5.0)
    world.record_fault()
    world.losing = True
    spec = world.new_job(step(1, estimate_s=1.0))
    assert await world.submit("east-host-0", spec) == 200
    await asyncio.sleep(0.5)
    owner = world.owner()
    assert owner
    if change:
        world.kill_host(owner)
        await asyncio.sleep(6.0)
        assert world.owner()
    for _ in range(CRASHES):
        world.restart_executor(address, down_s=0.1)
        await asyncio.sleep(CRASH_INTERVAL_S)
    world.losing = False
    world.record_fault()
    await asyncio.sleep(60.0)
    return world, await world.state(next(iter(world.hosts)), spec.job_id)


@pytest.mark.parametrize("change", [False, True])
def test_a_start_that_never_arrives_gives_no_job_up(*, change: bool) -> None:
    """Guards against a job shown as failed that no executor ever ran.

    A next owner assumes that each start on record had a run, answered or not, and counts a crash
    at the end of each incarnation that the start may have reached.
    """
    world, state = run_virtual(_played(change=change), limit_s=400.0)
    assert world.problems == []
    assert state == "succeeded"
