"""Owners that are killed while a handover is being recorded leave no task without a hall.

A handover takes two records, one of the hall that hands work over and one that all halls read. The
owner of either hall, or of both, is lost between the two or right after the second. Its host's
next owner has the first record, or cannot decode it.
"""

from __future__ import annotations

import asyncio
from itertools import product

import pytest

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Delegated, Moved, Returned, Submitted
from tests.hall_world import HallWorld
from tests.host.handover_kills import HandoverKillsWorld, HandoverRecord, KillPlan
from tests.host.owner_waits import until
from tests.job_builders import step
from tests.managed_tasks import ManagedTasks
from tests.virtual_time import run_virtual

TASKS = 4
"""One task more than a hall has executors."""

SETTLED_S = 15.0
"""Time within which next owners have claimed the halls and all leases of former ones have ended."""

PLACED_S = 9.0
"""Time within which a task is placed once there is room."""

KILLED = ((True, False), (False, True), (True, True))
"""Whether the owners of the hall that hands work over and of the other hall are killed."""

PLANS = [
    KillPlan(record, published, giver, taker, unreadable)
    for record, published, (giver, taker), unreadable in product(
        (Moved, Delegated, Returned), (False, True), KILLED, (False, True)
    )
]


def _name(plan: KillPlan) -> str:
    killed = "both" if plan.giver and plan.taker else "giver" if plan.giver else "taker"
    published = "after" if plan.published else "before"
    return f"{killed} {published} {plan.record.__name__}{' unreadable' * plan.unreadable}"


def _count_running(world: HallWorld, job_id: str) -> int:
    alive = [e for e in world.executors.values() if e.alive]
    return sum(task.job_id == job_id for e in alive for task in e.running)


async def _hand_over(world: HandoverKillsWorld, record: HandoverRecord) -> str:
    """Bring about a handover after the plan is set, and return the job's id."""
    spec = world.new_job(step(TASKS, standing=True, max_per_executor=1, cpu=1_000))
    if record is Moved:
        full = world.new_job(step(3, cpu=8_000, estimate_s=60.0))
        await world.submit("east-host-0", full)
        await asyncio.sleep(1.0)
        spec = world.new_job(step(TASKS - 1, standing=True, max_per_executor=1, cpu=1_000))
        world.specs[spec.job_id] = spec
        world.store.put(JOBS, *encode(Submitted(spec, 0, 0.0, "life-x")))
        world.accepted.add(spec.job_id)
        return spec.job_id
    await world.submit("east-host-0", spec)
    if record is Returned:
        await asyncio.sleep(6.0)
        for index in range(world.executors_per_hall):
            world.crash_executor(f"west-{index}:1", back=False)
    return spec.job_id


@pytest.mark.parametrize("plan", PLANS, ids=_name)
def test_each_task_has_one_hall_after_owners_are_killed_in_a_handover(plan: KillPlan) -> None:
    """Guards against a task that no hall manages, or two, and against one that never runs."""

    async def play() -> HallWorld:
        world = HandoverKillsWorld(halls=("east", "west"), hosts_per_hall=1)
        await world.begin()
        managed = ManagedTasks(world)
        watch = asyncio.create_task(managed.watch())
        world.plan = plan
        job_id = await _hand_over(world, plan.record)
        await until(lambda: world.plan is None, limit_s=15.0)
        await asyncio.sleep(SETTLED_S)
        assert managed.all_halls_act
        assert managed.wrong() == {}
        if plan.record is Returned:
            for index in range(world.executors_per_hall):
                world.add_executor("west", f"west-{index}:1")
        await asyncio.sleep(PLACED_S)
        assert managed.wrong() == {}
        assert _count_running(world, job_id) == world.specs[job_id].steps[0].count
        watch.cancel()
        return world

    assert run_virtual(play()).problems == []
