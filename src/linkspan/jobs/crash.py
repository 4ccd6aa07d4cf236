"""Crash of an executor that ran a task, as kept in records."""

from __future__ import annotations

from typing import NamedTuple

CONFIRMED = 1
"""Encodes a confirmed crash in records: the executor confirmed the start of the run. An
unconfirmed crash is encoded as 0."""

CERTAIN = 2
"""Encodes a certain crash in records: the run was still on the executor at the crash. Earlier
versions read it as a confirmed crash."""


class Crash(NamedTuple):
    """Crash of an executor that counts against a task.

    Attributes:
        incarnation: Name of the executor incarnation that crashed.
        run: Number of the task's run on the executor.
        score: Amount by which the crash raises the task's crash score.
        confirmed: Whether the executor confirmed the start of the run, to this owner or to a
            previous owner that recorded the confirmation.
        address: Address of the executor; empty if a previous owner observed the crash.
        certain: Whether the run was certainly still there at the crash, rather than possibly
            ended before it without a report.
    """

    incarnation: str
    run: int
    score: int
    confirmed: bool = True
    address: str = ""
    certain: bool = True

    @property
    def certainty(self) -> int:
        """Level of certainty as encoded in records: 0, ``CONFIRMED`` or ``CERTAIN``."""
        if not self.confirmed:
            return 0
        return CERTAIN if self.certain else CONFIRMED

    def with_certainty(self, certainty: int) -> Crash:
        """Return the crash with a level of certainty as encoded in records."""
        return self._replace(confirmed=certainty >= CONFIRMED, certain=certainty >= CERTAIN)
