"""Tests which crashes are certain to have happened under a run of a task, and how many of them
give the task up.

A run may have ended before its executor crashed, and a start without an answer may never have
arrived. Such crashes count, but they alone must not fail a job.
"""

from __future__ import annotations

from dataclasses import replace

from linkspan.jobs.crash import Crash
from linkspan.jobs.record_codec import decode, encode
from linkspan.jobs.records import Delegated, Delegation
from linkspan.shard.attempt import Attempt, Phase
from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import (
    MIN_CERTAIN_CRASHES_IN_UNSTABLE_HALL,
    CrashHistory,
    add_crash,
)
from linkspan.shard.messages import ExecutorReport, RunningTask
from linkspan.shard.recovery.progress import encode_run, restore_run
from linkspan.shard.reports._give_ups import GIVE_UP_DELAY_S
from linkspan.shard.task import Task
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, confirm_start, core_with, plan, report_ends

REPLACED = "another incarnation answers"

SHORT_S = 0.3
"""Duration of a short task."""

UNCERTAIN = Crash("e9@1", 1, 4, certain=False)


def only_task(core: ShardCore) -> Task:
    (task,) = core.jobs[JOB].runs[0].tasks()
    return task


def run_on(core: ShardCore, name: str, began: float, *, answered: bool = True) -> Attempt:
    """Start a run of the task on an executor that reports just before."""
    if name not in core.executors:
        add_executor(core, name)
    report_ends(core, name, asked=began - 0.02, now=began - 0.01)
    task = only_task(core)
    run = Attempt(task, task.next_run, name, Phase.STARTING, began)
    if answered:
        run.phase, run.confirmed_at = Phase.RUNNING, began
    task.next_run += 1
    core.attach(core.executors[name], run)
    return run


def crash_executor(core: ShardCore, name: str, silent: float, ended: float) -> None:
    """Let an executor go silent and another incarnation answer."""
    core.on_silent(name, silent)
    core.on_incarnation_ended(name, ended, REPLACED)


def crash_history_of(core: ShardCore) -> CrashHistory:
    history = only_task(core).crash_history
    assert history
    return history


def test_a_crash_is_not_certain_if_the_run_may_have_ended_before_it() -> None:
    """Guards against a job given up for two crashes of which one hit a run that had ended.

    The first run was done at the moment of its executor's crash, which lasted 10 ms, and its end
    was not reported; it was 0.3 s old, its expected duration. The second run was 0.1 s old.
    """
    core = core_with(step(1, estimate_s=SHORT_S), executors=0)
    run_on(core, "e0@1", 12.693)
    crash_executor(core, "e0@1", 13.02, 13.021)
    run_on(core, "e2@1", 14.422)
    crash_executor(core, "e2@1", 14.53, 14.54)
    core.tick(14.54 + GIVE_UP_DELAY_S)
    history = crash_history_of(core)
    assert (history.crash_count, history.confirmed_count, history.certain_count) == (2, 2, 1)
    assert core.finished == []


def test_a_second_certain_crash_gives_the_task_up() -> None:
    """A task that crashes executors at once is given up at the second crash in a stable hall."""
    core = core_with(step(1, estimate_s=SHORT_S), executors=0)
    for number, at in enumerate((12.0, 14.0)):
        run_on(core, f"e{number}@1", at)
        crash_executor(core, f"e{number}@1", at + 0.05, at + 0.06)
    core.tick(15.0)
    assert crash_history_of(core).certain_count == 2
    assert [f.job_id for f in core.finished] == [JOB]


def test_progress_decides_whether_a_run_may_have_ended() -> None:
    """Guards against crashes under long runs that are certain by age alone, or never certain."""
    for percent, certain in ((10, 1), (95, 0)):
        core = core_with(step(1, estimate_s=10.0), executors=0)
        run = run_on(core, "e0@1", 2.0)
        row = RunningTask(run.task.name, run.run, "", percent, None)
        core.on_report(
            "e0@1", ExecutorReport(11.0, (row,), (), started_at_ms=1), asked=11.0, now=11.0
        )
        crash_executor(core, "e0@1", 12.0, 12.1)
        assert crash_history_of(core).certain_count == certain, percent


def test_in_an_unstable_hall_three_crashes_must_be_certain() -> None:
    """Guards against a job given up for short runs that met two of a hall's many crashes.

    Two executors without a run of the task crashed shortly before.
    """
    core = core_with(step(1, estimate_s=SHORT_S), executors=0)
    for name, at in (("x0@1", 1.0), ("x1@1", 5.0)):
        add_executor(core, name)
        report_ends(core, name, asked=at - 0.1, now=at - 0.09)
        crash_executor(core, name, at, at + 0.05)
    for number, at in enumerate((12.0, 14.0)):
        run_on(core, f"e{number}@1", at)
        crash_executor(core, f"e{number}@1", at + 0.05, at + 0.06)
    core.tick(15.0)
    assert crash_history_of(core).crash_score >= 8
    assert core.finished == []
    run_on(core, "e2@1", 16.0)
    crash_executor(core, "e2@1", 16.05, 16.06)
    core.tick(17.0)
    assert [f.job_id for f in core.finished] == [JOB]


def test_giving_up_takes_two_certain_crashes_or_a_fifth_crash() -> None:
    """Guards against jobs given up for uncertain crashes, and crashing tasks started forever."""
    history = CrashHistory(1, 4, identified_crashes=(UNCERTAIN,))
    for number in range(2, 5):
        history = add_crash(history, Crash(f"e{number}@1", number, 4, certain=False), 0)
        assert (history.certain_count, history.should_give_up) == (0, False)
    assert add_crash(history, Crash("e5@1", 5, 2, certain=False), 0).should_give_up


def test_four_mostly_unconfirmed_crashes_do_not_give_the_task_up() -> None:
    """Guards against a job given up at four crashes, three of them under unanswered starts.

    The fourth run succeeded, but its executor's next incarnation answered before the end was
    reported. Only the crash under that run is confirmed, and none is certain.
    """
    core = core_with(step(1, estimate_s=1.0), executors=0)
    for name, began, silent, ended in (
        ("life-1@1", 52.54, 54.46, 55.92),
        ("life-12@1", 56.01, 56.85, 57.01),
        ("life-16@1", 59.07, 59.6, 59.64),
    ):
        run_on(core, name, began, answered=False)
        crash_executor(core, name, silent, ended)
        for attempt in list(only_task(core).attempts):
            core.close_attempt(attempt, ended)
    run_on(core, "life-17@1", 62.76)
    crash_executor(core, "life-17@1", 64.13, 65.28)
    core.tick(65.79)
    history = crash_history_of(core)
    assert (history.confirmed_count, history.certain_count) == (1, 0)
    assert core.finished == []


def test_the_certainty_of_crashes_survives_an_owner_change_and_a_delegation() -> None:
    """Guards against an uncertain crash that the next owner or another hall counts as certain."""
    identified = (UNCERTAIN, Crash("e8@1", 2, 4), Crash("e7@1", 3, 2, confirmed=False))
    core = core_with(step(1))
    task = only_task(core)
    task.next_run = 5
    core.set_crash_history(task, CrashHistory(3, 10, identified_crashes=identified))
    run = core_with(step(1)).jobs[JOB].runs[0]
    restore_run(run, encode_run(core.jobs[JOB].runs[0]), 0.0)
    (restored,) = run.tasks()
    assert restored.crash_history
    assert [c.certainty for c in restored.crash_history.identified_crashes] == [1, 2, 0]
    read = decode(*encode(Delegated(JOB, 1, (Delegation(0, 0, 1, 3, 10, identified),))))
    assert isinstance(read, Delegated)
    assert [c.certainty for c in read.delegations[0].identified_crashes] == [1, 2, 0]


def test_a_crash_under_a_recorded_unanswered_start_is_unconfirmed() -> None:
    """Guards against an unanswered start of a previous owner that counts as a confirmed crash."""
    core = core_with(step(1), executors=1)
    (order,) = plan(core, 1.0)
    assert not history_after_crash_at_next_owner(core).identified_crashes[0].confirmed
    core = core_with(step(1), executors=1)
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.1)
    assert history_after_crash_at_next_owner(core).identified_crashes[0].confirmed


def history_after_crash_at_next_owner(core: ShardCore) -> CrashHistory:
    """Return the crash history of the task at a next owner, after the task's executor crashed."""
    next_owner = core_with(step(1), executors=1)
    next_owner.jobs.clear()
    progress = {0: encode_run(core.jobs[JOB].runs[0])}
    next_owner.add_job(
        core.jobs[JOB].submitted, 30.0, inherited=True, begun=True, progress=progress
    )
    crash_executor(next_owner, "e0", 31.0, 31.1)
    return crash_history_of(next_owner)


def test_a_crash_under_an_unanswered_start_counts_after_three_crashes() -> None:
    """Guards against a task that crashes six executors, more than its crash budget.

    Three crashes are counted. The owner is lost right after the fourth start, whose answer is not
    on record. If the next owner does not count the crash under that start, the fifth crash is the
    fourth by its count, and simultaneous crashes of other executors can defer giving up the task.
    """
    core = core_with(step(1, estimate_s=60.0), executors=1)
    identified = tuple(Crash(f"e{number}@1", number, 2) for number in (1, 2, 3))
    only_task(core).next_run = 4
    core.set_crash_history(only_task(core), CrashHistory(3, 7, identified_crashes=identified))
    core.jobs[JOB].runs[0].durable = core.jobs[JOB].runs[0].version
    (order,) = plan(core, 10.0)
    history = history_after_crash_at_next_owner(core)
    assert (history.crash_count, history.confirmed_count, history.should_give_up) == (4, 3, False)
    assert add_crash(history, Crash("e5@1", order.run + 16, 2), 0).should_give_up


def test_in_an_unstable_hall_unconfirmed_runs_do_not_give_the_task_up() -> None:
    """Guards against a job given up at five crashes of which none was certain.

    On an overloaded machine, executors crashed every other second. Two runs were confirmed and may
    have ended, three starts were unanswered. All tasks of the job had succeeded.
    """
    identified = tuple(
        Crash(f"e{number}@1", number, 2, confirmed=number < 3, certain=False)
        for number in range(1, 6)
    )
    history = CrashHistory(5, 7, identified_crashes=identified)
    assert history.should_give_up, "in a stable hall only the task explains the crashes"
    assert not history.should_give_up_with(MIN_CERTAIN_CRASHES_IN_UNSTABLE_HALL)
    assert not replace(history, deferred_at=history.crash_count).must_give_up


def test_a_crash_under_a_recovered_standing_run_is_certain() -> None:
    """Guards against a standing task that crashes its executors without a certain crash.

    The run reports 100 percent of an unbounded duration, so nothing seems to remain of it.
    """
    core = core_with(step(1, standing=True), executors=0)
    run = run_on(core, "e0@1", 2.0)
    run.recovered = True
    row = RunningTask(run.task.name, run.run, "", 100, None)
    core.on_report("e0@1", ExecutorReport(3.0, (row,), (), started_at_ms=1), asked=3.0, now=3.0)
    crash_executor(core, "e0@1", 4.0, 4.1)
    assert crash_history_of(core).certain_count == 1


def test_in_an_unstable_hall_four_crashes_with_two_certain_ones_decide_by_score() -> None:
    """Guards against a sixth start of a task under which five executors crashed.

    A crash under a start on no record is counted by no owner. The first two counted starts were
    unanswered, the next two crashed their executors at once. Executors crash by themselves.
    """
    unconfirmed = tuple(Crash(f"e{number}@1", number, 2, confirmed=False) for number in (1, 2))
    history = CrashHistory(2, 4, identified_crashes=unconfirmed)
    history = add_crash(history, Crash("e3@1", 3, 4), 0)
    assert not history.should_give_up_with(MIN_CERTAIN_CRASHES_IN_UNSTABLE_HALL)
    history = add_crash(history, Crash("e4@1", 4, 4), 0)
    assert (history.crash_count, history.confirmed_count, history.certain_count) == (4, 2, 2)
    assert history.should_give_up_with(MIN_CERTAIN_CRASHES_IN_UNSTABLE_HALL)


def test_in_an_unstable_hall_four_crashes_that_are_not_blamed_decide_nothing() -> None:
    """Guards against a job given up for crashes with which its task had nothing to do."""
    history = CrashHistory(1, 2, identified_crashes=(UNCERTAIN,))
    for number in range(2, 5):
        crash = Crash(f"e{number}@1", number, 2, certain=number > 2)
        history = add_crash(history, crash._replace(confirmed=number > 2), 0)
    assert history.certain_count == 2
    assert not history.should_give_up_with(MIN_CERTAIN_CRASHES_IN_UNSTABLE_HALL)
