"""An owner plans for news that a plan can use, and not for each answer of an executor."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.shard.planning.planner import Planner
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

JOBS = 60

APART_S = 0.5
"""Time between two jobs: each has ended before the next comes."""

MOST_PLANS_A_JOB = 5
"""One as it comes, one at its end, one as that is on record, and one each tenth of a second."""


class Plans:
    """Counts plans."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.made = 0
        plan = Planner.plan

        def counted(planner: Planner, now: float, wall: float) -> None:
            self.made += 1
            plan(planner, now, wall)

        monkeypatch.setattr(Planner, "plan", counted)


async def play(plans: Plans) -> tuple[HallWorld, int]:
    """Play short jobs, one after the other, and return how many plans they took."""
    world = HallWorld(hosts_per_hall=1)
    await world.begin()
    host = next(iter(world.hosts))
    before = plans.made
    for _ in range(JOBS):
        await world.submit(host, world.new_job(step(1, estimate_s=0.1)))
        await asyncio.sleep(APART_S)
    return world, plans.made - before


def test_an_answer_that_changes_nothing_brings_no_plan(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against owners whose time goes into plans for started runs and told ends."""
    plans = Plans(monkeypatch)
    world, made = run_virtual(play(plans))
    assert world.problems == []
    print(f"{made / JOBS:.2f} plans a job")
    assert made <= JOBS * MOST_PLANS_A_JOB
