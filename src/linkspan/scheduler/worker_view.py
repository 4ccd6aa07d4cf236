"""What a scheduler knows of one worker from its reports."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.services.messages import AttemptKey, ClosedAttempt, WorkerReport


@dataclass(slots=True)
class WorkerView:
    """The latest report of a worker, and when we are next to talk to it.

    Attributes:
        name: The worker.
        report: Its latest report, None before the first.
        reported: Our clock in seconds when the exchange of that report began.
        watched_since: Our clock when we began to look after this worker.
        next_exchange: Our clock when the next exchange is due.
        last_exchange: Our clock when the latest exchange began.
        has_news: Whether what it said or did not say is still to be looked at.
        running: Attempts that the report has running.
        closed: Attempts that the report has closed.
    """

    name: str
    watched_since: float
    report: WorkerReport | None = None
    reported: float = -1.0
    next_exchange: float = 0.0
    last_exchange: float = float("-inf")
    has_news: bool = True
    running: set[AttemptKey] = field(default_factory=set)
    closed: dict[AttemptKey, ClosedAttempt] = field(default_factory=dict)

    def take(self, report: WorkerReport, began: float) -> None:
        """Take in a report, unless a later one is known.

        Args:
            report: What the worker said.
            began: Our clock when we began to ask.
        """
        if self.report is not None and _order(report) < _order(self.report):
            return
        self.report = report
        self.has_news = True
        self.reported = began
        self.running = set(report.running)
        self.closed = {closed.run: closed for closed in report.closed}

    def silence(self, now: float) -> float:
        """Return for how many seconds the worker has not been heard of."""
        return now - max(self.watched_since, self.reported)


def _order(report: WorkerReport) -> tuple[int, float]:
    return report.spec.incarnation, report.clock
