"""Orders for a worker, derived from the ledger and the worker's latest report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.ledger.run_keys import run_key
from linkspan.services.messages import AttemptKey, ExchangeRequest, StartCommand

if TYPE_CHECKING:
    from linkspan.ledger.ledger import Ledger
    from linkspan.model.job import TaskId
    from linkspan.placement.placer import Placer
    from linkspan.scheduler.worker_view import WorkerView
    from linkspan.services.messages import WorkerReport


class WorkerOrders:
    """Builds the orders of one exchange.

    Args:
        view: Latest known state of the worker.
        ledger: The hall's ledger.
        lease_s: Duration of a lease in seconds, from the time of the worker's report.
        may_renew: Whether the ledger is fresh enough to start attempts and renew leases.
        leaving: Whether the worker must get no new work.
        is_newer_than_report: Whether the ledger is newer than the report. Only then
            an attempt that the ledger does not list on the worker has certainly
            ended; otherwise records that are not read yet may have placed it.
    """

    def __init__(
        self,
        view: WorkerView,
        ledger: Ledger,
        *,
        lease_s: float,
        may_renew: bool,
        leaving: bool,
        is_newer_than_report: bool,
    ) -> None:
        self._view = view
        self._ledger = ledger
        self._lease_s = lease_s
        self._may_renew = may_renew
        self._leaving = leaving
        self._is_newer_than_report = is_newer_than_report
        self._number = ledger.worker_numbers.get(view.name)
        self._live = self._live_runs()

    def __repr__(self) -> str:
        return f"WorkerOrders({self._view.name!r}, live={len(self._live)})"

    def build(self, placer: Placer) -> ExchangeRequest:
        """Return the orders; before the first report they are empty and only request a report."""
        report = self._view.report
        if report is None:
            return ExchangeRequest()
        return ExchangeRequest(
            incarnation=report.spec.incarnation,
            lease_until=report.clock + self._lease_s,
            starts=self._starts(report),
            renew=self._renewals(),
            stops=self._stops(),
            throttles=self._throttles(placer),
            acknowledged=self._acknowledged(),
        )

    def _live_runs(self) -> dict[AttemptKey, TaskId]:
        """Return the attempts that the ledger lists on the worker, by run key."""
        ledger = self._ledger
        if self._number is None:
            return {}
        tasks = ledger.workers[self._number].tasks
        return {run_key(ledger.hall, ledger.attempt_of(task)): task for task in tasks}

    def _is_wanted(self, task: TaskId) -> bool:
        is_recalled = self._ledger.placements[task].recalled >= 0
        return not (is_recalled or self._ledger.jobs[task.job].cancelled)

    def _renewals(self) -> tuple[AttemptKey, ...]:
        if not self._may_renew:
            return ()
        live = self._live
        return tuple(
            run for run in sorted(self._view.running) if run in live and self._is_wanted(live[run])
        )

    def _starts(self, report: WorkerReport) -> tuple[StartCommand, ...]:
        if self._number is None or not self._may_renew or self._leaving:
            return ()
        if self._ledger.workers[self._number].spec.incarnation != report.spec.incarnation:
            return ()
        known = self._view.running | self._view.closed.keys()
        return tuple(
            self._start(run, task)
            for run, task in sorted(self._live.items())
            if run not in known and self._is_wanted(task)
        )

    def _start(self, run: AttemptKey, task: TaskId) -> StartCommand:
        entry = self._ledger.jobs[task.job]
        return StartCommand(
            run=run,
            size=self._ledger.placements[task].size,
            kind=entry.spec.kind,
            job_id=entry.spec.job_id,
            index=task.index,
            checkpoint=entry.checkpoints.get(task.index, ""),
        )

    def _stops(self) -> tuple[AttemptKey, ...]:
        view, live = self._view, self._live
        stops = {
            run
            for run, task in live.items()
            if not self._is_wanted(task) and run not in view.closed
        }
        if self._is_newer_than_report:
            stops |= view.running - live.keys()
        return tuple(sorted(stops))

    def _throttles(self, placer: Placer) -> tuple[tuple[AttemptKey, float], ...]:
        ledger = self._ledger
        if self._number is None:
            return ()
        return tuple(
            (run_key(ledger.hall, ledger.attempt_of(task)), share)
            for task, share in placer.throttles(self._number)
            if task in ledger.placements
        )

    def _acknowledged(self) -> tuple[AttemptKey, ...]:
        if not self._is_newer_than_report:
            return ()
        return tuple(run for run in self._view.closed if run not in self._live)
