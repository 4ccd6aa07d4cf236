"""Polls whose answers are lost keep no hall from starting work for long.

An executor gets no starts while an unanswered poll may still acknowledge ends of its next
incarnation, unless calls to it can carry a higher fencing token. Tokens come with the owner's
renewals, so there are few after a claim and no new ones while the store is out.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.shard.messages import TaskName
from tests.host.lost_polls import LostPollsWorld
from tests.host.owner_waits import until
from tests.job_builders import step
from tests.virtual_time import run_virtual, world_time

OUTAGE_S = 9.0
"""Longest outage of the store."""

LOST_S = 1.0
"""Time for which answers to polls are lost."""

MAX_AWAY_S = 3.0
"""Longest time until work starts where there is room for it."""


def _running(world: LostPollsWorld, task: TaskName) -> bool:
    return any(e.alive and task in e.running for e in world.executors.values())


async def _claimed_again(world: LostPollsWorld) -> None:
    """Replace the owner while tasks end, so that the next owner has ends to acknowledge."""
    await world.submit("east-host-0", world.new_job(step(9, estimate_s=1.0)))
    await asyncio.sleep(0.3)
    owner = world.owner()
    assert owner
    world.kill_host(owner)
    await until(lambda: world.owner() not in (None, owner), limit_s=10.0)


async def _away_s(losing: int, losses: int, *, timeouts: bool, outage: bool) -> float:
    """Return how long a standing task is away whose run fails after polls were lost.

    Args:
        losing: Number of the three executors whose polls are lost.
        losses: Largest number of lost polls of one executor.
        timeouts: Whether a lost poll takes as long as a call may, and is not reset.
        outage: Whether the store is out from the first lost poll on.
    """
    world = LostPollsWorld(resets=True, max_losses=losses, timeouts=timeouts)
    await world.begin()
    spec = world.new_job(step(1, standing=True, cpu=500))
    await world.submit("east-host-0", spec)
    task = TaskName(spec.job_id, 0, 0, 0)
    await until(lambda: _running(world, task), limit_s=3.0)
    await _claimed_again(world)
    world.losing = set(sorted(world.executors)[:losing])
    await until(lambda: world.losses.keys() == world.losing, limit_s=5.0)
    if outage:
        world.store.refusing.update(name for name, _ in world.host_names())
        asyncio.get_running_loop().call_later(OUTAGE_S, world.store.calm)
    await asyncio.sleep(LOST_S)
    world.losing = set()
    executor = next(e for e in world.executors.values() if task in e.running)
    executor.fail(task)
    failed = world_time()
    await until(lambda: _running(world, task), limit_s=20.0)
    assert world.problems == []
    return world_time() - failed


@pytest.mark.parametrize("losses", (1, 2, 5))
def test_a_standing_task_starts_after_lost_polls_beside_an_outage_of_the_store(
    losses: int,
) -> None:
    """Guards against LOST: a hall with room started nothing for 9 s after lost polls."""
    away_s = run_virtual(_away_s(3, losses, timeouts=False, outage=True))
    assert away_s <= MAX_AWAY_S


@pytest.mark.parametrize("timeouts", (False, True))
@pytest.mark.parametrize("losing", (1, 3))
def test_a_standing_task_starts_after_lost_polls(losing: int, timeouts: bool) -> None:
    """Guards against LOST: renewals bring too few tokens for several lost polls in a row."""
    away_s = run_virtual(_away_s(losing, 5, timeouts=timeouts, outage=False))
    assert away_s <= MAX_AWAY_S
