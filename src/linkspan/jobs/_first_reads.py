"""When this host first read of jobs that wait for their first start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.jobs.catalog import JobEntry


class FirstReads:
    """Times at which this host first read of jobs of which no start was ordered yet.

    A job that moves to another hall has waited since then. The time is this host's own, as the
    clocks of hosts differ; a host that started later knows of a shorter wait.

    Args:
        entry_of: Returns the entry of an accepted job, ``None`` if there is none.
    """

    def __init__(self, entry_of: Callable[[str], JobEntry | None]) -> None:
        self._entry_of = entry_of
        self._read_at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"FirstReads({len(self._read_at)} jobs)"

    def on_record(self, job_id: str, now: float) -> None:
        """Note that a record of a job was read at a steady time."""
        if self._waits(job_id):
            self._read_at.setdefault(job_id, now)
        else:
            self._read_at.pop(job_id, None)

    def forget_removed(self) -> None:
        """Forget the jobs that are no longer in the store."""
        for job_id in [j for j in self._read_at if not self._waits(j)]:
            del self._read_at[job_id]

    def waited_s(self, job_id: str, now: float) -> float:
        """Return for how long a job has waited for its first start, in seconds; 0 if unknown."""
        return now - self._read_at.get(job_id, now)

    def _waits(self, job_id: str) -> bool:
        entry = self._entry_of(job_id)
        return entry is not None and not (entry.start_ordered or entry.finished)
