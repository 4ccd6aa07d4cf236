"""Tests crashes under a task that turn out not to have been crashes, or not under this task.

A start without an answer may never have arrived, an executor may have left as planned or have been
disconnected, and a run may have ended before the crash.
"""

from __future__ import annotations

from dataclasses import replace

from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.messages import EndedTask, EndKind, ExecutorReport, RunningTask, StopOrder
from linkspan.shard.reports._give_ups import GIVE_UP_DELAY_S
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, confirm_start, core_with, plan
from tests.shard.crash_builders import (
    REPLACED,
    crash_executor,
    only_task,
    report_nothing,
    start_on,
)


def crash_four_times_one_unanswered(core: ShardCore) -> None:
    """Let four executors crash under the task, the third under an unanswered start.

    The third start may still arrive when its executor's next incarnation answers, and is stopped
    there.
    """
    start_on(core, "life-1", 52.6)
    crash_executor(core, "life-1", 54.46, 55.92)
    start_on(core, "life-12", 56.02)
    crash_executor(core, "life-12", 56.85, 57.01)
    run = start_on(core, "life-16@1", 59.07, answered=False)
    core.on_silent("life-16@1", 59.63)
    report_nothing(core, "life-16@1", 2, asked=59.63, now=59.64)
    (unanswered,) = only_task(core).attempts
    assert (unanswered.run, unanswered.executor_id) == (run, "life-16@2")
    unanswered.start_may_arrive_until = 72.16
    core.order_stop(unanswered, 60.2)
    stop = next(order for order in core.orders if isinstance(order, StopOrder))
    core.on_stopped(stop, True, 60.3)
    report_nothing(core, "life-16@2", 2, asked=60.4, now=60.5)
    assert only_task(core).attempts == [unanswered], (
        "the start may reach the next incarnation until 72.16"
    )
    core.on_incarnation_ended("life-16@2", 60.6, REPLACED)
    assert only_task(core).attempts == [], "there is no next incarnation now"
    start_on(core, "life-17@1", 62.77)
    core.on_silent("life-17@1", 64.13)
    report_nothing(core, "life-17@1", 2, asked=65.2, now=65.28)
    core.tick(65.79)


def test_an_unanswered_start_is_not_the_fourth_crash() -> None:
    """Guards against a job given up at four crashes of which one was under an unanswered start.

    All tasks of the job had succeeded; at most one executor had crashed under this one.
    """
    core = core_with(step(1), executors=0)
    crash_four_times_one_unanswered(core)
    assert core.finished == []
    start_on(core, "life-18", 70.0)
    crash_executor(core, "life-18", 70.1, 70.2)
    core.tick(71.0)
    assert [f.job_id for f in core.finished] == [JOB], "five starts are the limit"


def test_a_draining_entry_read_after_the_crash_retracts_it() -> None:
    """Guards against planned departures that count as crashes while the store is slow."""
    core = core_with(step(1), executors=0)
    start_on(core, "life-12", 56.02)
    record = core.executors["life-12"].record
    crash_executor(core, "life-12", 56.85, 57.01)
    assert only_task(core).crash_history
    core.list_executors([replace(record, draining=True, remaining_s=1.0)], 57.5)
    assert only_task(core).crash_history is None
    assert core.executor_crashes == [], (
        "it is no simultaneous crash for other tasks, nor one at its address"
    )


def test_a_disconnected_executor_that_answers_again_has_not_crashed() -> None:
    """Guards against crashes counted for disconnections that outlast leases and entries."""
    core = core_with(step(1), executors=0)
    start_on(core, "e0", 1.0)
    record = core.executors["e0"].record
    core.on_silent("e0", 2.0)
    core.list_executors([], 5.0)
    core.on_silent("e0", 40.0)
    assert "e0" not in core.executors
    assert only_task(core).crash_history
    core.list_executors([record], 41.0)
    core.on_report("e0", ExecutorReport(41.2, (), ()), asked=41.1, now=41.2)
    assert only_task(core).crash_history is None
    assert core.executor_crashes == []


def test_a_run_that_reached_the_next_incarnation_counts_only_there() -> None:
    """Guards against two crashes for a run whose start reached the second of two incarnations."""
    core = core_with(step(1), executors=0)
    start_on(core, "e0@1", 1.0, answered=False)
    core.on_silent("e0@1", 1.5)
    report_nothing(core, "e0@1", 2, asked=1.6, now=1.61)
    (run,) = only_task(core).attempts
    row = RunningTask(run.task.name, run.run, "", 0, None)
    core.on_report("e0@2", ExecutorReport(1.8, (row,), (), started_at_ms=2), asked=1.7, now=1.8)
    core.on_silent("e0@2", 1.9)
    report_nothing(core, "e0@2", 3, asked=2.0, now=2.1)
    history = only_task(core).crash_history
    assert history and [crash.incarnation for crash in history.identified_crashes] == ["e0@2"]


def test_a_task_that_is_done_before_the_delay_ends_is_not_given_up() -> None:
    """Guards against giving up a task whose run elsewhere succeeds during the delay."""
    core = core_with(step(1), step(1), executors=0)
    add_executor(core, "e0")
    first, second = plan(core, 10.0)
    confirm_start(core, first, 10.0)
    core.on_start_unsent(second, 10.0)
    task = core.find_task(first.task)
    assert task
    core.set_crash_history(task, CrashHistory(1, 4))
    crash_executor(core, "e0", 10.1, 10.2)
    assert task.crash_history and task.crash_history.should_give_up
    add_executor(core, "e2")
    done = EndedTask(1, task.name, 2, EndKind.DONE, "")
    core.on_report("e2", ExecutorReport(10.4, (), (done,)), asked=10.3, now=10.4)
    core.tick(10.2 + GIVE_UP_DELAY_S)
    assert core.finished == []


def test_runs_whose_ends_are_read_after_the_crash_did_not_cause_it() -> None:
    """Guards against crashes counted for runs that had ended.

    The executor's last report is handled late, as the records of a job in it are not read yet.
    Meanwhile a start finds another incarnation at the executor's address.
    """
    core = core_with(step(2), executors=0)
    add_executor(core, "e0")
    first, second = plan(core, 10.0)
    for order in (first, second):
        confirm_start(core, order, 10.0)
    crash_executor(core, "e0", 10.8, 10.9)
    ended = EndedTask(1, first.task, first.run, EndKind.DONE, "")
    core.on_report("e0", ExecutorReport(10.7, (), (ended,)), asked=10.6, now=11.0)
    tasks = core.jobs[JOB].runs[0].tasks()
    assert [task.crash_history is None for task in tasks] == [True, False]
