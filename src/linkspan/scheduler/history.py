"""What was decided about each job, for ``linkspan explain``."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Any

from linkspan.ledger.records import (
    Cancelled,
    Ended,
    Evicted,
    Lapsed,
    Placed,
    Recalled,
    Submitted,
)

if TYPE_CHECKING:
    from linkspan.ledger.ledger import ApplyResult, Ledger
    from linkspan.ledger.records import Decision, Record
    from linkspan.placement.placer import PassResult

JOBS_KEPT = 1_000
"""Jobs whose decisions are remembered."""

LINES_KEPT = 32
"""Decisions remembered of one job."""


class History:
    """Latest decisions by job, in sentences."""

    def __init__(self) -> None:
        self._lines: OrderedDict[str, deque[str]] = OrderedDict()
        self._figures: dict[tuple[int, int], str] = {}

    def __repr__(self) -> str:
        return f"History(jobs={len(self._lines)})"

    def note_pass(self, result: PassResult) -> None:
        """Remember the figures behind placements, until the ledger shows them."""
        if len(self._figures) > 10_000:
            self._figures.clear()
        for line in result.placed:
            figures = f"least cost {line.cost:.3f} of {line.candidates} workers with room"
            self._figures[line.task] = figures

    def note_record(
        self, offset: int, record: Record, verdicts: list[ApplyResult], ledger: Ledger
    ) -> None:
        """Remember what a record decided."""
        for decision, verdict in zip(record.decisions, verdicts, strict=True):
            job_id, text = self._sentence(decision, ledger)
            if job_id:
                result = "" if verdict.name == "APPLIED" else f", without effect: {verdict.value}"
                self._add(job_id, f"offset {offset}, {record.writer}: {text}{result}")

    def lines(self, job_id: str) -> list[str]:
        """Return what is remembered of a job, the oldest first."""
        return list(self._lines.get(job_id, ()))

    def _add(self, job_id: str, line: str) -> None:
        lines = self._lines.setdefault(job_id, deque(maxlen=LINES_KEPT))
        lines.append(line)
        self._lines.move_to_end(job_id)
        if len(self._lines) > JOBS_KEPT:
            self._lines.popitem(last=False)

    def _sentence(self, decision: Decision, ledger: Ledger) -> tuple[str, str]:
        match decision:
            case Submitted(spec):
                return spec.job_id, f"{spec.count} tasks were handed in"
            case Cancelled(job_id):
                return job_id, "its cancellation was asked for"
            case Placed(attempt, worker):
                figures = self._figures.pop(attempt.task, "figures are with its writer")
                name = _worker_name(ledger, worker)
                text = f"task {attempt.index} attempt {attempt.attempt} to {name}: {figures}"
                return _job_id(ledger, attempt.job), text
            case Ended(attempt, outcome):
                text = f"task {attempt.index} attempt {attempt.attempt} {outcome.name.lower()}"
                return _job_id(ledger, attempt.job), text
            case Evicted(attempt, checkpoint, _):
                text = f"task {attempt.index} attempt {attempt.attempt} left its worker"
                kept = f" with checkpoint {checkpoint}" if checkpoint else ""
                return _job_id(ledger, attempt.job), text + kept
            case Recalled(attempt):
                text = f"task {attempt.index} attempt {attempt.attempt} recalled, worker silent"
                return _job_id(ledger, attempt.job), text
            case Lapsed(attempt):
                text = f"task {attempt.index} attempt {attempt.attempt}: its lease has lapsed"
                return _job_id(ledger, attempt.job), text
            case _:
                return "", ""


def _job_id(ledger: Ledger, number: int) -> str:
    entry = ledger.jobs.get(number)
    return entry.spec.job_id if entry else ledger.last_finished(number)


def _worker_name(ledger: Ledger, number: int) -> str:
    account = ledger.workers.get(number)
    return account.spec.name if account else f"worker {number}"


def explain(ledger: Ledger, history: History, obstacles: dict[int, Any], job_id: str) -> Any:
    """Return why a job stands where it does, as a value for JSON.

    Args:
        ledger: The fold.
        history: What was decided.
        obstacles: Why jobs have tasks left queued, by job number.
        job_id: The job.
    """
    counts = ledger.counts_of(job_id)
    number = ledger.job_numbers.get(job_id, 0)
    obstacle = obstacles.get(number)
    return {
        "job_id": job_id,
        "counts": counts._asdict() if counts else None,
        "waiting_because": obstacle.value if obstacle else None,
        "decisions": history.lines(job_id),
        "size_in_force": list(ledger.jobs[number].size) if number else None,
    }
