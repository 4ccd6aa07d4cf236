"""A random scenario in which registry entries outlast their executors or expire before them."""

from __future__ import annotations

import asyncio

from tests.hall_executors import EXECUTORS, HEARTBEAT_S
from tests.hall_world import HallWorld
from tests.host.overlapping_day import TROUBLES, OverlappingDay

MISSED_HEARTBEATS = 3
"""Number of missed heartbeats after which the platform drops the entry of an executor."""

DROPPED_SHARE = 0.5
"""Share of the entries that are dropped while the store is down."""

EXCLUDED_TROUBLES = {"drain_executors", "late_orders", "lose_answers", "forget"}
"""Faults that this scenario leaves out."""


class StaleEntriesWorld(HallWorld):
    """A deployment whose crashed executors stay registered for as long as on the platform."""

    def crash_executor(self, address: str, *, back: bool = True) -> None:
        executor = self.executors[address]
        self._crash(executor)
        key = executor.record.executor_id.encode()
        delay_s = MISSED_HEARTBEATS * HEARTBEAT_S
        asyncio.get_running_loop().call_later(delay_s, self.store.put, EXECUTORS, key, b"")
        if back:
            self.add_executor(executor.record.hall, address)


async def lose_store(day: OverlappingDay) -> None:
    """Take the store down and drop entries of executors that keep serving meanwhile."""
    world = day.world
    names = set(world.hosts)
    world.store.silent |= names
    alive = [executor for executor in world.executors.values() if executor.alive]
    dropped = [executor for executor in alive if day.random.random() < DROPPED_SHARE]
    for executor in dropped:
        world.forget_registration(executor)
    await day.last(2.0, 6.0)
    world.store.silent -= names
    await day.last(0.5, 2.0)
    for executor in dropped:
        if executor.alive:
            world.register(executor)


class StaleEntriesDay(OverlappingDay):
    """The traffic and the faults of one seed.

    Args:
        seed: Seed of all random choices.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed, halls=("east", "west"), troubles=14, jobs_per_s=3.0)
        self.world = StaleEntriesWorld(
            halls=("east", "west"), seed=seed, failing_share=0.02, lists_machines=False
        )
        self._kinds = {
            name: kind for name, kind in TROUBLES.items() if name not in EXCLUDED_TROUBLES
        }
        self._kinds["store_down"] = lose_store

    async def _trouble(self, at: float) -> None:
        name = self.random.choice(sorted(self._kinds))
        await asyncio.sleep(at)
        self.fault_log.append(f"{asyncio.get_running_loop().time():.2f} {name}")
        await self._kinds[name](self)
