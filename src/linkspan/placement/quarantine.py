"""Tells bad workers from bad jobs, and keeps new work off the bad ones."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

WINDOW = 32
"""Ends remembered of each worker and each kind of work."""

MAX_SHARE = 0.25
"""Part of the workers that may be in quarantine at once."""

MIN_ENDS = 6
"""Ends of at least two kinds that a worker is judged by."""

FIRST_PAUSE_S = 60.0
"""First time in quarantine; it doubles with each relapse."""

MAX_PAUSE_S = 3_600.0
"""Longest time in quarantine."""


class End(NamedTuple):
    """How an attempt ended.

    Attributes:
        kind: Kind of work.
        worker: Where it ran.
        failed: Whether it failed.
    """

    kind: str
    worker: str
    failed: bool


@dataclass(slots=True)
class _Record:
    ends: deque[End] = field(default_factory=lambda: deque(maxlen=WINDOW))
    until: float = 0.0
    pauses: int = 0


class Quarantine:
    """Judges workers by how the same kinds of work fare elsewhere.

    A failure counts against a worker only as far as its kind of work succeeds
    on others, so a job that fails everywhere brings no worker under suspicion.
    A worker that returns is on trial: its past ends are forgotten, and when it
    fails again it stays away twice as long.
    """

    def __init__(self) -> None:
        self._workers: defaultdict[str, _Record] = defaultdict(_Record)
        self._kinds: defaultdict[str, deque[End]] = defaultdict(lambda: deque(maxlen=WINDOW * 4))

    def __repr__(self) -> str:
        return f"Quarantine(workers={len(self._workers)}, kinds={len(self._kinds)})"

    def note(self, end: End, now: float, workers: int) -> bool:
        """Take in an attempt's end.

        Args:
            end: The end.
            now: Time in seconds.
            workers: Number of workers in the hall, for the bound on the share.

        Returns:
            Whether its worker goes into quarantine by it.
        """
        record = self._workers[end.worker]
        record.ends.append(end)
        self._kinds[end.kind].append(end)
        if not end.failed or record.until > now or not self._is_bad(end.worker):
            return False
        if len(self.held(now)) + 1 > max(1, int(MAX_SHARE * workers)):
            return False
        pause = min(FIRST_PAUSE_S * 2**record.pauses, MAX_PAUSE_S)
        record.until = now + pause
        record.pauses += 1
        record.ends.clear()
        return True

    def held(self, now: float) -> Collection[str]:
        """Return the workers in quarantine at this time, in seconds."""
        return {name for name, record in self._workers.items() if record.until > now}

    def fails_everywhere(self, kind: str) -> bool:
        """Return whether a kind of work fails on every worker that ran it."""
        ends = self._kinds[kind]
        workers = {end.worker for end in ends}
        return len(workers) >= 3 and all(end.failed for end in ends)

    def _is_bad(self, worker: str) -> bool:
        ends = self._workers[worker].ends
        if len(ends) < MIN_ENDS:
            return False
        expected = sum(self._failure_share(end.kind, worker) for end in ends)
        failed = sum(end.failed for end in ends)
        return failed >= 0.8 * len(ends) and failed > 2.0 * expected + 2.0

    def _failure_share(self, kind: str, worker: str) -> float:
        """Return the share of a kind's failures on other workers, 1 if unknown."""
        elsewhere = [end.failed for end in self._kinds[kind] if end.worker != worker]
        return sum(elsewhere) / len(elsewhere) if elsewhere else 1.0
