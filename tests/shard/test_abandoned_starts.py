"""Tests when a task leaves an executor that may still receive its start, and what is polled then.

Guards against a second run: the start is carried out while the task already runs elsewhere.
"""

from __future__ import annotations

from linkspan.shard.attempt import NEVER
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import ExecutorReport, RunningTask
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from linkspan.shard.reports._abandoned_starts import MAX_BOUND_S, MIN_UNANSWERED_S
from linkspan.shard.task import Task
from tests.job_builders import MAX_AWAY_S, step
from tests.shard.builders import JOB, add_executor, confirm_start, core_with, plan
from tests.shard.unavailable_executor import (
    FIRST,
    OTHER,
    STEP_S,
    UNANSWERED_AT,
    core_with_unanswered_start,
    report_nothing,
    started_elsewhere_after_s,
)

BATCH = step(1, cpu=4_000)
STANDING = step(1, cpu=4_000, standing=True)
PLACEHOLDER = "a"


def only_task(core: ShardCore) -> Task:
    (task,) = core.jobs[JOB].runs[0].tasks()
    return task


def end_first(core: ShardCore, now: float, *, since: float) -> None:
    """Prove the end of the first executor, whose id may be used again."""
    core.on_silent(FIRST, now)
    core.on_incarnation_ended(FIRST, now, "the machine is gone", since=since)


def poll_in_vain(core: ShardCore, since: float, until: float) -> None:
    """Poll the executors closely that have to be, without an answer."""
    now = since
    while now < until:
        core.executors_to_poll_closely(now)
        core.tick(now)
        now = round(now + STEP_S, 2)


def polled(core: ShardCore, now: float) -> set[str]:
    return {executor.executor_id for executor in core.executors_to_poll_closely(now)}


def test_batch_work_waits_until_its_start_can_no_longer_arrive() -> None:
    """Only standing tasks are lost by the wait, so only they take the risk."""
    core = core_with_unanswered_start(BATCH)
    waited_s = started_elsewhere_after_s(
        core, lambda core, now: report_nothing(core, FIRST, 1, now)
    )
    assert waited_s >= MAX_START_DELAY_S


def test_a_silent_executor_without_proof_of_its_end_keeps_its_task() -> None:
    """Guards against a task that leaves an executor which is only cut off and runs it."""
    core = core_with_unanswered_start(STANDING)
    clock = core.executors[FIRST].clock
    assert clock
    waited_s = started_elsewhere_after_s(core, lambda core, now: core.on_silent(FIRST, now))
    assert UNANSWERED_AT + waited_s >= clock.leases_expired_at()


def test_a_run_that_the_next_incarnation_may_have_keeps_its_task() -> None:
    """Guards against the same after an answer that may be the next incarnation's."""
    core = core_with(STANDING, executors=0)
    add_executor(core, FIRST)
    (order,) = plan(core, 1.0)
    confirm_start(core, order, UNANSWERED_AT)
    add_executor(core, OTHER)
    core.jobs[JOB].runs[0].durable = float("inf")
    end_first(core, 2.5, since=UNANSWERED_AT - 0.1)
    poll_in_vain(core, 2.5, UNANSWERED_AT + MAX_AWAY_S)
    assert not only_task(core).pending


def test_a_start_is_not_abandoned_right_after_a_freeze() -> None:
    """Guards against an executor that restarted and began the run while this host was frozen."""
    core = core_with_unanswered_start(STANDING)
    end_first(core, 2.5, since=2.4)
    poll_in_vain(core, 2.6, MAX_BOUND_S - 0.1)
    core.executors_to_poll_closely(7.0)
    core.tick(7.0)
    assert not only_task(core).pending, "nobody has polled the executor for seconds"
    poll_in_vain(core, 7.1, 7.2 + MIN_UNANSWERED_S)
    assert only_task(core).pending


def test_an_executor_is_polled_closely_while_an_abandoned_start_may_arrive() -> None:
    """Guards against a next incarnation that carries out the start before its first call."""
    core = core_with_unanswered_start(STANDING)
    assert polled(core, 2.5) == set(), "its next report shows whether the run is there"
    end_first(core, 2.5, since=2.4)
    poll_in_vain(core, 2.6, MAX_BOUND_S + 1.0)
    assert only_task(core).pending
    assert polled(core, 6.0) == {PLACEHOLDER}
    assert polled(core, UNANSWERED_AT + MAX_START_DELAY_S - 0.1) == {PLACEHOLDER}
    assert polled(core, UNANSWERED_AT + MAX_START_DELAY_S) == set()


def test_an_executor_that_ends_after_its_start_was_abandoned_is_polled_closely() -> None:
    """Guards against an id that nobody polls, as no run is known to be there."""
    core = core_with_unanswered_start(STANDING)
    started_elsewhere_after_s(core, lambda core, now: report_nothing(core, FIRST, 1, now))
    assert polled(core, 6.0) == {FIRST}
    end_first(core, 6.5, since=6.4)
    assert polled(core, 6.6) == {PLACEHOLDER}
    core.on_incarnation_ended(PLACEHOLDER, 7.0, "the machine is gone", since=6.9)
    assert polled(core, 7.1) == {PLACEHOLDER}
    report_nothing(core, PLACEHOLDER, 2, 8.0)
    assert polled(core, 8.1) == {"a@2"}, "the incarnation after that has seen no token"


def test_a_start_that_is_unanswered_after_its_incarnation_ended_is_abandoned() -> None:
    """Guards against a bound task whose start was still on its way when the end was proved."""
    core = core_with(STANDING, executors=0)
    add_executor(core, FIRST)
    (order,) = plan(core, 1.0)
    end_first(core, 1.5, since=1.4)
    poll_in_vain(core, 1.6, UNANSWERED_AT)
    core.on_start_unanswered(order, UNANSWERED_AT)
    poll_in_vain(core, UNANSWERED_AT, MAX_BOUND_S + 1.0)
    assert only_task(core).pending


def test_a_run_that_the_next_incarnation_lists_does_not_count_as_waiting() -> None:
    """Guards against a task that counts as away for as long as it runs there."""
    core = core_with(STANDING, executors=0)
    add_executor(core, FIRST)
    (order,) = plan(core, 1.0)
    confirm_start(core, order, UNANSWERED_AT)
    end_first(core, 2.5, since=UNANSWERED_AT - 0.1)
    row = RunningTask(order.task, order.run, "", 100, None)
    report = ExecutorReport(3.0, (row,), (), started_at_ms=2)
    core.on_report(PLACEHOLDER, report, asked=3.0, now=3.01)
    (attempt,) = only_task(core).attempts
    assert attempt.listed
    assert only_task(core).waiting_since == NEVER
