"""Which crashes are certain to have been under a task, and what it takes to give the task up."""

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
from linkspan.shard.reports._crashes import GIVE_UP_DELAY_S
from linkspan.shard.task import Task
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, core_with, plan, report, started

REPLACED = "another incarnation answers"

SHORT_S = 0.3
"""Length of a task that ends soon."""

UNSURE = Crash("e9@1", 1, 4, certain=False)


def only_task(core: ShardCore) -> Task:
    (task,) = core.jobs[JOB].runs[0].tasks()
    return task


def run_on(core: ShardCore, name: str, began: float, *, answered: bool = True) -> Attempt:
    """Let a run of the task begin on an executor that answers just before."""
    if name not in core.executors:
        add_executor(core, name)
    report(core, name, asked=began - 0.02, now=began - 0.01)
    task = only_task(core)
    run = Attempt(task, task.next_run, name, Phase.STARTING, began)
    if answered:
        run.phase, run.confirmed_at = Phase.RUNNING, began
    task.next_run += 1
    core.attach(core.executors[name], run)
    return run


def fall(core: ShardCore, name: str, silent: float, gone: float) -> None:
    core.on_silent(name, silent)
    core.on_incarnation_ended(name, gone, REPLACED)


def known_of(core: ShardCore) -> CrashHistory:
    known = only_task(core).crash_history
    assert known
    return known


def test_a_run_that_may_have_ended_before_the_fall_is_no_certain_crash() -> None:
    """Guards against a job given up by two crashes of which one was none.

    Its first run ended as done in the moment in which its executor fell for 10 ms, and nobody heard
    the end; it was 0.3 s old, as long as it takes. The second was 0.1 s old.
    """
    core = core_with(step(1, estimate_s=SHORT_S), executors=0)
    run_on(core, "e0@1", 12.693)
    fall(core, "e0@1", 13.02, 13.021)
    run_on(core, "e2@1", 14.422)
    fall(core, "e2@1", 14.53, 14.54)
    core.tick(14.54 + GIVE_UP_DELAY_S)
    known = known_of(core)
    assert (known.crash_count, known.confirmed_count, known.certain_count) == (2, 2, 1)
    assert core.finished == []


def test_runs_that_had_far_to_go_convict_at_the_second_crash() -> None:
    """What crashes executors at once takes two of them, where no others fall."""
    core = core_with(step(1, estimate_s=SHORT_S), executors=0)
    for number, at in enumerate((12.0, 14.0)):
        run_on(core, f"e{number}@1", at)
        fall(core, f"e{number}@1", at + 0.05, at + 0.06)
    core.tick(15.0)
    assert known_of(core).certain_count == 2
    assert [f.job_id for f in core.finished] == [JOB]


def test_how_far_a_run_had_come_tells_whether_it_may_have_ended() -> None:
    """Guards against long work that counts as certain by its age alone, or never does."""
    for percent, certain in ((10, 1), (95, 0)):
        core = core_with(step(1, estimate_s=10.0), executors=0)
        run = run_on(core, "e0@1", 2.0)
        row = RunningTask(run.task.name, run.run, "", percent, None)
        core.on_report(
            "e0@1", ExecutorReport(11.0, (row,), (), started_at_ms=1), asked=11.0, now=11.0
        )
        fall(core, "e0@1", 12.0, 12.1)
        assert known_of(core).certain_count == certain, percent


def test_where_executors_fall_by_themselves_three_crashes_must_be_certain() -> None:
    """Guards against a job given up for short runs that met two of a hall's many falls.

    Executors at which no run of it was fell twice of late.
    """
    core = core_with(step(1, estimate_s=SHORT_S), executors=0)
    for name, at in (("x0@1", 1.0), ("x1@1", 5.0)):
        add_executor(core, name)
        report(core, name, asked=at - 0.1, now=at - 0.09)
        fall(core, name, at, at + 0.05)
    for number, at in enumerate((12.0, 14.0)):
        run_on(core, f"e{number}@1", at)
        fall(core, f"e{number}@1", at + 0.05, at + 0.06)
    core.tick(15.0)
    assert known_of(core).crash_score >= 8
    assert core.finished == []
    run_on(core, "e2@1", 16.0)
    fall(core, "e2@1", 16.05, 16.06)
    core.tick(17.0)
    assert [f.job_id for f in core.finished] == [JOB]


def test_no_verdict_comes_by_fewer_than_two_certain_crashes_nor_later_than_a_fifth() -> None:
    """Guards against innocent jobs given up by doubts, and starts without end of the guilty."""
    known = CrashHistory(1, 4, identified_crashes=(UNSURE,))
    for number in range(2, 5):
        known = add_crash(known, Crash(f"e{number}@1", number, 4, certain=False), 0)
        assert (known.certain_count, known.should_give_up) == (0, False)
    assert add_crash(known, Crash("e5@1", 5, 2, certain=False), 0).should_give_up


def test_four_falls_that_were_mostly_none_convict_nobody() -> None:
    """Guards against a job given up by four falls, of which three met starts without an answer.

    The fourth run ended well, and nobody heard of that before its executor's next life answered.
    Only that run counts as heard of, and none as certain.
    """
    core = core_with(step(1, estimate_s=1.0), executors=0)
    for name, began, silent, gone in (
        ("life-1@1", 52.54, 54.46, 55.92),
        ("life-12@1", 56.01, 56.85, 57.01),
        ("life-16@1", 59.07, 59.6, 59.64),
    ):
        run_on(core, name, began, answered=False)
        fall(core, name, silent, gone)
        for attempt in list(only_task(core).attempts):
            core.close_attempt(attempt, gone)
    run_on(core, "life-17@1", 62.76)
    fall(core, "life-17@1", 64.13, 65.28)
    core.tick(65.79)
    known = known_of(core)
    assert (known.confirmed_count, known.certain_count) == (1, 0)
    assert core.finished == []


def test_a_next_owner_and_another_hall_know_which_crashes_are_certain() -> None:
    """Guards against a doubt that is taken for certain by whoever goes on with the count."""
    named = (UNSURE, Crash("e8@1", 2, 4), Crash("e7@1", 3, 2, confirmed=False))
    core = core_with(step(1))
    task = only_task(core)
    task.next_run = 5
    core.set_crash_history(task, CrashHistory(3, 10, identified_crashes=named))
    run = core_with(step(1)).jobs[JOB].runs[0]
    restore_run(run, encode_run(core.jobs[JOB].runs[0]), 0.0)
    (restored,) = run.tasks()
    assert restored.crash_history
    assert [c.certainty for c in restored.crash_history.identified_crashes] == [1, 2, 0]
    read = decode(*encode(Delegated(JOB, 1, (Delegation(0, 0, 1, 3, 10, named),))))
    assert isinstance(read, Delegated)
    assert [c.certainty for c in read.delegations[0].identified_crashes] == [1, 2, 0]


def test_a_start_on_record_without_an_answer_is_no_run_that_was_heard_of() -> None:
    """Guards against a doubt of a former owner that counts as a crash for certain."""
    core = core_with(step(1), executors=1)
    (order,) = plan(core, 1.0)
    assert not known_after_fall(core).identified_crashes[0].confirmed
    core = core_with(step(1), executors=1)
    (order,) = plan(core, 1.0)
    started(core, order, 1.1)
    assert known_after_fall(core).identified_crashes[0].confirmed


def known_after_fall(core: ShardCore) -> CrashHistory:
    """Return what a next owner knows of the task once its executor fell."""
    heir = core_with(step(1), executors=1)
    heir.jobs.clear()
    progress = {0: encode_run(core.jobs[JOB].runs[0])}
    heir.add_job(core.jobs[JOB].submitted, 30.0, inherited=True, begun=True, progress=progress)
    fall(heir, "e0", 31.0, 31.1)
    return known_of(heir)


def test_a_crash_under_a_start_without_an_answer_counts_also_after_three() -> None:
    """Guards against a sixth executor that a task takes down: BUDGET.

    Three crashes were counted. The owner was lost right after the fourth start, of which the record
    tells no answer; the next one did not count that crash, as it might have given the task up. The
    fifth was the fourth by its count, and was spared for falls beside.
    """
    core = core_with(step(1, estimate_s=60.0), executors=1)
    named = tuple(Crash(f"e{number}@1", number, 2) for number in (1, 2, 3))
    only_task(core).next_run = 4
    core.set_crash_history(only_task(core), CrashHistory(3, 7, identified_crashes=named))
    core.jobs[JOB].runs[0].durable = core.jobs[JOB].runs[0].version
    (order,) = plan(core, 10.0)
    known = known_after_fall(core)
    assert (known.crash_count, known.confirmed_count, known.should_give_up) == (4, 3, False)
    assert add_crash(known, Crash("e5@1", order.run + 16, 2), 0).should_give_up


def test_where_executors_fall_by_themselves_runs_that_nobody_heard_of_give_no_task_up() -> None:
    """Guards against a job given up at five crashes of which none was certain: LOST.

    Executors fell every other second on a machine that was overloaded; two runs had been heard of,
    and may have ended, three starts had no answer. All tasks of the job had ended well.
    """
    named = tuple(
        Crash(f"e{number}@1", number, 2, confirmed=number < 3, certain=False)
        for number in range(1, 6)
    )
    known = CrashHistory(5, 7, identified_crashes=named)
    assert known.should_give_up, "where nothing else falls, nothing else explains it"
    assert not known.should_give_up_with(MIN_CERTAIN_CRASHES_IN_UNSTABLE_HALL)
    assert not replace(known, give_up_deferred=True).must_give_up


def test_a_standing_run_that_was_taken_over_is_there_until_its_executor_falls() -> None:
    """Guards against a standing task that crashes its executors and is certain at none of them.

    It is at work, 100 percent of a length without end, of which nothing seemed to be left.
    """
    core = core_with(step(1, standing=True), executors=0)
    run = run_on(core, "e0@1", 2.0)
    run.recovered = True
    row = RunningTask(run.task.name, run.run, "", 100, None)
    core.on_report("e0@1", ExecutorReport(3.0, (row,), (), started_at_ms=1), asked=3.0, now=3.0)
    fall(core, "e0@1", 4.0, 4.1)
    assert known_of(core).certain_count == 1
