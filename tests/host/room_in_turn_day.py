"""Days on which small pieces of room come free in turn in halls full of standing work.

Standing jobs keep coming and ending, most of them are accepted for a hall that need not have room,
and the store is slow for a second or two now and then.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from linkspan.jobs.spec import JobSpec
from tests.accepted_jobs import accept_in
from tests.hall_world import HallWorld
from tests.host.full_hall_day import FullHallDay
from tests.job_builders import step

STANDING_CORES = 9.0, 24.0
STANDING_WIDTHS = 1, 2, 2, 3, 4
SPREADS = 0, 0, 1
MISPLACED_SHARE = 0.6
"""Share of the standing jobs that are accepted for a random hall, as by an outdated host."""

SLOW_INTERVAL_S = 6.0, 16.0
SLOW_S = 1.0, 2.0
SLOW_READ_S = 0.2, 0.6
"""Range of the time that a slow store takes for an answer."""


@dataclass
class RoomInTurnDay(FullHallDay):
    """One such day."""

    halls: tuple[str, ...] = ("east", "west", "north")
    standing_interval_s: float = 0.5
    standing_end_interval_s: float = 0.6

    async def play(self) -> HallWorld:
        """Play the day."""
        slow = asyncio.create_task(self._slow_the_store())
        try:
            return await super().play()
        finally:
            slow.cancel()

    def _standing_job(self) -> JobSpec:
        cpu = int(1_000 * self.random.uniform(*STANDING_CORES))
        spread = self.random.choice(SPREADS)
        count = self.random.choice(STANDING_WIDTHS)
        return self.world.new_job(step(count, cpu=cpu, standing=True, max_per_executor=spread))

    async def _submit_standing(self, spec: JobSpec, within_s: float) -> None:
        if self.random.random() >= MISPLACED_SHARE:
            await super()._submit_standing(spec, within_s)
            return
        accept_in(self.world, spec, self.random.randrange(len(self.halls)))
        self._standing.append(spec.job_id)

    async def _slow_the_store(self) -> None:
        """Make the store answer all reads of one host late, again and again."""
        store = self.world.store
        while True:
            await asyncio.sleep(self.random.uniform(*SLOW_INTERVAL_S))
            topics = {partition.topic for partition in store.partitions}
            late_s, host = self.random.uniform(*SLOW_READ_S), self._host()
            slow = {(host, topic): late_s for topic in sorted(topics)}
            with self.checks.disruptions.lasting():
                store.read_duration_s.update(slow)
                await asyncio.sleep(self.random.uniform(*SLOW_S))
                for key in slow:
                    store.read_duration_s.pop(key, None)
