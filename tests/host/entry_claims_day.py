"""A random scenario in which another writer replaces entries of executors, beside other faults."""

from __future__ import annotations

import asyncio
import json

from tests.host.entry_claims_play import (
    ADDRESS_CLAIMS,
    PLACE_CLAIMS,
    REWRITE_DELAY_S,
    START_TIME_CLAIMS,
)
from tests.host.overlapping_day import OverlappingDay
from tests.host.stale_entries_day import StaleEntriesDay

CLAIMS = ADDRESS_CLAIMS | START_TIME_CLAIMS | PLACE_CLAIMS

CLAIM_SHARE = 0.4
"""Share of the faults that are entries of another writer."""


async def claim(day: OverlappingDay) -> None:
    """Replace the entry of an executor, which restores it at its next heartbeat."""
    world = day.world
    alive = [executor for executor in world.executors.values() if executor.alive]
    if not alive:
        return
    executor = day.random.choice(alive)
    kind = day.random.choice(sorted(CLAIMS))
    changes = {"born": executor.started_at_ms, **CLAIMS[kind](world)}
    entry = world.entry_fields(executor.record, **changes)
    world.enter(executor.record.executor_id, json.dumps(entry).encode())
    await asyncio.sleep(day.random.uniform(0.05, REWRITE_DELAY_S))
    if executor.alive:
        world.register(executor)


async def restart(day: OverlappingDay) -> None:
    """Restart an executor under the same id, with an entry that follows its start."""
    alive = [address for address, e in day.world.executors.items() if e.alive]
    if alive:
        address = day.random.choice(alive)
        day.world.restart_executor(address, down_s=day.random.uniform(0.1, 2.0))


class EntryClaimsDay(StaleEntriesDay):
    """The traffic and the faults of one seed.

    Args:
        seed: Seed of all random choices.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._kinds["restart"] = restart

    async def _trouble(self, at: float) -> None:
        if self.random.random() >= CLAIM_SHARE:
            await super()._trouble(at)
            return
        await asyncio.sleep(at)
        self.fault_log.append(f"{asyncio.get_running_loop().time():.2f} claim")
        await claim(self)
