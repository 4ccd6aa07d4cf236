"""What owners state about starts of standing tasks, and what next owners start because of that.

Guards against two faults: standing tasks that wait for executors that they were never sent to, and
a task that runs twice because a start counts as recorded that is not.
"""

from __future__ import annotations

from dataclasses import replace

import orjson
import pytest

from linkspan.errors import RecordError
from linkspan.jobs.spec import Demand
from linkspan.shard.core import ShardCore
from linkspan.shard.handover.rebalance import Rebalancer
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorRecord, ExecutorReport
from linkspan.shard.ownership.owner_record import RESERVATION_NUMBER, OwnerAct, OwnerRecord
from linkspan.shard.ownership.ownership import OwnerView
from linkspan.shard.recovery._recorded_starts import RecordedStarts
from linkspan.shard.recovery.progress import decode_roster, encode_roster, encode_run
from linkspan.store.types import Entry
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, core_with, plan, report_ends, submitted_job
from tests.shard.crash_builders import core_of_shard, only_task

A, B, NEXT_A = "a@1000", "b@1000", "a@2000"
LEASES_EXPIRE_AT_S = 20.0
GONE = "machine service no longer lists it"
STANDING = step(1, standing=True)


def _view(*records: OwnerRecord, first: int = 0) -> OwnerView:
    """Return the view of a host that reads records from an offset on."""
    view = OwnerView("c", "c-1", home=True)
    for offset, record in enumerate(records, start=first):
        view.apply(Entry(offset, record.encode()), 1.0)
    return view


def _claim(host: str, recorded_up_to: int = 0) -> list[OwnerRecord]:
    claim = OwnerRecord(OwnerAct.CLAIM, host, f"{host}-1", recorded_up_to=recorded_up_to)
    return [replace(claim, number=RESERVATION_NUMBER), claim]


def _renewal(token: int, number: int, recorded_up_to: int) -> OwnerRecord:
    identity = OwnerAct.RENEW, "a", "a-1"
    return OwnerRecord(*identity, token, number, recorded_up_to=recorded_up_to)


def test_the_statement_of_the_newest_owner_counts() -> None:
    """Guards against an owner of an earlier version whose starts count as recorded."""
    assert _view(*_claim("a", 1)).standing_starts_recorded
    assert _view(*_claim("a"), _renewal(2, 1, 2)).standing_starts_recorded
    assert not _view(*_claim("a")).standing_starts_recorded
    assert not _view(*_claim("a"), _renewal(2, 1, 0)).standing_starts_recorded
    assert not _view(*_claim("a", 1), *_claim("b")).standing_starts_recorded
    assert not _view(*_claim("b"), _renewal(1, 1, 1)).standing_starts_recorded, "an earlier tenure"


def test_a_statement_can_be_withdrawn() -> None:
    """Guards against a renewal that was sent before the withdrawal, and is appended after it."""
    withdrawn = [*_claim("a", 1), _renewal(2, 2, 0)]
    assert not _view(*withdrawn).standing_starts_recorded
    assert not _view(*withdrawn, _renewal(2, 1, 2)).standing_starts_recorded
    assert not _view(_renewal(2, 1, 2), first=3).standing_starts_recorded
    core = _next_owner(A, B)
    core.statement_withdrawn_at = 1.0
    assert not RecordedStarts(core, known=True).known


def test_a_host_that_read_no_claim_relies_on_what_the_owner_has_read() -> None:
    """Guards against a claim between a renewal that arrives late and what its writer had read."""
    assert _view(_renewal(2, 40, 97), _renewal(2, 41, 101), first=100).standing_starts_recorded
    assert not _view(_renewal(2, 40, 97), first=100).standing_starts_recorded


def test_records_that_were_not_read_may_be_claims() -> None:
    """Guards against an owner that this host has not read of."""
    view = _view(*_claim("a", 1))
    view.on_gap(2.0)
    assert not view.standing_starts_recorded
    view.apply(Entry(9, _renewal(2, 3, 7).encode()), 2.1)
    assert not view.standing_starts_recorded
    view.apply(Entry(10, _renewal(2, 4, 10).encode()), 2.2)
    assert view.standing_starts_recorded
    with pytest.raises(RecordError):
        view.apply(Entry(11, b"?"), 2.3)
    assert not view.standing_starts_recorded


def test_the_statement_stays_readable_for_earlier_versions() -> None:
    """Guards against hosts of two versions that claim a shard from each other."""
    renewal = _renewal(2, 3, 7)
    assert OwnerRecord.decode(renewal.encode()) == renewal
    assert orjson.loads(renewal.encode())[:6] == ["renew", "a", "a-1", 2, 3, None]
    assert OwnerRecord.decode(orjson.dumps(["renew", "a", "a-1", 2, 3])).recorded_up_to == 0


def _record(name: str) -> ExecutorRecord:
    return ExecutorRecord(name, "pool", f"{name}:1", "east", Demand(8_000, 32_000), frozenset(), "")


def _next_owner(
    *roster: str,
    recorded: bool = True,
    progress: bytes | None = None,
    standing: bool = True,
    read: bool = True,
) -> ShardCore:
    """Return an owner that inherits a job and executors, of which the last one has answered."""
    core = core_of_shard(0)
    records = [_record(name) for name in roster]
    core.inherit(records, LEASES_EXPIRE_AT_S, read=read, standing_starts_recorded=recorded)
    rows = None if progress is None else {0: progress}
    job = submitted_job(step(1, standing=standing))
    try:
        core.add_job(job, 0.0, inherited=True, progress=rows)
    except RecordError:
        assert progress == b"?"
    if not core.roster_readable:
        core.unrecorded_starts.distrust([JOB])
    core.list_executors(records[-1:], 0.0)
    report_ends(core, roster[-1], asked=0.5, now=0.5)
    return core


def test_an_inherited_task_without_an_attempt_on_record_starts_at_once() -> None:
    """Guards against standing tasks that wait for executors that they were never sent to."""
    assert plan(_next_owner(A, B), 1.0)
    assert plan(_next_owner(A, B, progress=b"[[0]]"), 1.0)


def test_other_inherited_work_waits_for_all_executors() -> None:
    """Guards against TWICE: its start may be on no record."""
    assert not plan(_next_owner(A, B, standing=False), 1.0)
    assert not plan(_next_owner(A, B, recorded=False), 1.0)
    assert not plan(_next_owner(A, B, progress=b"?"), 1.0)
    assert not plan(_next_owner(A, B, read=False), 1.0)


def test_a_record_that_was_not_read_as_a_whole_stays_distrusted() -> None:
    """Guards against TWICE: the next owner writes the record without attempts that it held."""
    for core in (_next_owner(A, B, progress=b"?"), _next_owner(A, B, read=False)):
        assert not plan(_inheriting(core, 2.0), 3.0)


def test_a_job_does_not_move_as_a_whole_before_all_executors_have_answered() -> None:
    """Guards against TWICE: the other hall never hears of a run of the whole job here."""
    core = _next_owner(A, B, standing=False)
    core.executors[B].quarantined_until = 99.0
    other = HallSummary(capacity=8_000, free=8_000, free_by_executor=((8_000, 32_000, 8),))
    rebalancer = Rebalancer(core, summaries=lambda: {1: other}, count_capable=lambda *_: 1)
    assert rebalancer.plan(summarize(core, 9.0), 9.0) == []


def _started() -> ShardCore:
    """Return an owner whose start of a task is not answered yet."""
    core = core_with(STANDING, executors=0)
    add_executor(core, A)
    assert plan(core, 1.0)
    return core


def _inheriting(core: ShardCore, now: float) -> ShardCore:
    """Return the next owner, which reads all records of an owner that are to be written."""
    roster = [e.roster_record for n, e in core.executors.items() if n in core.roster_names]
    following = core_of_shard(0)
    following.inherit(
        decode_roster(encode_roster(roster)), now + 20.0, standing_starts_recorded=True
    )
    record = encode_run(core.jobs[JOB].runs[0])
    job = submitted_job(STANDING)
    following.add_job(job, now, inherited=True, progress={0: record})
    add_executor(following, B)
    return following


def test_a_task_with_an_attempt_on_record_waits_for_its_executor() -> None:
    """Guards against TWICE: the executor has the run, and has not answered yet."""
    following = _inheriting(_started(), 2.0)
    assert len(only_task(following).attempts) == 1
    assert not plan(following, 3.0)


def test_a_start_that_the_next_incarnation_may_have_is_recorded_anew() -> None:
    """Guards against TWICE: the record names an incarnation that the roster does not name."""
    core = _started()
    core.dirty.clear()
    core.on_incarnation_found(A, NEXT_A, asked=2.0, now=2.1)
    report = ExecutorReport(0.2, (), (), started_at_ms=2000, is_complete=False)
    core.on_report(NEXT_A, report, asked=2.2, now=2.3)
    assert core.dirty
    following = _inheriting(core, 3.0)
    (attempt,) = only_task(following).attempts
    assert attempt.executor_id == NEXT_A
    assert not plan(following, 4.0)


def test_an_attempt_of_another_incarnation_on_the_roster_is_not_taken_for_ended() -> None:
    """Guards against TWICE: an earlier version recorded the roster alone after a restart."""
    core = _started()
    record = encode_run(core.jobs[JOB].runs[0])
    assert not plan(_next_owner(NEXT_A, B, progress=record), 1.0)


def test_an_abandoned_start_is_on_record_for_as_long_as_it_may_arrive() -> None:
    """Guards against TWICE: no attempt on record names a start that may still be carried out."""
    core = core_with(STANDING, executors=0)
    add_executor(core, A)
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    core.on_silent(A, 2.1)
    core.on_incarnation_ended(A, 3.0, GONE, since=2.2)
    for tenth in range(30, 80):
        core.tick(tenth / 10)
        core.on_silent("a", tenth / 10)
        core.executors_to_poll_closely(tenth / 10)
    assert not only_task(core).attempts, "abandoned"
    following = _inheriting(core, 8.0)
    assert not plan(following, 9.0)
    assert only_task(_inheriting(following, 9.0)).unrecorded_starts, "each next owner knows"
    core.tick(20.0)
    assert plan(_inheriting(core, 20.0), 21.0)


def test_a_statement_waits_until_all_that_runs_is_known_and_on_record() -> None:
    """Guards against TWICE: an owner of an earlier version sent starts on no record."""
    core = _next_owner(A, B, recorded=False)
    starts = RecordedStarts(core, known=False)
    starts.tick(1.0)
    assert not starts.known, "an executor has not reported"
    core.list_executors([_record(A), _record(B)], 1.0)
    report_ends(core, A, asked=1.5, now=1.5)
    (run,) = core.jobs[JOB].runs.values()
    core.mark_dirty(run)
    starts.tick(2.0)
    assert not starts.known, "what was found is not on record"
    run.durable = run.version
    starts.tick(3.0)
    assert starts.known


def test_a_statement_of_former_owners_holds_at_once() -> None:
    assert RecordedStarts(_next_owner(A, B), known=True).known
