"""The ledger: how each kind of record changes jobs, tasks and workers, and what it refuses.

Guards against a task that is placed twice, counted twice or lost, and against a ledger restored
from a snapshot that differs from one that read the whole stream.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.ledger.entries import ApplyResult
from linkspan.ledger.job_entry import JobCounts, TaskState
from linkspan.ledger.ledger import MAX_FAILURES, MAX_READ_LAG_OFFSETS, Ledger
from linkspan.ledger.records import (
    Cancelled,
    Ended,
    Evicted,
    Lapsed,
    Outcome,
    Placed,
    Recalled,
    Record,
    Resized,
    Submitted,
    WorkerSeen,
)
from linkspan.ledger.snapshot import Recovery, restore, snapshot_parts
from linkspan.model.job import AttemptId, TaskId
from linkspan.model.resources import Resources
from tests.builders import LedgerBuilder, job, watcher, worker

A1 = AttemptId(1, 0, 1)
A2 = AttemptId(1, 0, 2)


def _placed(**changes: object) -> LedgerBuilder:
    built = LedgerBuilder().with_worker().with_job(job(**changes))
    assert built.apply(Placed(A1, 1)) == [ApplyResult.APPLIED]
    return built


def test_same_id_is_one_job_other_content_a_conflict() -> None:
    """Guards against a job that is submitted twice and runs twice, or replaces another one."""
    built = LedgerBuilder().with_job(job("a"))
    assert built.apply(Submitted(job("a"))) == [ApplyResult.DUPLICATE]
    assert built.apply(Submitted(job("a", count=2))) == [ApplyResult.CONFLICT]
    assert list(built.ledger.jobs) == [1]


def test_same_id_after_the_end_is_still_one_job() -> None:
    """Guards against a finished job that runs again, as its submission was sent again."""
    built = _placed()
    built.apply(Ended(A1, Outcome.SUCCEEDED))
    assert built.apply(Submitted(job())) == [ApplyResult.DUPLICATE]
    assert built.ledger.jobs == {}


def test_placement_names_the_exact_attempt() -> None:
    """Guards against a repeated or late placement that starts a task once more."""
    built = _placed()
    assert built.apply(Placed(A1, 1)) == [ApplyResult.WRONG_STATE]
    assert built.apply(Placed(A2, 1)) == [ApplyResult.WRONG_STATE]
    assert built.apply(Placed(AttemptId(9, 0, 1), 1)) == [ApplyResult.UNKNOWN]
    assert built.apply(Placed(AttemptId(1, 5, 1), 1)) == [ApplyResult.UNKNOWN]


def test_placement_must_fit_the_free_capacity() -> None:
    """Guards against a worker that is given more than it can hold."""
    built = LedgerBuilder().with_worker(worker(cores=3)).with_job(job(count=5))
    results = built.apply(*(Placed(AttemptId(1, n, 1), 1) for n in range(5)))
    assert results == [ApplyResult.APPLIED] * 3 + [ApplyResult.NO_ROOM] * 2
    assert built.ledger.workers[1].room == Resources(0, 0, 0)


def test_resized_job_reserves_its_new_size_for_later_placements() -> None:
    """Guards against an attempt that gives back more or less than it reserved."""
    built = LedgerBuilder().with_worker().with_job(job(count=2))
    built.apply(Placed(A1, 1), Resized(1, Resources(3_000, 1_000)), Placed(AttemptId(1, 1, 1), 1))
    assert built.ledger.workers[1].used == Resources(4_000, 2_000)
    built.apply(Ended(A1, Outcome.SUCCEEDED))
    assert built.ledger.workers[1].used == Resources(3_000, 1_000)


def test_late_record_is_ignored() -> None:
    """Guards against a record that takes effect after what it could conflict with was forgotten."""
    built = LedgerBuilder().with_worker()
    for _ in range(MAX_READ_LAG_OFFSETS):
        built.apply()
    assert built.apply(Submitted(job()), read_offset=0) == [ApplyResult.LATE]


def test_cancel_before_submission_refuses_the_job() -> None:
    """Guards against a cancelled job that runs, as its submission came late."""
    built = LedgerBuilder()
    built.apply(Cancelled("job"))
    assert built.apply(Submitted(job())) == [ApplyResult.CANCELLED]


def test_cancelled_queued_tasks_are_not_run() -> None:
    """Guards against a task that counts as "not run" although it was placed."""
    built = LedgerBuilder().with_worker().with_job(job(count=3))
    built.apply(Placed(A1, 1))
    built.apply(Cancelled("job"))
    assert built.ledger.jobs[1].counts() == JobCounts(0, 1, 0, 0, 2, 2, 0)
    built.apply(Evicted(A1, "", True))
    assert built.ledger.finished["job"].counts == JobCounts(0, 0, 0, 0, 3, 2, 0)


def test_failed_task_is_retried_a_bounded_number_of_times() -> None:
    """Guards against a task that fails and is retried for ever."""
    built = LedgerBuilder().with_worker().with_job()
    for attempt in range(1, MAX_FAILURES + 1):
        built.apply(Placed(AttemptId(1, 0, attempt), 1))
        built.apply(Ended(AttemptId(1, 0, attempt), Outcome.FAILED))
    assert built.ledger.finished["job"].counts.failed == 1


def test_watcher_restarts_only_after_its_end() -> None:
    """Guards against two instances of a watcher at once."""
    built = LedgerBuilder().with_worker().with_job(watcher())
    built.apply(Placed(A1, 1))
    assert built.apply(Placed(A2, 1)) == [ApplyResult.WRONG_STATE]
    built.apply(Ended(A1, Outcome.FAILED))
    assert built.apply(Placed(A2, 1)) == [ApplyResult.APPLIED]


def test_evicted_attempt_resumes_once_from_its_checkpoint() -> None:
    """Guards against an eviction that is reported twice and costs progress."""
    built = _placed()
    assert built.apply(Evicted(A1, "half", True)) == [ApplyResult.APPLIED]
    assert built.apply(Evicted(A1, "less", True)) == [ApplyResult.WRONG_STATE]
    assert built.ledger.jobs[1].checkpoints == {0: "half"}
    assert built.apply(Placed(A2, 1), Placed(A2, 1)) == [
        ApplyResult.APPLIED,
        ApplyResult.WRONG_STATE,
    ]


def test_recalled_attempt_is_replaced_only_after_its_proven_end() -> None:
    """Guards against a task that runs twice, as its lease had not expired."""
    built = _placed()
    assert built.apply(Lapsed(A1)) == [ApplyResult.WRONG_STATE]
    assert built.apply(Recalled(A1)) == [ApplyResult.APPLIED]
    assert built.apply(Placed(A2, 1)) == [ApplyResult.WRONG_STATE]
    assert built.apply(Lapsed(A1)) == [ApplyResult.APPLIED]
    assert built.apply(Placed(A2, 1)) == [ApplyResult.APPLIED]


def test_non_repeatable_task_with_an_unproven_end_counts_as_lost() -> None:
    """Guards against work that must not be repeated and is."""
    built = _placed(repeatable=False)
    built.apply(Recalled(A1), Lapsed(A1))
    assert built.ledger.finished["job"].counts.lost == 1


def test_never_started_attempt_may_be_placed_again() -> None:
    """Guards against work that counts as lost although it never began."""
    built = _placed(repeatable=False)
    built.apply(Evicted(A1, "", False))
    assert built.ledger.jobs[1].states[0] == TaskState.QUEUED


def test_new_incarnation_of_a_worker_proves_the_end_of_its_attempts() -> None:
    """Guards against attempts that hold a worker on which they no longer run."""
    built = _placed()
    assert built.apply(WorkerSeen(worker(incarnation=2))) == [ApplyResult.APPLIED]
    assert built.ledger.placements == {}
    assert built.apply(WorkerSeen(worker(incarnation=1))) == [ApplyResult.WRONG_STATE]
    assert built.apply(Placed(A2, 1)) == [ApplyResult.APPLIED]


RECORDS = st.lists(
    st.lists(
        st.one_of(
            st.builds(
                lambda n, c: Submitted(job(f"j{n}", count=c)), st.integers(0, 4), st.integers(1, 4)
            ),
            st.builds(lambda n: Cancelled(f"j{n}"), st.integers(0, 4)),
            st.builds(
                lambda j, i, k, w: Placed(AttemptId(j, i, k), w),
                st.integers(1, 4),
                st.integers(0, 3),
                st.integers(1, 2),
                st.integers(1, 2),
            ),
            st.builds(
                lambda j, i, k, o: Ended(AttemptId(j, i, k), o),
                st.integers(1, 4),
                st.integers(0, 3),
                st.integers(1, 2),
                st.sampled_from(Outcome),
            ),
            st.builds(
                lambda j, i, k: Recalled(AttemptId(j, i, k)),
                st.integers(1, 4),
                st.integers(0, 3),
                st.integers(1, 2),
            ),
            st.builds(
                lambda n, i: WorkerSeen(worker(f"w{n}", incarnation=i)),
                st.integers(1, 2),
                st.integers(1, 3),
            ),
        ),
        max_size=6,
    ),
    max_size=30,
)


def _fold(ledger: Ledger, records: list[list[object]], start: int = 0) -> Ledger:
    for offset, decisions in enumerate(records[start:], start):
        ledger.apply(offset, Record("s", offset, offset, tuple(decisions)))
    return ledger


@settings(derandomize=True, database=None)
@given(RECORDS, st.integers(0, 30))
def test_snapshot_and_tail_equal_the_whole(records: list[list[object]], at: int) -> None:
    at = min(at, len(records))
    half = _fold(Ledger("h"), records[:at])
    body = b"".join(part.body for part in snapshot_parts(half))
    resumed = _fold(restore("h", half.next_offset, body), records, at)
    assert snapshot_parts(resumed) == snapshot_parts(_fold(Ledger("h"), records))


@settings(derandomize=True, database=None)
@given(RECORDS)
def test_accounts_add_up(records: list[list[object]]) -> None:
    ledger = _fold(Ledger("h"), records)
    for account in ledger.workers.values():
        sizes = [ledger.placements[task].size for task in account.tasks]
        assert account.used == sum(sizes, Resources())
    held = {t: n for n, account in ledger.workers.items() for t in account.tasks}
    assert held == {task: place.worker for task, place in ledger.placements.items()}
    for number, entry in ledger.jobs.items():
        placed = {t.index for t in ledger.placements if t.job == number}
        states = {TaskState.PLACED, TaskState.RECALLED}
        assert placed == {n for n, state in enumerate(entry.states) if state in states}


def test_recovery_from_a_gap_waits_for_a_whole_snapshot() -> None:
    """Guards against a ledger that is restored from a part of a snapshot."""
    built = LedgerBuilder().with_worker().with_job(job(count=3))
    (part,) = snapshot_parts(built.ledger)
    half = len(part.body) // 2
    pieces = [
        part._replace(part=0, parts=2, body=part.body[:half]),
        part._replace(part=1, parts=2, body=part.body[half:]),
    ]
    tail = [
        (2, Record("s", 0, 2, (pieces[0],))),
        (3, Record("s", 1, 3, (Placed(A1, 1),))),
        (4, Record("s", 2, 4, (pieces[1],))),
    ]
    recovery = Recovery(built.ledger.hall, first=1)
    recovery.feed(tail[:2])
    assert recovery.ledger is None
    recovery.feed(tail[2:])
    assert recovery.ledger is not None
    assert set(recovery.ledger.placements) == {TaskId(1, 0)}
    assert recovery.ledger.next_offset == 5


def test_recovery_ignores_a_snapshot_whose_following_records_are_trimmed() -> None:
    """Guards against a restored ledger that lacks the records after its snapshot."""
    (part,) = snapshot_parts(LedgerBuilder().with_worker().ledger)
    recovery = Recovery("rennes-a", first=5)
    recovery.feed([(5, Record("s", 0, 1, (part,)))])
    assert recovery.ledger is None
