"""Quarantine of workers on which tasks fail more often than on other workers."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

ENDS_PER_WORKER = 32
"""Ends kept per worker; four times as many are kept per kind of work."""

MAX_QUARANTINED_SHARE = 0.25
"""Limit on the share of workers in quarantine at once."""

MIN_ENDS = 6
"""Ends of attempts needed before a worker can be put into quarantine."""

FIRST_QUARANTINE_S = 60.0
"""Duration of a worker's first quarantine; it doubles with each further one."""

MAX_QUARANTINE_S = 3_600.0
"""Limit on the duration of a quarantine."""


class End(NamedTuple):
    """The end of an attempt.

    Attributes:
        kind: Kind of work.
        worker: Name of the worker that ran the attempt.
        failed: Whether the attempt failed.
    """

    kind: str
    worker: str
    failed: bool


@dataclass(slots=True)
class _WorkerRecord:
    ends: deque[End] = field(default_factory=lambda: deque(maxlen=ENDS_PER_WORKER))
    until: float = 0.0
    quarantines: int = 0


class Quarantine:
    """Compares failures on each worker with failures of the same kinds on other workers.

    A failure counts against a worker only as far as its kind of work succeeds on other
    workers, so that a job that fails everywhere does not lead to a quarantine. After a
    quarantine the worker starts without a history; the next quarantine lasts twice as
    long.
    """

    def __init__(self) -> None:
        self._workers: defaultdict[str, _WorkerRecord] = defaultdict(_WorkerRecord)
        self._kinds: defaultdict[str, deque[End]] = defaultdict(
            lambda: deque(maxlen=ENDS_PER_WORKER * 4)
        )

    def __repr__(self) -> str:
        return f"Quarantine(workers={len(self._workers)}, kinds={len(self._kinds)})"

    def note(self, end: End, now: float, workers: int) -> bool:
        """Record the end of an attempt.

        Args:
            end: The end.
            now: Time in seconds.
            workers: Number of workers in the hall, for the limit on the share.

        Returns:
            Whether the end puts the worker into quarantine.
        """
        record = self._workers[end.worker]
        record.ends.append(end)
        self._kinds[end.kind].append(end)
        if not end.failed or record.until > now or not self._fails_more_than_elsewhere(end.worker):
            return False
        if len(self.quarantined(now)) + 1 > max(1, int(MAX_QUARANTINED_SHARE * workers)):
            return False
        duration_s = min(FIRST_QUARANTINE_S * 2**record.quarantines, MAX_QUARANTINE_S)
        record.until = now + duration_s
        record.quarantines += 1
        record.ends.clear()
        return True

    def quarantined(self, now: float) -> Collection[str]:
        """Return the names of the workers in quarantine at ``now``, in seconds."""
        return {name for name, record in self._workers.items() if record.until > now}

    def fails_everywhere(self, kind: str) -> bool:
        """Return whether all kept ends of a kind are failures, on at least three workers."""
        ends = self._kinds[kind]
        workers = {end.worker for end in ends}
        return len(workers) >= 3 and all(end.failed for end in ends)

    def _fails_more_than_elsewhere(self, worker: str) -> bool:
        ends = self._workers[worker].ends
        if len(ends) < MIN_ENDS:
            return False
        expected = sum(self._failure_share(end.kind, worker) for end in ends)
        failed = sum(end.failed for end in ends)
        return failed >= 0.8 * len(ends) and failed > 2.0 * expected + 2.0

    def _failure_share(self, kind: str, worker: str) -> float:
        """Return the share of failures of a kind on other workers, 1 without any ends there."""
        elsewhere = [end.failed for end in self._kinds[kind] if end.worker != worker]
        return sum(elsewhere) / len(elsewhere) if elsewhere else 1.0
