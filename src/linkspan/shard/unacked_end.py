"""A handled end of a run that its executor may still list."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.attempt import NEVER

if TYPE_CHECKING:
    from linkspan.shard.job_run import JobRun


class UnackedEnd(NamedTuple):
    """A handled end of a run that is not acknowledged yet.

    Attributes:
        number: Number of the end at the executor.
        run: The repetition whose record must hold the end, ``None`` if no record needs it.
        version: First version of that record that holds the end.
        withheld_until: Steady time until which a start of the run may still arrive. The executor's
            next incarnation could carry it out, and a run must not begin again once its end is
            acknowledged.
    """

    number: int
    run: JobRun | None
    version: int
    withheld_until: float = NEVER

    @property
    def durable(self) -> bool:
        """Whether the end is on record where necessary, so that it may be acknowledged."""
        return self.run is None or self.run.durable >= self.version
