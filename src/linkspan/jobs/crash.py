"""An executor that crashed under a task, as records hold it."""

from __future__ import annotations

from typing import NamedTuple

CONFIRMED = 1
"""What records hold of a crash whose run is known to have been there; 0 where it is not."""

CERTAIN = 2
"""The same where it was there at the fall for certain; to earlier versions it is the one above."""


class Crash(NamedTuple):
    """An executor that crashed under a task.

    Attributes:
        incarnation: Name of the life that ended.
        run: Number of the task's run that was there.
        score: What it counts.
        confirmed: Whether the run is known to have been there: its start was answered, also to a
            former owner that recorded this.
        address: Where it was; empty where a former owner saw it.
        certain: Whether the run cannot have ended before the fall, unheard.
    """

    incarnation: str
    run: int
    score: int
    confirmed: bool = True
    address: str = ""
    certain: bool = True

    @property
    def certainty(self) -> int:
        """How surely its run was there, as records hold it."""
        if not self.confirmed:
            return 0
        return CERTAIN if self.certain else CONFIRMED

    def with_certainty(self, certainty: int) -> Crash:
        """Return the crash with what a record holds of how surely its run was there."""
        return self._replace(confirmed=certainty >= CONFIRMED, certain=certainty >= CERTAIN)
