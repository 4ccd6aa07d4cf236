"""Tests starts that an executor refuses repeatedly, as it knows more than the owner's state.

Guards against a task that is sent every 50 ms, or a speculative copy sent at each plan, to an
executor without capacity for as long as the owner's state shows capacity. A refusal left no trace
at its task, and each start is a call that delays others.
"""

from __future__ import annotations

from dataclasses import replace

from linkspan.jobs.spec import Demand
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import StartAnswer, StartOrder, StartOutcome
from linkspan.shard.refusals import MAX_AVOIDANCE_S, RecentRefusals
from tests.job_builders import step
from tests.shard.builders import JOB, confirm_start, core_with, plan

PLAN_INTERVAL_S = 0.03
"""Interval between the plans of a busy owner."""

SIMULATED_S = 10.0
"""Duration of the simulation."""

MAX_STARTS = 30
"""Limits the starts in the simulation: half a second apart once it is plain that there is no
capacity, the time that an executor takes to report and to publish its free capacity."""


MAX_STARTS_IN_FIRST_SECOND = 5
"""Limits the starts of one task in the first second, with delays that double from 0.05 s."""


def refuse(core: ShardCore, order: StartOrder, now: float) -> None:
    """Apply an executor's answer that it has no capacity for a start."""
    core.on_started(order, StartAnswer(StartOutcome.NO_ROOM, now), now)


def starts_refused(core: ShardCore, since: float, *, for_s: float = SIMULATED_S) -> int:
    """Refuse all planned starts for a time and return their number."""
    starts = 0
    now = since
    while now < since + for_s:
        for order in plan(core, now):
            starts += 1
            refuse(core, order, now)
        now += PLAN_INTERVAL_S
    return starts


def test_a_repeatedly_refused_start_is_retried_less_often() -> None:
    core = core_with(step(1), executors=1)
    assert 10 <= starts_refused(core, 1.0) <= MAX_STARTS


def test_the_first_refusal_delays_a_task_only_briefly() -> None:
    """Most refusals are brief: a run has ended and its capacity is not free yet."""
    core = core_with(step(1), executors=1)
    (first,) = plan(core, 1.0)
    refuse(core, first, 1.01)
    (second,) = plan(core, 1.07)
    confirm_start(core, second, 1.08)
    (task,) = core.jobs[JOB].runs[0].tasks()
    assert task.refusals == 0, "an accepted start resets the count"


def test_a_refused_speculative_copy_is_not_retried_at_each_plan() -> None:
    core = core_with(step(4, speculative=True), executors=2)
    orders = plan(core, 1.0)
    for order in orders:
        confirm_start(core, order, 1.0)
    (job,) = core.jobs.values()
    slow = job.runs[0].steps[0]
    slow.durations += [0.5, 0.5, 0.5]
    assert 4 <= starts_refused(core, 2.0, for_s=1.0) <= len(slow.tasks) * MAX_STARTS_IN_FIRST_SECOND


LARGE = step(1, cpu=4_000)
SMALL = step(1, cpu=500)


def test_an_executor_is_avoided_longer_after_each_refusal_up_to_a_limit() -> None:
    """Guards against a few starts each second at an executor that never has the capacity."""
    refusals = RecentRefusals()
    refusals.on_refused(LARGE, 1.0)
    assert refusals.concern(LARGE, 1.4) and not refusals.concern(LARGE, 1.6)
    refusals.on_refused(LARGE, 2.0)
    assert refusals.concern(LARGE, 2.9) and not refusals.concern(LARGE, 3.1)
    for _ in range(100):
        refusals.on_refused(LARGE, 4.0)
    assert not refusals.concern(LARGE, 4.0 + MAX_AVOIDANCE_S)


def test_a_refusal_does_not_concern_smaller_tasks() -> None:
    """Guards against an executor that stays empty as it refused one large task."""
    refusals = RecentRefusals()
    refusals.on_refused(LARGE, 1.0)
    assert not refusals.concern(SMALL, 1.1)
    refusals.on_accepted(SMALL)
    assert refusals.concern(LARGE, 1.1), "a small task that fits says nothing of a large one"
    refusals.on_accepted(LARGE)
    assert not refusals.concern(LARGE, 1.1)


def test_cores_that_a_best_effort_task_does_not_reserve_are_not_refused() -> None:
    """Guards against other tasks that avoid an executor which lacks memory, not cores."""
    refusals = RecentRefusals()
    refusals.on_refused(step(1, cpu=8_000, best_effort=True), 1.0)
    assert refusals.concern(SMALL, 1.1), "it takes as much memory"
    assert not refusals.concern(replace(SMALL, demand=Demand(500, 50)), 1.1)


def test_a_changed_capacity_clears_the_refusals() -> None:
    """Guards against an executor that is avoided although it has grown."""
    core = core_with(LARGE, executors=1)
    (order,) = plan(core, 1.0)
    refuse(core, order, 1.01)
    executor = core.executors["e0"]
    executor.register(executor.record)
    assert executor.refusals.concern(LARGE, 1.1), "a heartbeat alone changes nothing"
    executor.register(replace(executor.record, capacity=Demand(16_000, 32_000)))
    assert not executor.refusals.concern(LARGE, 1.1)
