"""How urgently best-effort work needs room, and the pressure on standing tasks that this allows."""

from __future__ import annotations

from math import exp
from typing import NamedTuple

AVERAGING_S = 2.0
"""Time over which the demand is averaged: about the duration of a best-effort task."""


class PressureLimits(NamedTuple):
    """Limits of the pressure on a standing task. Its latency target is reached at 0.83.

    Attributes:
        placement: Limit up to which best-effort tasks are placed and their pace is raised.
        kept_pace: Limit up to which best-effort tasks keep their current pace.
    """

    placement: float
    kept_pace: float


CALM_LIMITS = PressureLimits(placement=0.805, kept_pace=0.83)
"""Limits while no best-effort work waits. Loads are predicted to about 0.04, and prediction errors
slow nothing down."""

DEMAND_LIMITS = PressureLimits(placement=0.845, kept_pace=0.87)
"""Limits while best-effort work waits that could still be in time."""


class RoomDemand:
    """Average of the time for which best-effort work waits that could still be in time.

    Room beside standing tasks is of no use while nothing waits for it, so their latency comes first
    then. While work waits, a short time over a latency target costs callers less than the jobs that
    would end late without the room.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._waits = False
        self._updated_at = float("-inf")

    def __repr__(self) -> str:
        return f"RoomDemand({self._share:.2f})"

    def update(self, *, waits: bool, now: float) -> None:
        """Set whether such work waits from now on."""
        self._share = self._share_at(now)
        self._waits = waits
        self._updated_at = now

    def limits(self, now: float) -> PressureLimits:
        """Return the limits that suit the present demand."""
        share = self._share_at(now)
        calm, demand = CALM_LIMITS, DEMAND_LIMITS
        return PressureLimits(
            calm.placement + share * (demand.placement - calm.placement),
            calm.kept_pace + share * (demand.kept_pace - calm.kept_pace),
        )

    def _share_at(self, now: float) -> float:
        """Return the share of the last seconds for which work waited, 0 to 1."""
        kept = exp(-max(now - self._updated_at, 0.0) / AVERAGING_S)
        return kept * self._share + (1.0 - kept) * self._waits
