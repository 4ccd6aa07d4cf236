"""Workers of a hall as one scheduler watches them: which are assigned to it, and when to ask them.

Rendezvous hashing over the live schedulers assigns each worker a scheduler that exchanges messages
with it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan._rendezvous import rendezvous
from linkspan.ledger.job_entry import TaskState
from linkspan.ledger.records import Cancelled, Placed, Recalled
from linkspan.ledger.run_keys import worker_of
from linkspan.model.job import TaskId
from linkspan.scheduler.worker_view import WorkerView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.ledger.ledger import Ledger
    from linkspan.ledger.records import Record
    from linkspan.scheduler.timing import Timing


class WatchedWorkers:
    """Views of the workers, with the assignment and the times of their exchanges.

    Args:
        name: Name of this scheduler.
        timing: Intervals and limits that all schedulers of the hall share.
        small_hall: Up to this number of workers, the leader exchanges messages with all of them.
    """

    def __init__(self, name: str, timing: Timing, *, small_hall: int) -> None:
        self._name = name
        self._timing = timing
        self._small_hall = small_hall
        self._views: dict[str, WorkerView] = {}
        self._watched_names: set[str] = set()
        self._assigned_among: frozenset[str] = frozenset()
        self._assigned: list[WorkerView] = []

    def __repr__(self) -> str:
        return f"WatchedWorkers({self._name!r}, workers={len(self._views)})"

    def __len__(self) -> int:
        return len(self._views)

    def __contains__(self, worker: str) -> bool:
        return worker in self._views

    def get(self, worker: str) -> WorkerView | None:
        """Return the view of a worker, None if it is not watched."""
        return self._views.get(worker)

    def watch(self, names: Iterable[str], ledger: Ledger, now: float) -> None:
        """Set the workers to watch to those on the platform's list.

        A worker that left the list but still has attempts stays watched: the list
        lags, so absence from it does not prove that the worker stopped.

        Args:
            names: Workers on the platform's list.
            ledger: The hall's ledger.
            now: Time in seconds.
        """
        wanted = set(names)
        wanted |= {
            worker_entry.spec.name for worker_entry in ledger.workers.values() if worker_entry.tasks
        }
        for name in sorted(wanted - self._views.keys()):
            self._views[name] = WorkerView(name, now)
        for name in self._views.keys() - wanted:
            del self._views[name]
        if wanted != self._watched_names:
            self._watched_names = wanted
            self._assigned_among = frozenset()

    def assigned(self, live: frozenset[str], now: float) -> list[WorkerView]:
        """Return the workers assigned to this scheduler; recomputed when the assignment changes.

        Args:
            live: The live schedulers of the hall.
            now: Time in seconds.
        """
        if live != self._assigned_among:
            self._assigned_among = live
            before = {view.name for view in self._assigned}
            self._assigned = [
                v for v in self._views.values() if self.scheduler_of(v.name, live) == self._name
            ]
            for view in self._assigned:
                if view.name not in before:
                    view.watched_since = now
                    view.next_exchange = 0.0
        return self._assigned

    def scheduler_of(self, worker: str, live: Iterable[str]) -> str:
        """Return which of the live schedulers exchanges messages with a worker."""
        is_small = len(self._views) <= self._small_hall
        return rendezvous("lead" if is_small else worker, live)

    def start_exchange_if_due(self, view: WorkerView, now: float) -> bool:
        """Return whether an exchange with a worker is due, which then counts as started."""
        if now >= view.next_exchange:
            view.last_exchange = now
            view.next_exchange = now + self._timing.exchange_s
            view.needs_check = True
            return True
        return False

    def schedule_exchanges(self, record: Record, ledger: Ledger) -> None:
        """Schedule early exchanges with the workers that an applied record has new orders for."""
        for decision in record.decisions:
            if isinstance(decision, Placed):
                self._schedule_exchange(decision.worker, ledger)
            elif isinstance(decision, Recalled) and worker_of(ledger, decision.attempt):
                self._schedule_exchange(worker_of(ledger, decision.attempt), ledger)
            elif isinstance(decision, Cancelled):
                self._schedule_job_exchanges(decision.job_id, ledger)

    def _schedule_job_exchanges(self, job_id: str, ledger: Ledger) -> None:
        number = ledger.job_numbers.get(job_id)
        if number is None:
            return
        for index, state in enumerate(ledger.jobs[number].states):
            if state == TaskState.PLACED:
                self._schedule_exchange(ledger.placements[TaskId(number, index)].worker, ledger)

    def _schedule_exchange(self, worker: int, ledger: Ledger) -> None:
        worker_entry = ledger.workers.get(worker)
        view = self._views.get(worker_entry.spec.name) if worker_entry is not None else None
        if view is not None:
            soon = view.last_exchange + self._timing.min_exchange_interval_s
            view.next_exchange = min(view.next_exchange, soon)
