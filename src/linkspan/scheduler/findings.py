"""What a worker's report, or its silence, adds to the ledger."""

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


def findings(
    view: WorkerView, ledger: Ledger, now: float, *, silence_s: float, leaving: bool
) -> Iterator[Decision]:
    """Yield what the ledger has to learn of a worker.

    Args:
        view: What is known of the worker.
        ledger: The fold.
        now: Time in seconds.
        silence_s: Silence after which the worker's attempts are recalled.
        leaving: Whether the worker is to get nothing new.
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
        yield from _close(closed, ledger, number)
    if leaving:
        yield from _move_away(view, ledger, number)


def _move_away(view: WorkerView, ledger: Ledger, worker: int) -> Iterator[Decision]:
    """Recall what did not begin yet, and what would never end by itself.

    Tasks of a service move one after another: the next only when none of the
    service waits for a place.
    """
    moving: set[int] = set()
    for task in sorted(ledger.workers[worker].tasks):
        run = run_key(ledger.hall, ledger.attempt_of(task))
        entry = ledger.jobs[task.job]
        if ledger.placements[task].recalled >= 0 or run in view.closed:
            continue
        if run in view.running:
            is_turn = not entry.queued and task.job not in moving
            if not entry.spec.restarts or not is_turn:
                continue
            moving.add(task.job)
        yield Recalled(ledger.attempt_of(task))


def _recall_all(ledger: Ledger, worker: int) -> Iterator[Decision]:
    for task in sorted(ledger.workers[worker].tasks):
        if ledger.placements[task].recalled < 0:
            yield Recalled(ledger.attempt_of(task))


def _close(closed: ClosedAttempt, ledger: Ledger, worker: int) -> Iterator[Decision]:
    attempt = attempt_of_run(ledger.hall, closed.run)
    if attempt is None or worker_of(ledger, attempt) != worker:
        return
    if closed.ended:
        yield Ended(attempt, Outcome.FAILED if closed.failed else Outcome.SUCCEEDED)
    else:
        yield Evicted(attempt, closed.checkpoint, closed.started)
