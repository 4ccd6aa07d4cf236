"""Checks that nothing is started in evacuated halls by hosts that can know of the evacuation."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.virtual_time import HOST, virtual_loop, world_time

if TYPE_CHECKING:
    from tests.hall_world import HallWorld
    from tests.standins.memory_executor import MemoryExecutor

EVACUATION_S = 5.0
"""The platform's `evacuationMs`: time after the operator's record in which starts are allowed."""

CONTACT_S = 4.0
"""The platform's `contactMs` where it has evacuations: a host that had a fault within this time
need not know of the operator's record."""

SAMPLE_INTERVAL_S = 0.05
"""Interval between checks which hosts have a fault."""


class Evacuations:
    """The evacuations of a world and the starts that they forbid.

    Args:
        world: The world.

    Attributes:
        bound_s: Time after an evacuation's record from which a start breaks the promise.
    """

    def __init__(self, world: HallWorld) -> None:
        self._world = world
        self._since: dict[str, float] = {}
        self._fault_at: dict[str, float] = {}
        self.bound_s = EVACUATION_S

    def __repr__(self) -> str:
        return f"Evacuations({sorted(self._since)})"

    @property
    def halls(self) -> frozenset[str]:
        """The evacuated halls."""
        return frozenset(self._since)

    def begin(self, hall: str) -> None:
        """Record that a hall's evacuation is in the store."""
        self._since.setdefault(hall, world_time())

    def end(self, hall: str) -> None:
        """Record that a hall's evacuation is withdrawn."""
        self._since.pop(hall, None)

    async def sample_faults(self) -> None:
        """Record which hosts have a fault, until cancelled."""
        while True:
            now = world_time()
            for name, _ in self._world.host_names():
                if self._has_fault(name):
                    self._fault_at[name] = now
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _has_fault(self, name: str) -> bool:
        store, running = self._world.store, self._world.hosts.get(name)
        if running is None or virtual_loop().is_frozen(running.process):
            return True
        return name in store.refusing | store.silent or store.lost_answer_share > 0.0

    def on_start(self, executor: MemoryExecutor) -> list[str]:
        """Return the broken promises of a start that the calling host has just sent."""
        hall, now = executor.record.hall, world_time()
        since = self._since.get(hall, float("inf"))
        host = HOST.get().partition(" ")[0]
        in_touch = now - self._fault_at.get(host, float("-inf")) > CONTACT_S
        if now - since <= self.bound_s or not in_touch:
            return []
        return [f"EVAC start in {hall} {now - since:.2f} s after its evacuation, by {host}"]
