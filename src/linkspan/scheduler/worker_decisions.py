"""Decisions for the ledger that follow from a worker's report or from its silence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.ledger.records import Ended, Evicted, Outcome, Recalled, WorkerSeen
from linkspan.ledger.run_keys import attempt_of_run, run_key, worker_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from linkspan.ledger.ledger import Ledger
    from linkspan.ledger.records import Decision
    from linkspan.scheduler.worker_view import WorkerView
    from linkspan.services.messages import ClosedAttempt


def worker_decisions(
    view: WorkerView, ledger: Ledger, now: float, *, silence_s: float, leaving: bool
) -> Iterator[Decision]:
    """Yield the decisions that the ledger needs about one worker.

    Args:
        view: Latest known state of the worker.
        ledger: The hall's ledger.
        now: Time in seconds.
        silence_s: Time without a report after which the worker's attempts are recalled.
        leaving: Whether the worker must get no new work.
    """
    report = view.report
    number = ledger.worker_numbers.get(view.name)
    if report is not None and (number is None or ledger.workers[number].spec != report.spec):
        yield WorkerSeen(report.spec)
    if number is None:
        return
    if view.silence(now) > silence_s:
        yield from _recall_all(ledger, number)
        return
    for closed in view.closed.values():
        yield from _end_of(closed, ledger, number)
    if leaving:
        yield from _recall_movable(view, ledger, number)


def _recall_movable(view: WorkerView, ledger: Ledger, worker: int) -> Iterator[Decision]:
    """Recall attempts that have not started, and service attempts, which never end by themselves.

    Tasks of a service move one at a time: the next one is recalled only when no
    task of the service is queued.
    """
    moving: set[int] = set()
    for task in sorted(ledger.workers[worker].tasks):
        run = run_key(ledger.hall, ledger.attempt_of(task))
        entry = ledger.jobs[task.job]
        if ledger.placements[task].recalled >= 0 or run in view.closed:
            continue
        if run in view.running:
            may_move = not entry.queued and task.job not in moving
            if not entry.spec.restarts or not may_move:
                continue
            moving.add(task.job)
        yield Recalled(ledger.attempt_of(task))


def _recall_all(ledger: Ledger, worker: int) -> Iterator[Decision]:
    for task in sorted(ledger.workers[worker].tasks):
        if ledger.placements[task].recalled < 0:
            yield Recalled(ledger.attempt_of(task))


def _end_of(closed: ClosedAttempt, ledger: Ledger, worker: int) -> Iterator[Decision]:
    attempt = attempt_of_run(ledger.hall, closed.run)
    if attempt is None or worker_of(ledger, attempt) != worker:
        return
    if closed.ended:
        yield Ended(attempt, Outcome.FAILED if closed.failed else Outcome.SUCCEEDED)
    else:
        yield Evicted(attempt, closed.checkpoint, closed.started)
