"""Tests starts that an executor refuses repeatedly, as it knows more than the owner's state.

Guards against a task that is sent every 50 ms, or a speculative copy sent at each plan, to an
executor without capacity for as long as the owner's state shows capacity. A refusal left no trace
at its task, and each start is a call that delays others.
"""

from __future__ import annotations

from linkspan.shard.core import ShardCore
from linkspan.shard.messages import StartAnswer, StartOrder, StartOutcome
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
