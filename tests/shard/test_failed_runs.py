"""Tests that each failed run of a task counts once, however often and to whom it is reported."""

from __future__ import annotations

import orjson
from hypothesis import given
from hypothesis import strategies as st

from linkspan.model.configuration import Configuration, Service
from linkspan.model.settings import Bounds
from linkspan.shard.core import ShardCore
from linkspan.shard.failures import FailedRun
from linkspan.shard.messages import EndedTask, EndKind, StartOrder
from linkspan.shard.recovery.progress import encode_run
from tests.job_builders import QUEUE, step
from tests.shard.builders import JOB, confirm_start, core_with, plan, report_ends, submitted_job

LEASES_EXPIRED_AT_S = 60.0
"""Steady time by which all leases that were granted before have expired."""


def failed(order: StartOrder, number: int = 1) -> EndedTask:
    return EndedTask(number, order.task, order.run, EndKind.FAILED, "")


def first_start(core: ShardCore, now: float) -> StartOrder:
    order = plan(core, now)[0]
    confirm_start(core, order, now + 0.1)
    return order


def disconnect_and_reconnect(core: ShardCore, executor_id: str) -> None:
    """Remove an executor from the state and register the same incarnation again."""
    records = [e.record for e in core.executors.values()]
    core.list_executors([r for r in records if r.executor_id != executor_id], 2.0)
    core.on_silent(executor_id, 2.0)
    core.on_silent(executor_id, LEASES_EXPIRED_AT_S)
    assert executor_id not in core.executors
    core.list_executors(records, LEASES_EXPIRED_AT_S + 1.0)
    core.executors[executor_id].rostered = True


def test_an_end_listed_again_by_a_reconnected_executor_counts_once() -> None:
    """Guards against a job failed for one failed run that was counted twice.

    The end is counted but not durable yet when the executor is disconnected until its leases and
    its entry expire. The same incarnation comes back and lists the end again.
    """
    core = core_with(step(1))
    order = first_start(core, 0.1)
    report_ends(core, order.executor_id, failed(order), asked=0.3, now=0.5)
    disconnect_and_reconnect(core, order.executor_id)
    report_ends(
        core,
        order.executor_id,
        failed(order),
        asked=LEASES_EXPIRED_AT_S + 1.1,
        now=LEASES_EXPIRED_AT_S + 1.2,
    )
    assert core.jobs[JOB].runs[0].steps[0].tasks[0].failures == 1


def heir_of(core: ShardCore, record: bytes | None = None) -> ShardCore:
    """Return the next owner, restored from the recorded progress or from another record."""
    next_owner = ShardCore(0, Bounds())
    next_owner.configure(Configuration(1, {QUEUE.name: QUEUE}, {"pool": Service("pool")}))
    next_owner.inherit([e.record for e in core.executors.values()], 20.0)
    run = core.jobs[JOB].runs[0]
    specs = [s.spec for s in run.steps]
    next_owner.add_job(
        submitted_job(*specs), 1.0, inherited=True, progress={0: record or encode_run(run)}
    )
    return next_owner


def test_a_failed_run_of_a_gang_counts_once_over_a_change_of_owners() -> None:
    """Guards against a gang's job failed for one failed run that is counted for each member.

    The failed run of one member is on record, and another member's end is reported to the next
    owner.
    """
    core = core_with(step(2, gang=True))
    first, second = plan(core, 0.1)
    for order in (first, second):
        confirm_start(core, order, 0.2)
    report_ends(core, first.executor_id, failed(first), asked=0.3, now=0.5)
    next_owner = heir_of(core)
    ended = failed(second, 2 if second.executor_id == first.executor_id else 1)
    report_ends(next_owner, second.executor_id, ended, asked=1.1, now=1.2)
    assert next_owner.jobs[JOB].runs[0].steps[0].failures == 1


def test_a_failure_that_no_previous_owner_counted_is_counted() -> None:
    """Guards against a start beyond the limit, for a failed run that no owner counted.

    The attempt is on record, and its lease has expired when its end is listed.
    """
    core = core_with(step(1))
    order = first_start(core, 0.1)
    records = [e.record for e in core.executors.values()]
    core.list_executors([r for r in records if r.executor_id != order.executor_id], 2.0)
    core.on_silent(order.executor_id, 2.0)
    core.on_silent(order.executor_id, LEASES_EXPIRED_AT_S)
    next_owner = heir_of(core)
    next_owner.list_executors(records, LEASES_EXPIRED_AT_S)
    report_ends(
        next_owner,
        order.executor_id,
        failed(order),
        asked=LEASES_EXPIRED_AT_S + 1.1,
        now=LEASES_EXPIRED_AT_S + 1.2,
    )
    assert next_owner.jobs[JOB].runs[0].steps[0].tasks[0].failures == 1


def test_two_failed_runs_with_the_same_number_on_two_executors_count_as_two() -> None:
    """Two owners that do not know of each other may assign the same run number."""
    core = core_with(step(1))
    order = first_start(core, 0.1)
    other = next(name for name in core.executors if name != order.executor_id)
    report_ends(core, order.executor_id, failed(order), asked=0.3, now=0.5)
    report_ends(core, other, failed(order), asked=0.6, now=0.7)
    assert core.jobs[JOB].runs[0].steps[0].tasks[0].failures == 2


def test_an_earlier_versions_record_counts_failed_runs_that_it_does_not_identify() -> None:
    """Its row ends before the identified runs; a run below the next number is among its count."""
    core = core_with(step(1))
    order = first_start(core, 0.1)
    report_ends(core, order.executor_id, failed(order), asked=0.3, now=0.5)
    run = core.jobs[JOB].runs[0]
    rows = orjson.loads(encode_run(run))
    rows[0][0] = rows[0][0][:5]
    next_owner = heir_of(core, orjson.dumps(rows))
    task = next_owner.jobs[JOB].runs[0].steps[0].tasks[0]
    assert task.failures == 1
    report_ends(next_owner, order.executor_id, failed(order), asked=1.1, now=1.2)
    assert task.failures == 1
    again = EndedTask(2, order.task, order.run + 20, EndKind.FAILED, "")
    report_ends(next_owner, order.executor_id, again, asked=1.3, now=1.4)
    assert task.failures == 2


def test_an_earlier_version_reads_the_count_at_its_known_position() -> None:
    core = core_with(step(1))
    order = first_start(core, 0.1)
    report_ends(core, order.executor_id, failed(order), asked=0.3, now=0.5)
    ((row,),) = orjson.loads(encode_run(core.jobs[JOB].runs[0]))
    next_run, failures, _checkpoint, _attempts, _delegation, *_more = row
    assert (next_run, failures) == (2, 1)


@given(
    ends=st.lists(st.tuples(st.integers(1, 4), st.sampled_from("ab")), max_size=8),
    handovers=st.sets(st.integers(0, 7)),
)
def test_failures_are_as_many_as_there_are_failed_runs(
    ends: list[tuple[int, str]], handovers: set[int]
) -> None:
    """Whatever is told again, and by however many owners it is heard."""
    core = core_with(step(1))
    for number, (run, name) in enumerate(ends):
        if number in handovers:
            core = heir_of(core)
        task = core.jobs[JOB].runs[0].steps[0].tasks[0]
        told = task.failed.with_run(FailedRun(run, name))
        task.failed = told
        task.next_run = max(task.next_run, run + 1)
    assert core.jobs[JOB].runs[0].steps[0].tasks[0].failures == len(set(ends))
