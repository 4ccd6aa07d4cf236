"""Starts that executors refuse again and again, since they know more than the books here.

What could be seen: a task that an executor has no room for was sent to it every 50 ms for as
long as the books said otherwise, and a copy of a run each time that a plan was made. Refusals
leave nothing behind at their task, as crashes did, and each is a call that others wait behind.
"""

from __future__ import annotations

from linkspan.shard.core import ShardCore
from linkspan.shard.messages import StartAnswer, StartOrder, StartOutcome
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan, started

PLAN_S = 0.03
"""Time between plans of a busy owner."""

PLAYED_S = 10.0
"""Length of a play."""

MOST_STARTS = 30
"""Starts in that time: half a second apart once it is plain that there is no room, which is
how long an executor takes to report, and to say in its entry what room it has."""


MOST_IN_A_SECOND = 5
"""Starts of one task in the first second, with pauses that double from 0.05 s."""


def refuse(core: ShardCore, order: StartOrder, now: float) -> None:
    core.on_started(order, StartAnswer(StartOutcome.NO_ROOM, now), now)


def starts_refused(core: ShardCore, since: float, *, for_s: float = PLAYED_S) -> int:
    """Refuse all starts of plans for a while and return how many there were."""
    starts = 0
    now = since
    while now < since + for_s:
        for order in plan(core, now):
            starts += 1
            refuse(core, order, now)
        now += PLAN_S
    return starts


def test_a_start_that_is_refused_again_and_again_is_tried_less_often() -> None:
    core = core_with(step(1), executors=1)
    assert 10 <= starts_refused(core, 1.0) <= MOST_STARTS


def test_the_first_refusal_costs_a_task_next_to_nothing() -> None:
    """Most are of a moment: a run has ended, and its executor has not freed its room yet."""
    core = core_with(step(1), executors=1)
    (first,) = plan(core, 1.0)
    refuse(core, first, 1.01)
    (second,) = plan(core, 1.07)
    started(core, second, 1.08)
    (task,) = core.jobs[JOB].runs[0].tasks()
    assert task.refusals == 0, "a start that was taken ends the row"


def test_a_copy_that_is_refused_is_not_tried_at_each_plan() -> None:
    core = core_with(step(4, speculative=True), executors=2)
    orders = plan(core, 1.0)
    for order in orders:
        started(core, order, 1.0)
    (job,) = core.jobs.values()
    slow = job.runs[0].steps[0]
    slow.durations += [0.5, 0.5, 0.5]
    assert 4 <= starts_refused(core, 2.0, for_s=1.0) <= len(slow.tasks) * MOST_IN_A_SECOND
