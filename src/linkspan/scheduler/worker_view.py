"""A scheduler's view of one worker, from the worker's reports."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.services.messages import AttemptKey, ClosedAttempt, WorkerReport


@dataclass(slots=True)
class WorkerView:
    """The latest report of a worker, and the times of its exchanges.

    Attributes:
        name: Name of the worker.
        report: The latest report, None before the first one.
        report_started: Local time in seconds when the exchange of that report started.
        watched_since: Local time when this scheduler started to watch the worker.
        next_exchange: Local time when the next exchange is due.
        last_exchange: Local time when the latest exchange started.
        needs_check: Whether the scheduler still has to derive decisions from the
            latest report, or from its absence.
        running: Attempts that run according to the report.
        closed: Attempts that ended or left the worker according to the report.
    """

    name: str
    watched_since: float
    report: WorkerReport | None = None
    report_started: float = -1.0
    next_exchange: float = 0.0
    last_exchange: float = float("-inf")
    needs_check: bool = True
    running: set[AttemptKey] = field(default_factory=set)
    closed: dict[AttemptKey, ClosedAttempt] = field(default_factory=dict)

    def apply_report(self, report: WorkerReport, started: float) -> None:
        """Replace the latest report, unless the known one is newer.

        Args:
            report: The report.
            started: Local time in seconds when the exchange started.
        """
        if self.report is not None and _report_order(report) < _report_order(self.report):
            return
        self.report = report
        self.needs_check = True
        self.report_started = started
        self.running = set(report.running)
        self.closed = {closed.run: closed for closed in report.closed}

    def silence(self, now: float) -> float:
        """Return the seconds since the latest report was requested, or since the watch started."""
        return now - max(self.watched_since, self.report_started)


def _report_order(report: WorkerReport) -> tuple[int, float]:
    return report.spec.incarnation, report.clock
