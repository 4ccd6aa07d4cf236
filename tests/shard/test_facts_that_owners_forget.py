"""Facts that decide whether a job has failed, where the owner that knew them is gone."""

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
from linkspan.shard.reports._crashes import GIVE_UP_DELAY_S
from linkspan.shard.task import Task
from tests.job_builders import QUEUE, step
from tests.shard.builders import JOB, add_executor, core_with, plan, report, started, submitted

POOL = {"pool": Service("pool")}

REPLACED = "another incarnation answers"


def heir_of(
    core: ShardCore, configuration: Configuration, *, sent: Submitted | None = None
) -> ShardCore:
    """Return the next owner, which reads what is on record."""
    heir = ShardCore(0, Bounds())
    heir.configure(configuration)
    roster = encode_roster(e.roster_record for e in core.executors.values())
    heir.inherit(decode_roster(roster), 100.0)
    run = core.jobs[JOB].runs[0]
    specs = [s.spec for s in run.steps]
    progress = {0: encode_run(run)}
    heir.add_job(sent or submitted(*specs), 30.0, inherited=True, begun=True, progress=progress)
    return heir


def as_it_was() -> Configuration:
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
    started(core, order, 0.2)
    end = EndedTask(1, order.task, order.run, EndKind.FAILED, "")
    report(core, order.executor_id, end, asked=0.3, now=0.5)


def _core_of(sent: Submitted, configuration: Configuration) -> ShardCore:
    core = core_with(step(1))
    core.jobs.clear()
    core.ready.clear()
    core.configure(configuration)
    core.add_job(sent, 0.0)
    return core


def test_a_next_owner_knows_the_last_limit_of_a_queue_that_was_removed() -> None:
    """Guards against a job shown as failed at the limit of its acceptance, which was raised since.

    The owner at the time keeps the raised one when the queue is removed.
    """
    sent = _accepted(1)
    raised = replace(QUEUE, max_attempts=3)
    core = _core_of(sent, Configuration(2, {QUEUE.name: raised}, POOL))
    _fail_once(core)
    removed = Configuration(3, {}, POOL)
    core.configure(removed)
    assert core.finished == []
    assert heir_of(core, removed, sent=sent).finished == []


def test_a_job_is_not_failed_by_a_limit_that_is_older_than_its_acceptance() -> None:
    """Guards against a job shown as failed by an owner that reads a configuration late.

    The accepting host had read the one that raised the limit.
    """
    older = replace(QUEUE, max_attempts=1)
    core = _core_of(_accepted(3), Configuration(1, {QUEUE.name: older}, POOL))
    _fail_once(core)
    assert core.finished == []


# Verdicts


def _fall_under(core: ShardCore, executor_id: str, began: float) -> None:
    """Let an executor fall right after a run of the task began there."""
    report(core, executor_id, asked=began - 0.02, now=began - 0.01)
    task = only_task(core)
    run = Attempt(task, task.next_run, executor_id, Phase.RUNNING, began, confirmed_at=began)
    task.next_run += 1
    core.attach(core.executors[executor_id], run)
    core.on_silent(executor_id, began + 0.01)
    core.on_incarnation_ended(executor_id, began + 0.1, REPLACED)


def test_a_next_owner_gives_no_task_up_before_its_verdict_is_due() -> None:
    """Guards against a job given up where an owner falls with the executors of its rack.

    What convicts waits for others that fell beside; the next owner reads the crash alone.
    """
    core = core_with(step(1), executors=3)
    for at, name in ((10.0, "e0"), (20.0, "e1")):
        _fall_under(core, name, at)
    core.on_silent("e2", 20.05)
    heir = heir_of(core, as_it_was())
    core.on_incarnation_ended("e2", 20.2, REPLACED)
    core.tick(20.1 + GIVE_UP_DELAY_S)
    assert core.finished == [], "its former owner, alive, goes on"
    assert heir.finished == []


def test_a_next_owner_spares_the_task_that_its_former_owner_spared() -> None:
    """Guards against a job that goes on at one owner and is shown as failed by the next.

    Others fell beside without cause, so the fourth crash was not to be the last.
    """
    core = core_with(step(1), executors=3)
    core.set_crash_history(only_task(core), CrashHistory(3, 6))
    for name in ("e0", "e1", "e2"):
        report(core, name, asked=19.98, now=19.99)
    for name in ("e1", "e2"):
        core.on_silent(name, 20.01)
        core.on_incarnation_ended(name, 20.05, REPLACED)
    _fall_under(core, "e0", 20.0)
    core.tick(25.0)
    known = only_task(core).crash_history
    assert known and known.crash_count == 4
    assert core.finished == [], "this owner goes on"
    assert heir_of(core, as_it_was()).finished == []


# Runs that nobody knows to have been there


def _empty(core: ShardCore, incarnation: str, started_at_ms: int, *, asked: float) -> None:
    core.on_report(
        incarnation,
        ExecutorReport(asked, (), (), started_at_ms=started_at_ms),
        asked=asked,
        now=asked + 0.01,
    )


@pytest.mark.parametrize("change", [False, True])
def test_a_start_without_an_answer_counts_once_over_lives_and_owners(*, change: bool) -> None:
    """Guards against several crashes counted for one start that nobody answered.

    On record it says how often it was sent; the next owner takes it for known to be there.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    (order,) = plan(core, 29.0)
    core.on_start_unanswered(order, 29.5)
    if change:
        core = heir_of(core, as_it_was())
        _empty(core, "e0@1", 1, asked=30.5)
    for started_at_ms in (2, 3, 4):
        _empty(core, f"e0@{started_at_ms - 1}", started_at_ms, asked=30.0 + started_at_ms)
    known = only_task(core).crash_history
    assert known and (known.crash_count, known.confirmed_count) == (1, 0)


def test_a_start_without_an_answer_gives_no_job_up_over_lives_and_owners() -> None:
    """Guards against a job shown as failed that no executor is known to have run, nor to have met.

    Its one executor restarts again and again, and its start goes on to each life.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    (order,) = plan(core, 29.0)
    core.on_start_unanswered(order, 29.5)
    heir = heir_of(core, as_it_was())
    _empty(heir, "e0@1", 1, asked=30.5)
    for started_at_ms in (2, 3, 4, 5, 6):
        _empty(heir, f"e0@{started_at_ms - 1}", started_at_ms, asked=30.0 + started_at_ms)
        heir.tick(30.7 + started_at_ms)
    assert heir.finished == []


def test_a_crash_that_is_taken_back_while_its_task_is_lent_stays_taken_back() -> None:
    """Guards against a planned leave that counts as a crash again once the task comes back."""
    core = core_with(step(1, standing=True), executors=1)
    _fall_under(core, "e0", 20.0)
    known = core.executor_crashes[-1]
    assert only_task(core).crash_history
    core.hand_over_tasks(JOB, 1, [(0, 0)])
    ((lent,),) = core.delegations(JOB).values()
    core._crashes.retract(known.executor_id, "it left as planned")
    assert only_task(core).crash_history is None
    core.reclaim_tasks(JOB, [lent], 30.0)
    assert only_task(core).crash_history is None


def test_a_next_owner_knows_which_crash_was_taken_back_while_its_task_is_lent() -> None:
    """Guards against a planned leave that counts as a crash again once the task comes back.

    The owner that took it back is lost before the loan is returned, which tells of it.
    """
    core = core_with(step(1, standing=True), executors=1)
    _fall_under(core, "e0", 20.0)
    core.hand_over_tasks(JOB, 1, [(0, 0)])
    ((lent,),) = core.delegations(JOB).values()
    core._crashes.retract("e0", "it left as planned")
    heir = heir_of(core, as_it_was())
    heir.reclaim_tasks(JOB, [lent], 30.0)
    assert only_task(heir).crash_history is None


# Failed runs and saved work


def test_a_run_that_an_earlier_version_recorded_at_work_is_none_that_it_had_counted() -> None:
    """Guards against a start beyond the limit after a change of versions.

    The row counts one failed run and names the second as an attempt, so that had not failed.
    """
    core = core_with(step(1))
    row = [3, 1, "", [[2, "e0"]], 0]
    heir = ShardCore(0, Bounds())
    heir.configure(as_it_was())
    heir.inherit([e.record for e in core.executors.values()], 100.0)
    heir.add_job(
        submitted(step(1)), 30.0, inherited=True, begun=True, progress={0: orjson.dumps([[row]])}
    )
    task = only_task(heir)
    end = EndedTask(1, task.name, 2, EndKind.FAILED, "")
    report(heir, "e0", end, asked=31.0, now=31.1)
    assert task.failures == 2


def test_an_end_that_is_told_again_to_a_next_owner_does_not_take_a_later_run_back() -> None:
    """Guards against work done twice: which run saved what is on record is not on it."""
    core = core_with(step(1, checkpoints=True))
    (first,) = plan(core, 0.1)
    started(core, first, 0.2)
    stopped = EndedTask(1, first.task, first.run, EndKind.STOPPED, "a fifth")
    report(core, first.executor_id, stopped, asked=0.3, now=0.5)
    (second,) = plan(core, 0.6)
    started(core, second, 0.7)
    saved = RunningTask(second.task, second.run, "one half", 50, None)
    core.on_report(second.executor_id, ExecutorReport(1.0, (saved,), ()), asked=0.9, now=1.0)
    heir = heir_of(core, as_it_was())
    assert only_task(heir).checkpoint == "one half"
    report(heir, first.executor_id, stopped, asked=31.0, now=31.1)
    assert only_task(heir).checkpoint == "one half"


def test_a_start_that_waits_for_other_executors_waits_once() -> None:
    """Guards against a list that grows with each report while an executor does not answer."""
    core = core_with(step(1), executors=0)
    for name in ("e0@1", "e1@1"):
        add_executor(core, name)
    (order,) = plan(core, 29.0)
    heir = heir_of(core, as_it_was())
    for look in range(50):
        _empty(heir, order.executor_id, 1, asked=30.5 + look / 10)
    assert len(heir._reconciler._waiting_starts) == 1


def test_a_failed_run_of_a_gang_is_one_failure_to_an_earlier_version_and_after_it() -> None:
    """Guards against a gang's job shown as failed for one failed run, where versions are mixed.

    An earlier version adds the counts of a gang's members up, and writes them without names.
    """
    core = core_with(step(2, gang=True))
    first, second = plan(core, 0.1)
    for order in (first, second):
        started(core, order, 0.2)
    for number, order in enumerate((first, second), start=1):
        end = EndedTask(number, order.task, order.run, EndKind.FAILED, "")
        report(core, order.executor_id, end, asked=0.3 * number, now=0.3 * number + 0.1)
    run = core.jobs[JOB].runs[0]
    assert run.steps[0].failures == 1
    rows = orjson.loads(encode_run(run))
    told = [row[1] for row in rows[0]]
    heir = ShardCore(0, Bounds())
    heir.configure(as_it_was())
    cut_short = orjson.dumps([[row[:5] for row in rows[0]]])
    specs = [s.spec for s in run.steps]
    heir.add_job(submitted(*specs), 30.0, inherited=True, begun=True, progress={0: cut_short})
    assert (sum(told), heir.jobs[JOB].runs[0].steps[0].failures) == (1, 1)


def test_an_end_that_is_held_stays_held_where_its_executor_leaves_the_books_and_is_back() -> None:
    """Guards against an end that is forgotten while another order of its run may come: TWICE.

    Leases and entry are gone before the order is; the executor is back in the same life.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    _empty(core, "e0@1", 1, asked=2.1)
    (again,) = (o for o in core.orders if isinstance(o, StartOrder))
    started(core, again, 2.2)
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
    assert not core.executors["e0@1"].advance_acknowledged(10.8), "held until 14.0"


def test_a_run_that_was_there_counts_at_the_life_that_it_was_at_and_no_other() -> None:
    """Guards against two crashes for one: the run ended with its life, and goes on as an order.

    An earlier start of it, which had no answer, may still come to the next life; none does.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    _empty(core, "e0@1", 1, asked=2.1)
    (again,) = (o for o in core.orders if isinstance(o, StartOrder))
    started(core, again, 2.2)
    row = RunningTask(order.task, order.run, "", 0, None)
    core.on_report("e0@1", ExecutorReport(2.3, (row,), (), started_at_ms=1), asked=2.3, now=2.3)
    for started_at_ms in (2, 3, 4):
        _empty(core, f"e0@{started_at_ms - 1}", started_at_ms, asked=2.0 + started_at_ms)
    known = only_task(core).crash_history
    assert known and [crash.incarnation for crash in known.identified_crashes] == ["e0@1"]


def test_terms_behind_which_a_later_version_tells_more_are_read() -> None:
    """Guards against an accepted job that is not read, and so never run, where versions are mixed.

    More can only stand behind the policy's field, which is empty in most queues.
    """
    key, value = encode(_accepted(3))
    fields = orjson.loads(value)
    fields["terms"] += [None, "more"]
    read = decode(key, orjson.dumps(fields))
    assert isinstance(read, Submitted)
    assert read.terms == _accepted(3).terms


def test_a_start_without_an_answer_gives_no_job_up_where_each_life_has_an_owner_of_its_own() -> (
    None
):
    """Guards against a job shown as failed that no executor is known to have run: LOST.

    That an attempt came over from a life before is not on record.
    """
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    (order,) = plan(core, 29.0)
    core.on_start_unanswered(order, 29.5)
    for started_at_ms in (2, 3, 4, 5, 6):
        core = heir_of(core, as_it_was())
        _empty(core, f"e0@{started_at_ms - 1}", started_at_ms - 1, asked=30.5)
        _empty(core, f"e0@{started_at_ms - 1}", started_at_ms, asked=31.0)
        core.tick(32.0)
        assert core.finished == []
