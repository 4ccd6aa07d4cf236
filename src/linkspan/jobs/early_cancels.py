"""Cancels of jobs that are not known: a submission that is stored later counts as cancelled.

A submission without an answer may be stored seconds later, by a host that was cut off from the
store, or stopped. So the cancel of an unknown job is put on record before it is answered, and kept
for longer than any submission takes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

KEPT_S = 600.0
"""Time for which an early cancel is kept, in seconds. No host sends a submission for a tenth of it;
the rest is for clocks of hosts that are wrong."""

MAX_EARLY_CANCELS = 10_000
"""Limits the early cancels that are kept at a time: each takes 1 KB of every host."""


class EarlyCancels:
    """Cancelled jobs of which no submission is known, with the times of day of their cancels."""

    def __init__(self) -> None:
        self._at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"EarlyCancels({len(self._at)})"

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._at

    @property
    def full(self) -> bool:
        """Whether no further one may be put on record."""
        return len(self._at) >= MAX_EARLY_CANCELS

    def add(self, job_id: str, at: float) -> None:
        """Note the cancel of an unknown job.

        Args:
            job_id: The job.
            at: Time of day of the cancel, in seconds since 1970.
        """
        self._at[job_id] = at

    def discard(self, job_id: str) -> None:
        """Forget a job that has become known, or whose record was removed."""
        self._at.pop(job_id, None)

    def remaining_s(self, job_id: str, wall: float) -> float:
        """Return for how long a job stays cancelled, in seconds.

        Args:
            job_id: The job.
            wall: Time of day, in seconds since 1970.
        """
        return min(max(self._at.get(job_id, 0.0) + KEPT_S - wall, 0.0), KEPT_S)

    def first_room_s(self, wall: float) -> float:
        """Return after how many seconds the first of them is no longer kept."""
        return min((self.remaining_s(job_id, wall) for job_id in self._at), default=0.0)

    def expired(self, wall: float) -> Iterator[str]:
        """Iterate over the jobs whose cancels need not be kept any longer."""
        for job_id, at in self._at.items():
            if at + KEPT_S < wall:
                yield job_id
