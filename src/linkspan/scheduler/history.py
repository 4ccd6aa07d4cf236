"""Recent decisions about each job, for ``linkspan explain``."""

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
    from linkspan.ledger.entries import ApplyResult
    from linkspan.ledger.ledger import Ledger
    from linkspan.ledger.records import Decision, Record
    from linkspan.placement.placer import PassResult

MAX_JOBS = 1_000
"""Jobs whose decisions are kept; the least recently changed job is dropped first."""

MAX_LINES_PER_JOB = 32
"""Decisions kept per job; the oldest is dropped first."""


class History:
    """Keeps the latest decisions of each job as sentences."""

    def __init__(self) -> None:
        self._lines: OrderedDict[str, deque[str]] = OrderedDict()
        self._placement_costs: dict[tuple[int, int], str] = {}

    def __repr__(self) -> str:
        return f"History(jobs={len(self._lines)})"

    def note_pass(self, placement_pass: PassResult) -> None:
        """Keep the costs of placements until their records show up in the log."""
        if len(self._placement_costs) > 10_000:
            self._placement_costs.clear()
        for line in placement_pass.placed:
            figures = f"least cost {line.cost:.3f} of {line.candidates} workers with room"
            self._placement_costs[line.task] = figures

    def note_record(
        self, offset: int, record: Record, results: list[ApplyResult], ledger: Ledger
    ) -> None:
        """Add the decisions of a record to the histories of their jobs."""
        for decision, result in zip(record.decisions, results, strict=True):
            job_id, text = self._job_and_sentence(decision, ledger)
            if job_id:
                suffix = "" if result.name == "APPLIED" else f", without effect: {result.value}"
                self._add(job_id, f"offset {offset}, {record.writer}: {text}{suffix}")

    def lines(self, job_id: str) -> list[str]:
        """Return the kept decisions of a job, oldest first."""
        return list(self._lines.get(job_id, ()))

    def _add(self, job_id: str, line: str) -> None:
        lines = self._lines.setdefault(job_id, deque(maxlen=MAX_LINES_PER_JOB))
        lines.append(line)
        self._lines.move_to_end(job_id)
        if len(self._lines) > MAX_JOBS:
            self._lines.popitem(last=False)

    def _job_and_sentence(self, decision: Decision, ledger: Ledger) -> tuple[str, str]:
        match decision:
            case Submitted(spec):
                return spec.job_id, f"{spec.count} tasks were handed in"
            case Cancelled(job_id):
                return job_id, "its cancellation was asked for"
            case Placed(attempt, worker):
                figures = self._placement_costs.pop(attempt.task, "figures are with its writer")
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
    worker_entry = ledger.workers.get(number)
    return worker_entry.spec.name if worker_entry else f"worker {number}"


def explain(ledger: Ledger, history: History, obstacles: dict[int, Any], job_id: str) -> Any:
    """Return the state of a job and the decisions behind it, as a value for JSON.

    Args:
        ledger: The hall's ledger.
        history: The recent decisions.
        obstacles: Reasons for which jobs have tasks left in the queue, by job number.
        job_id: Id of the job.
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
