"""A random scenario of handovers beside changes of owners, with a check of who manages what."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from linkspan.shard.recovery.progress import RunKey
from linkspan.store.types import Partition
from tests.hall_world import HallWorld
from tests.host.standing_faults_day import StandingFaultsDay

KINDS = "kill_owner", "kill_owner_in_handover", "replace", "shrink"
"""Kinds of faults that hand tasks over and change owners."""

UNDECODABLE = b"["
"""Value of a record that no host can decode."""


class ManagedDay(StandingFaultsDay):
    """A scenario in which each task of a standing job must be managed by exactly one hall.

    Args:
        seed: Seed of all random choices.
        kinds: Names of the kinds of faults to inject.
        unreadable: Whether the records of some standing jobs cannot be decoded by an owner that
            follows a killed one.
    """

    def __init__(
        self, seed: int, kinds: tuple[str, ...] = KINDS, *, unreadable: bool = False
    ) -> None:
        super().__init__(seed, kinds)
        self._unreadable = unreadable

    async def play(self) -> HallWorld:
        """Run the scenario and return its world, with the violations it found."""
        watch = asyncio.create_task(self.checks.managed.watch())
        spoil = asyncio.create_task(self._spoil_records())
        try:
            return await super().play()
        finally:
            for task in (watch, spoil):
                task.cancel()
                with suppress(asyncio.CancelledError):
                    await task

    async def _spoil_records(self) -> None:
        """Replace records of standing jobs in halls whose owner was just killed."""
        owned: set[int] = set()
        while self._unreadable:
            await asyncio.sleep(0.05)
            now_owned = {s for s in range(len(self.world.halls)) if self.world.owner(s)}
            for shard in owned - now_owned:
                self._spoil_hall(shard)
            owned = now_owned

    def _spoil_hall(self, shard: int) -> None:
        partition = Partition("progress", shard, keyed=True)
        present = {e.key: e.value for e in self.world.store.log(partition).entries}
        for job_id, spec in sorted(self.world.specs.items()):
            key = RunKey(job_id, 0).encode()
            if spec.standing and present.get(key) and self.random.random() < 0.5:
                self.world.store.put(partition, key, UNDECODABLE)
