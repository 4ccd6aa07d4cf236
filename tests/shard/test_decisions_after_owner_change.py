"""Tests facts that decide whether a job has failed, after the owner that knew them is lost.

The next owner knows only what is on record: limits of queues, counts of failures and crashes, and
which of them were unconfirmed, deferred or retracted.
"""

from __future__ import annotations

from dataclasses import replace

import orjson
import pytest

from linkspan.jobs.record_codec import decode, encode
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec
from linkspan.model.configuration import Configuration, Service
from linkspan.model.settings import Bounds
from linkspan.shard.attempt import Attempt, Phase
from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.messages import EndedTask, EndKind, ExecutorReport, RunningTask, StartOrder
from linkspan.shard.recovery.progress import decode_roster, encode_roster, encode_run
from linkspan.shard.reports._give_ups import GIVE_UP_DELAY_S
from linkspan.shard.task import Task
from tests.job_builders import QUEUE, step
from tests.shard.builders import (
    JOB,
    add_executor,
    confirm_start,
    core_with,
    plan,
    report_ends,
    submitted_job,
)

POOL = {"pool": Service("pool")}

REPLACED = "another incarnation answers"


def next_owner_of(
    core: ShardCore, configuration: Configuration, *, job: Submitted | None = None
) -> ShardCore:
    """Return the next owner, restored from the records."""
    next_owner = ShardCore(0, Bounds())
    next_owner.configure(configuration)
    roster = encode_roster(e.roster_record for e in core.executors.values())
    next_owner.inherit(decode_roster(roster), 100.0)
    run = core.jobs[JOB].runs[0]
    specs = [s.spec for s in run.steps]
    progress = {0: encode_run(run)}
    next_owner.add_job(
        job or submitted_job(*specs), 30.0, inherited=True, begun=True, progress=progress
    )
    return next_owner


def unchanged_configuration() -> Configuration:
    return Configuration(1, {QUEUE.name: QUEUE}, POOL)


def only_task(core: ShardCore) -> Task:
    (task,) = core.jobs[JOB].runs[0].tasks()
    return task


# Limits


def _accepted(max_attempts: int) -> Submitted:
    terms = replace(QUEUE, max_attempts=max_attempts).terms
    return Submitted(JobSpec(JOB, QUEUE.name, "text", (step(1),)), 0, 0.0, "host", terms)


def _fail_once(core: ShardCore) -> None:
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.2)
    end = EndedTask(1, order.task, order.run, EndKind.FAILED, "")
    report_ends(core, order.executor_id, end, asked=0.3, now=0.5)


def _core_of(job: Submitted, configuration: Configuration) -> ShardCore:
    core = core_with(step(1))
    core.jobs.clear()
    core.ready.clear()
    core.configure(configuration)
    core.add_job(job, 0.0)
    return core


def test_a_next_owner_knows_the_last_limit_of_a_removed_queue() -> None:
    """Guards against a job failed by the limit of its acceptance, which was raised later.

    The previous owner keeps the raised limit when the queue is removed.
    """
    job = _accepted(1)
    raised = replace(QUEUE, max_attempts=3)
    core = _core_of(job, Configuration(2, {QUEUE.name: raised}, POOL))
    _fail_once(core)
    removed = Configuration(3, {}, POOL)
    core.configure(removed)
    assert core.finished == []
    assert next_owner_of(core, removed, job=job).finished == []


def test_a_job_is_not_failed_by_a_limit_that_is_older_than_its_acceptance() -> None:
    """Guards against a job failed by an owner that reads a configuration late.

    The accepting host had read the configuration that raised the limit.
    """
    older = replace(QUEUE, max_attempts=1)
    core = _core_of(_accepted(3), Configuration(1, {QUEUE.name: older}, POOL))
    _fail_once(core)
    assert core.finished == []


# Giving up


def _crash_under_task(core: ShardCore, executor_id: str, began: float) -> None:
    """Let an executor crash right after a run of the task began there."""
    report_ends(core, executor_id, asked=began - 0.02, now=began - 0.01)
    task = only_task(core)
    run = Attempt(task, task.next_run, executor_id, Phase.RUNNING, began, confirmed_at=began)
    task.next_run += 1
    core.attach(core.executors[executor_id], run)
    core.on_silent(executor_id, began + 0.01)
    core.on_incarnation_ended(executor_id, began + 0.1, REPLACED)


def test_a_next_owner_gives_no_task_up_before_the_delay_has_passed() -> None:
    """Guards against a job given up when an owner is lost together with the executors of its rack.

    Giving up waits for simultaneous crashes, but the next owner reads only the one crash.
    """
    core = core_with(step(1), executors=3)
    for at, name in ((10.0, "e0"), (20.0, "e1")):
        _crash_under_task(core, name, at)
    core.on_silent("e2", 20.05)
    next_owner = next_owner_of(core, unchanged_configuration())
    core.on_incarnation_ended("e2", 20.2, REPLACED)
    core.tick(20.1 + GIVE_UP_DELAY_S)
    assert core.finished == [], "the previous owner, still running, keeps the job"
    assert next_owner.finished == []


def test_a_next_owner_keeps_a_task_whose_giving_up_was_deferred() -> None:
    """Guards against a job that one owner keeps and the next owner shows as failed.

    Other executors crashed at the same time, so the fourth crash did not give the task up.
    """
    core = core_with(step(1), executors=3)
    core.set_crash_history(only_task(core), CrashHistory(3, 6))
    for name in ("e0", "e1", "e2"):
        report_ends(core, name, asked=19.98, now=19.99)
    for name in ("e1", "e2"):
        core.on_silent(name, 20.01)
        core.on_incarnation_ended(name, 20.05, REPLACED)
    _crash_under_task(core, "e0", 20.0)
    core.tick(25.0)
    history = only_task(core).crash_history
    assert history and history.crash_count == 4
    assert core.finished == [], "this owner keeps the job"
    assert next_owner_of(core, unchanged_configuration()).finished == []


# Unconfirmed runs


def _report_nothing(core: ShardCore, incarnation: str, started_at_ms: int, *, asked: float) -> None:
    core.on_report(
        incarnation,
        ExecutorReport(asked, (), (), started_at_ms=started_at_ms),
        asked=asked,
        now=asked + 0.01,
    )


@pytest.mark.parametrize("change", [False, True])
def test_an_unanswered_start_counts_one_crash_over_incarnations_and_owners(*, change: bool) -> None:
    """Guards against several crashes counted for one unanswered start.

    The record holds how often the start was sent; the next owner must not take the run for
    confirmed.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    (order,) = plan(core, 29.0)
    core.on_start_unanswered(order, 29.5)
    if change:
        core = next_owner_of(core, unchanged_configuration())
        _report_nothing(core, "e0@1", 1, asked=30.5)
    for started_at_ms in (2, 3, 4):
        _report_nothing(core, f"e0@{started_at_ms - 1}", started_at_ms, asked=30.0 + started_at_ms)
    history = only_task(core).crash_history
    assert history and (history.crash_count, history.confirmed_count) == (1, 0)


def test_an_unanswered_start_gives_no_job_up_over_incarnations_and_owners() -> None:
    """Guards against a job failed although no executor is known to have run it.

    Its only executor restarts repeatedly, and the start is carried over to each incarnation.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    (order,) = plan(core, 29.0)
    core.on_start_unanswered(order, 29.5)
    next_owner = next_owner_of(core, unchanged_configuration())
    _report_nothing(next_owner, "e0@1", 1, asked=30.5)
    for started_at_ms in (2, 3, 4, 5, 6):
        _report_nothing(
            next_owner, f"e0@{started_at_ms - 1}", started_at_ms, asked=30.0 + started_at_ms
        )
        next_owner.tick(30.7 + started_at_ms)
    assert next_owner.finished == []


def test_a_crash_retracted_while_its_task_is_delegated_stays_retracted() -> None:
    """Guards against a planned departure that counts as a crash again when the task is returned."""
    core = core_with(step(1, standing=True), executors=1)
    _crash_under_task(core, "e0", 20.0)
    crash = core.executor_crashes[-1]
    assert only_task(core).crash_history
    core.hand_over_tasks(JOB, 1, [(0, 0)])
    ((delegation,),) = core.delegations(JOB, 20.0).values()
    core._crashes.retract(crash.executor_id, "it left as planned")
    assert only_task(core).crash_history is None
    core.reclaim_tasks(JOB, [delegation], 30.0)
    assert only_task(core).crash_history is None


def test_a_next_owner_knows_which_crash_was_retracted_while_its_task_is_delegated() -> None:
    """Guards against a planned departure that counts as a crash again when the task is returned.

    The owner that retracted the crash is lost before the delegation, which includes it, is
    returned.
    """
    core = core_with(step(1, standing=True), executors=1)
    _crash_under_task(core, "e0", 20.0)
    core.hand_over_tasks(JOB, 1, [(0, 0)])
    ((delegation,),) = core.delegations(JOB, 20.0).values()
    core._crashes.retract("e0", "it left as planned")
    next_owner = next_owner_of(core, unchanged_configuration())
    next_owner.reclaim_tasks(JOB, [delegation], 30.0)
    assert only_task(next_owner).crash_history is None


# Failed runs and checkpoints


def test_a_run_recorded_as_running_by_an_earlier_version_is_not_among_its_failures() -> None:
    """Guards against a start beyond the limit after a change of versions.

    The row counts one failed run and lists the second run as an attempt, so the second had not
    failed.
    """
    core = core_with(step(1))
    row = [3, 1, "", [[2, "e0"]], 0]
    next_owner = ShardCore(0, Bounds())
    next_owner.configure(unchanged_configuration())
    next_owner.inherit([e.record for e in core.executors.values()], 100.0)
    next_owner.add_job(
        submitted_job(step(1)),
        30.0,
        inherited=True,
        begun=True,
        progress={0: orjson.dumps([[row]])},
    )
    task = only_task(next_owner)
    end = EndedTask(1, task.name, 2, EndKind.FAILED, "")
    report_ends(next_owner, "e0", end, asked=31.0, now=31.1)
    assert task.failures == 2


def test_an_end_reported_again_to_a_next_owner_keeps_the_later_checkpoint() -> None:
    """Guards against repeated work: the record does not hold which run saved the checkpoint."""
    core = core_with(step(1, checkpoints=True))
    (first,) = plan(core, 0.1)
    confirm_start(core, first, 0.2)
    stopped = EndedTask(1, first.task, first.run, EndKind.STOPPED, "a fifth")
    report_ends(core, first.executor_id, stopped, asked=0.3, now=0.5)
    (second,) = plan(core, 0.6)
    confirm_start(core, second, 0.7)
    saved = RunningTask(second.task, second.run, "one half", 50, None)
    core.on_report(second.executor_id, ExecutorReport(1.0, (saved,), ()), asked=0.9, now=1.0)
    next_owner = next_owner_of(core, unchanged_configuration())
    assert only_task(next_owner).checkpoint == "one half"
    report_ends(next_owner, first.executor_id, stopped, asked=31.0, now=31.1)
    assert only_task(next_owner).checkpoint == "one half"


def test_a_start_that_waits_for_other_executors_is_queued_once() -> None:
    """Guards against a queue that grows with each report while an executor does not answer."""
    core = core_with(step(1), executors=0)
    for name in ("e0@1", "e1@1"):
        add_executor(core, name)
    (order,) = plan(core, 29.0)
    next_owner = next_owner_of(core, unchanged_configuration())
    for poll in range(50):
        _report_nothing(next_owner, order.executor_id, 1, asked=30.5 + poll / 10)
    assert len(next_owner._reconciler._waiting_starts) == 1


def test_a_failed_run_of_a_gang_is_one_failure_to_an_earlier_version_and_after_it() -> None:
    """Guards against a gang's job failed for one failed run where versions are mixed.

    An earlier version sums the counts of a gang's members and writes them without identified runs.
    """
    core = core_with(step(2, gang=True))
    first, second = plan(core, 0.1)
    for order in (first, second):
        confirm_start(core, order, 0.2)
    for number, order in enumerate((first, second), start=1):
        end = EndedTask(number, order.task, order.run, EndKind.FAILED, "")
        report_ends(core, order.executor_id, end, asked=0.3 * number, now=0.3 * number + 0.1)
    run = core.jobs[JOB].runs[0]
    assert run.steps[0].failures == 1
    rows = orjson.loads(encode_run(run))
    counts = [row[1] for row in rows[0]]
    next_owner = ShardCore(0, Bounds())
    next_owner.configure(unchanged_configuration())
    earlier_rows = orjson.dumps([[row[:5] for row in rows[0]]])
    specs = [s.spec for s in run.steps]
    next_owner.add_job(
        submitted_job(*specs), 30.0, inherited=True, begun=True, progress={0: earlier_rows}
    )
    assert (sum(counts), next_owner.jobs[JOB].runs[0].steps[0].failures) == (1, 1)


def test_an_end_stays_withheld_when_its_executor_is_removed_and_comes_back() -> None:
    """Guards against a task that runs twice: its end is forgotten while a start may still arrive.

    The executor's leases and entry expire before the start does, and the same incarnation comes
    back.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    _report_nothing(core, "e0@1", 1, asked=2.1)
    (again,) = (o for o in core.orders if isinstance(o, StartOrder))
    confirm_start(core, again, 2.2)
    done = EndedTask(1, order.task, order.run, EndKind.DONE, "")
    core.on_report("e0@1", ExecutorReport(2.3, (), (done,), started_at_ms=1), asked=2.3, now=2.3)
    record = core.executors["e0@1"].record
    core.on_silent("e0@1", 2.4)
    core.list_executors([], 3.0)
    core.on_silent("e0@1", 10.5)
    assert "e0@1" not in core.executors
    core.list_executors([record], 10.6)
    core.on_report("e0@1", ExecutorReport(10.7, (), (done,), started_at_ms=1), asked=10.7, now=10.7)
    run = core.jobs[JOB].runs[0]
    run.durable = run.version
    assert not core.executors["e0@1"].advance_acknowledged(10.8), "withheld until 14.0"


def test_a_confirmed_run_counts_only_at_the_incarnation_that_ran_it() -> None:
    """Guards against two crashes for one run, which ended with its incarnation.

    An earlier unanswered start of the run may still reach the next incarnation; none does.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    _report_nothing(core, "e0@1", 1, asked=2.1)
    (again,) = (o for o in core.orders if isinstance(o, StartOrder))
    confirm_start(core, again, 2.2)
    row = RunningTask(order.task, order.run, "", 0, None)
    core.on_report("e0@1", ExecutorReport(2.3, (row,), (), started_at_ms=1), asked=2.3, now=2.3)
    for started_at_ms in (2, 3, 4):
        _report_nothing(core, f"e0@{started_at_ms - 1}", started_at_ms, asked=2.0 + started_at_ms)
    history = only_task(core).crash_history
    assert history and [crash.incarnation for crash in history.identified_crashes] == ["e0@1"]


def test_terms_with_additional_fields_of_a_later_version_are_read() -> None:
    """Guards against an accepted job that is not read, and so never runs, where versions are mixed.

    Additional fields stand behind the policy's field, which is empty in most queues.
    """
    key, value = encode(_accepted(3))
    fields = orjson.loads(value)
    fields["terms"] += [None, "more"]
    read = decode(key, orjson.dumps(fields))
    assert isinstance(read, Submitted)
    assert read.terms == _accepted(3).terms


def test_an_unanswered_start_gives_no_job_up_with_one_owner_per_incarnation() -> None:
    """Guards against a job failed although no executor is known to have run it.

    That an attempt was carried over from a previous incarnation is not on record.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    (order,) = plan(core, 29.0)
    core.on_start_unanswered(order, 29.5)
    for started_at_ms in (2, 3, 4, 5, 6):
        core = next_owner_of(core, unchanged_configuration())
        _report_nothing(core, f"e0@{started_at_ms - 1}", started_at_ms - 1, asked=30.5)
        _report_nothing(core, f"e0@{started_at_ms - 1}", started_at_ms, asked=31.0)
        core.tick(32.0)
        assert core.finished == []
