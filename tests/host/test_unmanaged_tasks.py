"""Tests the line and the gauge on standing tasks that no hall may manage."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from linkspan.shard.core import ShardCore
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.managed_tasks import ManagedTasks
from tests.virtual_time import run_virtual

REPORTED_S = 7.0
"""Time within which a task that stays managed by no hall is named."""


async def _world() -> tuple[HallWorld, str]:
    """Return a world of two halls in which one task of the job, of five, is delegated."""
    world = HallWorld(halls=("east", "west"), hosts_per_hall=1)
    await world.begin()
    spec = world.new_job(step(5, standing=True, max_per_executor=1))
    await world.submit("east-host-0", spec)
    await asyncio.sleep(8.0)
    assert len(world.log.named("WORK_HANDED_OVER")) == 1
    assert world.log.named("TASKS_UNMANAGED") == []
    return world, spec.job_id


def _core(world: HallWorld, shard: int) -> ShardCore:
    tenures = (running.host.candidates[shard].tenure for running in world.hosts.values())
    return next(tenure.core for tenure in tenures if tenure)


def _lose_record(world: HallWorld, job_id: str) -> None:
    """Have the home hall count a task as handed over that no record names."""
    task = _core(world, 0).jobs[job_id].runs[0].steps[0].tasks[0]
    task.managed_by, task.delegation_number = 1, 9


def _lose_job(world: HallWorld, job_id: str) -> None:
    del _core(world, 1).jobs[job_id]


def _lose_delegation(world: HallWorld, job_id: str) -> None:
    """Have the other hall count a task as its home's that was handed over to it."""
    for task in _core(world, 1).jobs[job_id].runs[0].steps[0].tasks:
        task.managed_by = 0


@pytest.mark.parametrize(
    ("lose", "reason"),
    (
        (_lose_record, "handed over without a record that names it"),
        (_lose_job, "its job belongs to this hall, which does not have it"),
        (_lose_delegation, "handed over to this hall, which does not manage it"),
    ),
)
def test_a_task_in_no_halls_hands_is_named(
    lose: Callable[[HallWorld, str], None], reason: str
) -> None:
    """Guards against a task that waits for ever and that no line names."""

    async def play() -> None:
        world, job_id = await _world()
        managed = ManagedTasks(world)
        assert managed.all_halls_act
        assert managed.wrong() == {}
        lose(world, job_id)
        assert set(managed.wrong().values()) == {0}
        await asyncio.sleep(REPORTED_S)
        line = world.log.named("TASKS_UNMANAGED")[0]
        assert line["reason"] == reason
        assert line["job"] == job_id
        pages = [running.host._metrics.page()[0].decode() for running in world.hosts.values()]
        gauges = [
            v for page in pages for v in page.splitlines() if "linkspan_unmanaged_tasks{" in v
        ]
        assert max(float(gauge.split()[-1]) for gauge in gauges) >= 1

    run_virtual(play())
