"""Tells planned departures of executors from crashes."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.executor import ExecutorState


class Departure(Enum):
    """Whether an executor that ended had departed, as planned or early."""

    NONE = "none"
    """No departure was planned: the executor crashed."""
    ANNOUNCED = "announced"
    """The executor drained until the announced time."""
    EARLY = "early"
    """The executor drained and ended before the announced time: it crashed, unless the host read
    the announcement unusually late."""
    UNREGISTERED = "unregistered"
    """The executor was alive after its registry entry had vanished."""

    @property
    def planned(self) -> bool:
        """Whether the end counts as no crash."""
        return self in (Departure.ANNOUNCED, Departure.UNREGISTERED)


def departure_of(executor: ExecutorState, ended_by: float) -> Departure:
    """Return whether an executor that ended had left as planned.

    Args:
        executor: The executor.
        ended_by: Steady time by which it had ended.
    """
    if executor.draining:
        return Departure.EARLY if ended_by < executor.stays_until else Departure.ANNOUNCED
    if executor.alive_at > executor.entry_removed_at:
        return Departure.UNREGISTERED
    return Departure.NONE
