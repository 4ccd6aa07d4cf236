"""Executors that seemed to crash under a task, and what is told of it later."""

from __future__ import annotations

from dataclasses import replace

from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.messages import EndedTask, EndKind, ExecutorReport, RunningTask, StopOrder
from linkspan.shard.reports._crashes import GIVE_UP_DELAY_S
from linkspan.shard.task import Task
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, core_with, plan, report, started

REPLACED = "another incarnation answers"


def only_task(core: ShardCore) -> Task:
    (task,) = core.jobs[JOB].runs[0].tasks()
    return task


def fall(core: ShardCore, name: str, silent: float, gone: float) -> None:
    """Let an executor go silent, and another one answer at its address."""
    core.on_silent(name, silent)
    core.on_incarnation_ended(name, gone, REPLACED)


def empty(core: ShardCore, name: str, started_at_ms: int, *, asked: float, now: float) -> None:
    """Let a life answer that lists nothing."""
    core.on_report(
        name, ExecutorReport(now, (), (), started_at_ms=started_at_ms), asked=asked, now=now
    )


def recorded(core: ShardCore) -> None:
    """Take in that all is on record: suspects start only then."""
    core.jobs[JOB].runs[0].durable = float("inf")


def start_on(core: ShardCore, name: str, now: float, *, answered: bool = True) -> int:
    """Add an executor, have the task started there and return the run's number."""
    add_executor(core, name)
    report(core, name, asked=now - 0.02, now=now - 0.01)
    recorded(core)
    (order,) = plan(core, now)
    assert order.executor_id == name
    clock = core.executors[name].clock
    assert clock
    clock.grant(core.bounds.max_lease_s, now)
    if answered:
        started(core, order, now)
    return order.run


def crash_four_times_one_unanswered(core: ShardCore) -> None:
    """Play four falls under a task, at the third of which nobody knows that its run was there.

    The third start is on its way when its executor's next life answers; that takes a stop of it.
    """
    start_on(core, "life-1", 52.6)
    fall(core, "life-1", 54.46, 55.92)
    start_on(core, "life-12", 56.02)
    fall(core, "life-12", 56.85, 57.01)
    run = start_on(core, "life-16@1", 59.07, answered=False)
    core.on_silent("life-16@1", 59.63)
    empty(core, "life-16@1", 2, asked=59.63, now=59.64)
    (unsure,) = only_task(core).attempts
    assert (unsure.run, unsure.executor_id) == (run, "life-16@2")
    unsure.start_may_arrive_until = 72.16
    core.order_stop(unsure, 60.2)
    stop = next(order for order in core.orders if isinstance(order, StopOrder))
    core.on_stopped(stop, True, 60.3)
    empty(core, "life-16@2", 2, asked=60.4, now=60.5)
    assert only_task(core).attempts == [unsure], "the next life may get it until 72.16"
    core.on_incarnation_ended("life-16@2", 60.6, REPLACED)
    assert only_task(core).attempts == [], "now there is none"
    start_on(core, "life-17@1", 62.77)
    core.on_silent("life-17@1", 64.13)
    empty(core, "life-17@1", 2, asked=65.2, now=65.28)
    core.tick(65.79)


def test_a_start_that_nobody_knows_to_have_been_there_is_not_the_fourth_crash() -> None:
    """Guards against a job given up at four crashes of which one was a start without an answer.

    The job's tasks had all ended well; one executor at the most had crashed under this one.
    """
    core = core_with(step(1), executors=0)
    crash_four_times_one_unanswered(core)
    assert core.finished == []
    start_on(core, "life-18", 70.0)
    fall(core, "life-18", 70.1, 70.2)
    core.tick(71.0)
    assert [f.job_id for f in core.finished] == [JOB], "five starts are the most"


def test_a_draining_entry_that_is_read_after_the_fall_takes_the_crash_back() -> None:
    """Guards against planned leaves that count as crashes where the store answers late."""
    core = core_with(step(1), executors=0)
    start_on(core, "life-12", 56.02)
    record = core.executors["life-12"].record
    fall(core, "life-12", 56.85, 57.01)
    assert only_task(core).crash_history
    core.list_executors([replace(record, draining=True, remaining_s=1.0)], 57.5)
    assert only_task(core).crash_history is None
    assert core.executor_crashes == [], "and it speaks for no other task, nor against its address"


def test_an_executor_that_was_cut_off_and_answers_again_has_not_crashed() -> None:
    """Guards against crashes counted for cuts that last longer than leases and entries."""
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


def test_a_run_that_was_at_the_next_life_counts_there_alone() -> None:
    """Guards against two crashes for a run whose start reached the second of two lives."""
    core = core_with(step(1), executors=0)
    start_on(core, "e0@1", 1.0, answered=False)
    core.on_silent("e0@1", 1.5)
    empty(core, "e0@1", 2, asked=1.6, now=1.61)
    (run,) = only_task(core).attempts
    row = RunningTask(run.task.name, run.run, "", 0, None)
    core.on_report("e0@2", ExecutorReport(1.8, (row,), (), started_at_ms=2), asked=1.7, now=1.8)
    core.on_silent("e0@2", 1.9)
    empty(core, "e0@2", 3, asked=2.0, now=2.1)
    known = only_task(core).crash_history
    assert known and [crash.incarnation for crash in known.identified_crashes] == ["e0@2"]


def test_a_task_that_is_done_before_its_verdict_is_not_given_up() -> None:
    """Guards against a verdict that beats an end: a run elsewhere had ended well meanwhile."""
    core = core_with(step(1), step(1), executors=0)
    add_executor(core, "e0")
    first, second = plan(core, 10.0)
    started(core, first, 10.0)
    core.on_start_unsent(second, 10.0)
    task = core.find_task(first.task)
    assert task
    core.set_crash_history(task, CrashHistory(1, 4))
    fall(core, "e0", 10.1, 10.2)
    assert task.crash_history and task.crash_history.should_give_up
    add_executor(core, "e2")
    done = EndedTask(1, task.name, 2, EndKind.DONE, "")
    core.on_report("e2", ExecutorReport(10.4, (), (done,)), asked=10.3, now=10.4)
    core.tick(10.2 + GIVE_UP_DELAY_S)
    assert core.finished == []


def test_runs_whose_ends_are_read_after_the_fall_had_not_crashed_it() -> None:
    """Guards against crashes counted for runs that had ended.

    The executor's last answer waits for the records of a job that it names. Meanwhile a start
    finds another one at its address.
    """
    core = core_with(step(2), executors=0)
    add_executor(core, "e0")
    first, second = plan(core, 10.0)
    for order in (first, second):
        started(core, order, 10.0)
    fall(core, "e0", 10.8, 10.9)
    ended = EndedTask(1, first.task, first.run, EndKind.DONE, "")
    core.on_report("e0", ExecutorReport(10.7, (), (ended,)), asked=10.6, now=11.0)
    tasks = core.jobs[JOB].runs[0].tasks()
    assert [task.crash_history is None for task in tasks] == [True, False]
