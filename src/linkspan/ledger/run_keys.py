"""Conversion between attempt ids of the ledger and the keys that workers use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.model.job import AttemptId
from linkspan.services.messages import AttemptKey

if TYPE_CHECKING:
    from linkspan.ledger.ledger import Ledger


def run_key(hall: str, attempt: AttemptId) -> AttemptKey:
    """Return the key under which workers know an attempt.

    Example:
        >>> run_key("rennes-a", AttemptId(7, 2, 1))
        AttemptKey(task='rennes-a/7.2', attempt=1)
    """
    return AttemptKey(f"{hall}/{attempt.job}.{attempt.index}", attempt.attempt)


def attempt_of_run(hall: str, run: AttemptKey) -> AttemptId | None:
    """Return the attempt for a worker's key, or None if the key is not of this hall."""
    key_hall, _, rest = run.task.rpartition("/")
    job, _, index = rest.partition(".")
    if key_hall != hall or not (job.isdecimal() and index.isdecimal()):
        return None
    return AttemptId(int(job), int(index), run.attempt)


def worker_of(ledger: Ledger, attempt: AttemptId) -> int:
    """Return the number of the worker on which this attempt is placed, or 0."""
    placement = ledger.placements.get(attempt.task)
    if placement is None or ledger.attempt_of(attempt.task) != attempt:
        return 0
    return placement.worker
