"""Best-effort work that waits beside standing tasks: the load of a day with too little room.

The room beside standing tasks decides then both about jobs that end late and about standing tasks
that miss their latency target.
"""

from __future__ import annotations

import pytest

from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec
from linkspan.shard.attempt import Attempt
from linkspan.shard.colocation.interference import UNLOADED_LATENCY_RATIO, scaled_cores
from linkspan.shard.colocation.pacing import PAUSE_ALL_AFTER_S, Pacer
from linkspan.shard.colocation.room_demand import (
    AVERAGING_S,
    CALM_LIMITS,
    DEMAND_LIMITS,
    RoomDemand,
)
from linkspan.shard.core import ShardCore
from linkspan.shard.handover.summary import PairEffect
from tests.job_builders import QUEUE, step
from tests.shard.builders import core_with, place_running, plan

BATCH_JOB = "00000000000000bb"

ABSENT_LABEL = "absent"
"""Label that no executor has."""

ADDED_PRESSURE = 0.06
"""Pressure that the task of the batch job adds to a standing task."""

LONG_S = 10 * AVERAGING_S
"""Time after which an average has reached its end."""


def test_limits_follow_the_demand_and_return() -> None:
    demand = RoomDemand()
    assert demand.limits(0.0) == CALM_LIMITS
    demand.update(waits=True, now=0.0)
    halfway = demand.limits(AVERAGING_S)
    assert CALM_LIMITS.placement < halfway.placement < DEMAND_LIMITS.placement
    assert demand.limits(LONG_S) == pytest.approx(DEMAND_LIMITS, abs=1e-4)
    demand.update(waits=False, now=LONG_S)
    assert demand.limits(2 * LONG_S) == pytest.approx(CALM_LIMITS, abs=1e-4)


def test_a_short_wait_changes_little() -> None:
    """Guards against limits that change with every job that waits for one plan."""
    demand = RoomDemand()
    demand.update(waits=True, now=0.0)
    demand.update(waits=False, now=0.05)
    assert demand.limits(0.05).placement == pytest.approx(CALM_LIMITS.placement, abs=0.002)


def _add_batch_job(core: ShardCore, objective_s: float, label: str = "") -> None:
    """Add a job of one best-effort task."""
    task = step(1, best_effort=True, image="b", label=label)
    core.add_job(Submitted(JobSpec(BATCH_JOB, QUEUE.name, "text", (task,)), 0, 0.0, "host"), 0.0)
    core.jobs[BATCH_JOB].objective_s = objective_s


def _plan_for(core: ShardCore, seconds: float) -> None:
    for tick in range(int(seconds / 0.5)):
        plan(core, 0.5 * tick)


def test_work_that_can_be_in_time_raises_the_limits() -> None:
    core = core_with(executors=1)
    _add_batch_job(core, objective_s=1_000.0, label=ABSENT_LABEL)
    _plan_for(core, LONG_S)
    assert core.room_demand.limits(LONG_S).placement > CALM_LIMITS.placement + 0.03


def test_work_that_ends_late_anyway_does_not_raise_the_limits() -> None:
    """Guards against standing tasks that are slowed for jobs which nobody waits for any more."""
    core = core_with(executors=1)
    _add_batch_job(core, objective_s=0.01, label=ABSENT_LABEL)
    _plan_for(core, LONG_S)
    assert core.room_demand.limits(LONG_S) == pytest.approx(CALM_LIMITS, abs=0.01)


def _serving_with_neighbour() -> tuple[ShardCore, Attempt, Attempt]:
    core = core_with(executors=1)
    executor = core.executors["e0"]
    serving = place_running(core, executor, standing=True, image="s", latency_target_ms=10.0)
    neighbour = place_running(core, executor, best_effort=True, image="b", cpu=3_000)
    neighbour.usage = 3_000.0
    return core, serving, neighbour


@pytest.mark.parametrize("waits", [True, False])
def test_room_close_to_the_target_is_used_only_while_work_waits(waits: bool) -> None:
    core, serving, _ = _serving_with_neighbour()
    executor = core.executors["e0"]
    executor.remove(executor.best_effort()[0])
    limit = (CALM_LIMITS.placement + DEMAND_LIMITS.placement) / 2
    pressure = limit - ADDED_PRESSURE
    for tick in range(40):
        serving.usage = 10.0 * UNLOADED_LATENCY_RATIO / (1.0 - pressure)
        core.interference.learn(executor, tick * 0.5 - 20.0)
    effect = ADDED_PRESSURE / scaled_cores(executor, 1_000)
    core.interference.adopt([PairEffect("s", "b", effect, 0.0)], 0.0)
    core.room_demand.update(waits=waits, now=-LONG_S)
    _add_batch_job(core, objective_s=1_000.0)
    assert bool(plan(core, 0.1)) == waits


def test_neighbours_pause_before_harm_while_work_waits() -> None:
    """Guards against limits that outweigh the time over target that the platform allows."""
    core, serving, neighbour = _serving_with_neighbour()
    core.room_demand.update(waits=True, now=-LONG_S)
    pacer = Pacer(core, core.interference)
    now = 0.0
    while now <= PAUSE_ALL_AFTER_S + 0.6:
        serving.usage = 30.0
        pacer.on_report(core.executors["e0"], now, now)
        now += 0.5
    assert neighbour.pace == 0
