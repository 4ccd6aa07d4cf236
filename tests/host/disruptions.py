"""Times of the faults that a scenario injects, for checks that count in calm times only."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from math import inf
from typing import TYPE_CHECKING

from tests.virtual_time import world_time

if TYPE_CHECKING:
    from tests.hall_world import HallWorld


class Disruptions:
    """Knows since when no fault has been in effect.

    A fault lasts from its injection until its function returns; executors that are down then are
    in effect until they are back, or have left for good.
    """

    def __init__(self) -> None:
        self._open = 0
        self._ended_at = -inf

    @contextmanager
    def lasting(self) -> Iterator[None]:
        """Count a fault that lasts as long as this context."""
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1
            self._ended_at = world_time()

    def calm_s(self, world: HallWorld, now: float) -> float:
        """Return for how long no fault has been in effect, in seconds."""
        down = {address for address, executor in world.executors.items() if not executor.alive}
        if self._open or down - world.departed:
            self._ended_at = now
        return now - self._ended_at
