"""Decisions for the ledger that the placer makes, and what the placer is told of their ends."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from linkspan.ledger.entries import ApplyResult
from linkspan.ledger.records import Ended, Outcome, Placed, Recalled
from linkspan.ledger.run_keys import worker_of
from linkspan.model.job import AttemptId

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from linkspan.ledger.ledger import Ledger
    from linkspan.ledger.records import Decision, Record
    from linkspan.placement.placer import Placer
    from linkspan.scheduler.outbox import Outbox
    from linkspan.scheduler.timing import Timing


class EndedRun(NamedTuple):
    """What the placer learns from the end of an attempt.

    Attributes:
        kind: Kind of the job.
        worker: Name of the worker.
    """

    kind: str
    worker: str


class PlacerDecisions:
    """Passes of a scheduler's placer over the ledger.

    Args:
        placer: The placement policy; it may be replaced between two steps.
        timing: Intervals that all schedulers of the hall share.
    """

    def __init__(self, placer: Placer, timing: Timing) -> None:
        self.placer = placer
        self._timing = timing
        self._last_pass = (float("-inf"), -1)
        self._recall_reasons: dict[AttemptId, str] = {}

    def __repr__(self) -> str:
        return f"PlacerDecisions({self.placer!r})"

    def is_pass_due(self, ledger: Ledger, now: float) -> bool:
        """Return whether a placement pass is due at a time in seconds.

        Without new records a pass seldom finds a placement, so that passes are rarer.
        """
        passed_at, offset = self._last_pass
        has_new_records = offset != ledger.next_offset
        return now - passed_at >= (
            self._timing.min_pass_interval_s if has_new_records else self._timing.exchange_s
        )

    def placements(
        self, ledger: Ledger, fit: list[int], outbox: Outbox, now: float
    ) -> Iterator[Decision]:
        """Yield the sizes of jobs and the placements of queued tasks that a pass decides.

        Args:
            ledger: The hall's ledger.
            fit: Numbers of the workers that may get new work.
            outbox: Decisions of this scheduler that the ledger does not have yet.
            now: Time in seconds.
        """
        self._last_pass = (now, ledger.next_offset)
        if not ledger.jobs:
            return
        yield from self.placer.resizes(ledger)
        pending = list(outbox.placements())
        for task, worker in self.placer.place(ledger, fit, pending, now):
            yield Placed(AttemptId(*task, ledger.attempt_of(task).attempt + 1), worker)

    def recalls(self, ledger: Ledger) -> Iterator[Decision]:
        """Yield recalls of the attempts that the placer chose to move from their workers."""
        for attempt, reason in self.placer.take_recalls().items():
            if worker_of(ledger, attempt):
                self._recall_reasons[attempt] = reason
                yield Recalled(attempt)

    def take_recall_reasons(self) -> dict[AttemptId, str]:
        """Return and clear the placer's reasons for its recalls, by attempt, for the log."""
        reasons, self._recall_reasons = self._recall_reasons, {}
        return reasons

    def report_ends(
        self,
        record: Record,
        results: list[ApplyResult],
        ended: Mapping[AttemptId, EndedRun],
        ledger: Ledger,
        now: float,
    ) -> None:
        """Report the ends that a record has applied to the placer.

        Args:
            record: The record.
            results: Results of its decisions.
            ended: What :func:`ended_runs` returned before the record was applied.
            ledger: The hall's ledger.
            now: Time in seconds.
        """
        for decision, result in zip(record.decisions, results, strict=True):
            if not isinstance(decision, Ended) or result is not ApplyResult.APPLIED:
                continue
            if run := ended.get(decision.attempt):
                failed = decision.outcome is Outcome.FAILED
                self.placer.note_end(run.kind, run.worker, failed=failed, ledger=ledger, now=now)


def ended_runs(ledger: Ledger, record: Record) -> dict[AttemptId, EndedRun]:
    """Return the attempts whose end a record reports, as the ledger knows them before it."""
    ended: dict[AttemptId, EndedRun] = {}
    for decision in record.decisions:
        if isinstance(decision, Ended) and (number := worker_of(ledger, decision.attempt)):
            kind = ledger.jobs[decision.attempt.job].spec.kind
            ended[decision.attempt] = EndedRun(kind, ledger.workers[number].spec.name)
    return ended
