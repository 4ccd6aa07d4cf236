"""Takeover of a lost hall's queue by another hall.

Guards against a task that is placed in both halls, which could come about when the lost hall still
places, evicts and hands over tasks while the other hall takes them over.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.ledger.entries import ApplyResult
from linkspan.ledger.job_entry import JobCounts
from linkspan.ledger.records import Cancelled, Ended, Evicted, Outcome, Placed, Submitted
from linkspan.model.job import AttemptId, Priority
from linkspan.scheduler.takeover import handovers, takeover_hall, takeovers
from tests.builders import LedgerBuilder, job, worker

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["place lost", "place own", "evict lost", "end own", "hand", "take"]),
        st.integers(1, 3),
        st.integers(0, 2),
    ),
    max_size=40,
)


@settings(derandomize=True, database=None)
@given(STEPS)
def test_each_task_is_live_in_one_hall_at_most(steps: list[tuple[str, int, int]]) -> None:
    lost = LedgerBuilder("lost").with_worker(worker(cores=99))
    own = LedgerBuilder("own").with_worker(worker(cores=99))
    lost.with_job(*(job(f"j{n}", count=3) for n in (1, 2, 3)))
    attempts: dict[tuple[str, int], list[int]] = {}

    def place(side: LedgerBuilder, number: int, index: int) -> None:
        entry = side.ledger.jobs.get(number)
        if entry is None:
            return
        attempt = AttemptId(number, index, entry.attempts[index] + 1)
        if side.apply(Placed(attempt, 1)) == [ApplyResult.APPLIED]:
            attempts.setdefault((entry.spec.job_id, index), []).append(attempt.attempt)

    for what, number, index in steps:
        side = own if what.endswith("own") else lost
        entry = side.ledger.jobs.get(number)
        if what.startswith("place"):
            place(side, number, index)
        elif what == "evict lost" and entry is not None:
            lost.apply(Evicted(AttemptId(number, index, entry.attempts[index]), "half", True))
        elif what == "end own" and entry is not None:
            attempt = AttemptId(number, index, entry.attempts[index])
            own.apply(Ended(attempt, Outcome.SUCCEEDED))
        elif what == "hand":
            lost.apply(*list(handovers(lost.ledger, "own"))[:1])
        elif what == "take":
            taken = list(takeovers(lost.ledger, own.ledger))
            own.apply(*taken, *taken)
        live = [
            (ledger.jobs[task.job].spec.job_id, task.index)
            for ledger in (lost.ledger, own.ledger)
            for task in ledger.placements
        ]
        assert len(live) == len(set(live))
    assert all(seen == sorted(set(seen)) for seen in attempts.values())


def test_moved_tasks_resume_from_their_checkpoints() -> None:
    """Guards against moved tasks that begin anew, or reuse an attempt's number."""
    lost, own = LedgerBuilder("lost").with_worker(), LedgerBuilder("own").with_worker()
    lost.with_job(job("a", count=3), job("s", priority=Priority.SERVICE))
    lost.apply(Placed(AttemptId(1, 0, 1), 1), Placed(AttemptId(1, 1, 1), 1))
    lost.apply(Evicted(AttemptId(1, 0, 1), "half", True))
    (handover,) = handovers(lost.ledger, "own")
    assert lost.apply(handover, handover) == [ApplyResult.APPLIED, ApplyResult.WRONG_STATE]
    assert lost.ledger.jobs[1].counts() == JobCounts(0, 1, 0, 0, 0, 0, 0, moved=2)
    own.apply(*takeovers(lost.ledger, own.ledger))
    assert list(takeovers(lost.ledger, own.ledger)) == []
    entry = own.ledger.jobs[1]
    assert entry.counts() == JobCounts(2, 0, 0, 0, 0, 0, 0, moved=1)
    assert (entry.checkpoints, list(entry.attempts)) == ({0: "half"}, [1, 0, 0])
    assert own.apply(Placed(AttemptId(1, 0, 1), 1)) == [ApplyResult.WRONG_STATE]
    assert own.apply(Placed(AttemptId(1, 0, 2), 1)) == [ApplyResult.APPLIED]


def test_earlier_cancellation_applies_to_a_job_taken_over() -> None:
    """Guards against a cancelled job that runs in the hall that takes it over."""
    lost, own = LedgerBuilder("lost"), LedgerBuilder("own")
    lost.with_job(job("a", count=2))
    lost.apply(*handovers(lost.ledger, "own"))
    own.apply(Cancelled("a"), *takeovers(lost.ledger, own.ledger))
    assert own.ledger.finished["a"].counts.not_run == 2
    assert own.apply(Submitted(job("a", count=2))) == [ApplyResult.CANCELLED]


def test_one_hall_takes_over_a_lost_one() -> None:
    """Guards against two halls that both take over, as they list the halls in another order."""
    assert takeover_hall("lost", ["a", "b"]) == takeover_hall("lost", ["b", "a"])
