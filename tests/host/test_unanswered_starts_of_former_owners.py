"""Starts that never arrive, at an executor that starts again and again, over a change of owners."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

FALLS = 5
"""Falls of the one executor: more than give a task up that is there each time."""

BETWEEN_S = 2.5
"""Time between two of them: a start without an answer is given up on, and sent again."""


@dataclass
class LosingStarts(HallWorld):
    """A deployment in which orders are lost for a while.

    Attributes:
        losing: Whether they are.
    """

    losing: bool = False

    def late_by(self) -> float:
        # Beyond the end of the play.
        return 10_000.0 if self.losing else 0.0


async def _played(*, change: bool) -> tuple[HallWorld, str]:
    """Play falls of an executor that no run ever came to."""
    world = LosingStarts(executors_per_hall=1)
    await world.begin()
    address = "east-0:1"
    # Lives are told apart by their births.
    world.restart_executor(address, down_s=0.1)
    await asyncio.sleep(5.0)
    world.trouble()
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
    for _ in range(FALLS):
        world.restart_executor(address, down_s=0.1)
        await asyncio.sleep(BETWEEN_S)
    world.losing = False
    world.trouble()
    await asyncio.sleep(60.0)
    return world, await world.state(next(iter(world.hosts)), spec.job_id)


@pytest.mark.parametrize("change", [False, True])
def test_a_start_that_never_arrives_gives_no_job_up(*, change: bool) -> None:
    """Guards against a job shown as failed that no executor ever ran.

    A next owner takes a start on record for a run that was there, answered or not, and counts it
    as a crash at the end of each life that it may have come to.
    """
    world, state = run_virtual(_played(change=change), limit_s=400.0)
    assert world.problems == []
    assert state == "succeeded"
