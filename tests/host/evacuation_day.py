"""A random scenario of evacuations beside overlapping faults."""

from __future__ import annotations

import asyncio
from random import Random

from linkspan.model.configuration import Configuration
from tests.hall_world import CONFIGURATION, HallWorld
from tests.host.overlapping_day import OverlappingDay

EVACUATIONS = 4
"""Number of evacuations of a day."""

FIRST_EVACUATION_S = 1.0
"""Earliest start of an evacuation, after the start of the traffic."""

LAST_EVACUATION_S = 18.0
"""Latest start of an evacuation, after the start of the traffic."""

DURATION_RANGE_S = 2.0, 12.0
"""Range of an evacuation's duration."""

STORM_CONFIGURATIONS = 12
"""Number of configurations that the operator publishes in quick succession."""

STORM_INTERVAL_S = 0.1
"""Time between two of them."""

BOUND_S = 1.5
"""Time from the operator's record until a host without a fault starts nothing more there. It is
stricter than the platform's limit, as work that still comes soon goes to other halls."""

ALL_HALLS_SHARE = 0.4
"""Share of the evacuations that concern all halls. No other hall takes the work then."""

BODIES = b"{}", b"not json", b'{"version":1}'
"""What the operator's records may hold."""


class EvacuationDay(OverlappingDay):
    """The traffic, faults and evacuations of one seed.

    Args:
        seed: Seed of all random choices.
        troubles: Number of faults.
    """

    def __init__(self, seed: int, *, troubles: int = 4) -> None:
        super().__init__(seed, troubles=troubles)
        # A generator of its own, so that evacuations do not change the other draws.
        self._evacuation_random = Random(seed * 6971 + 3)
        self.evacuated = 0
        self.world.evacuations.bound_s = BOUND_S

    async def _traffic(self, group: asyncio.TaskGroup) -> None:
        for _ in range(EVACUATIONS):
            group.create_task(self._evacuation())
        group.create_task(self._configuration_storm())
        await super()._traffic(group)

    async def _evacuation(self) -> None:
        """Evacuate a hall or all of them, and withdraw it, while the store forgets the records."""
        world, random = self.world, self._evacuation_random
        await asyncio.sleep(random.uniform(FIRST_EVACUATION_S, LAST_EVACUATION_S))
        kinds = (
            list(world.halls) if random.random() < ALL_HALLS_SHARE else [random.choice(world.halls)]
        )
        halls = [hall for hall in kinds if hall not in world.evacuations.halls]
        for hall in halls:
            self._forget_sometimes(world)
            world.evacuate(hall, random.choice(BODIES))
            self.evacuated += 1
        self.fault_log.append(f"{asyncio.get_running_loop().time():.2f} evacuate {halls}")
        await asyncio.sleep(random.uniform(*DURATION_RANGE_S))
        for hall in halls:
            world.reopen(hall)
            self._forget_sometimes(world)

    def _forget_sometimes(self, world: HallWorld) -> None:
        if self._evacuation_random.random() < 0.4:
            world.store.forget(CONFIGURATION)

    async def _configuration_storm(self) -> None:
        """Publish configurations in quick succession."""
        world, random = self.world, self._evacuation_random
        await asyncio.sleep(random.uniform(FIRST_EVACUATION_S, LAST_EVACUATION_S))
        for _ in range(STORM_CONFIGURATIONS):
            present = world.configuration
            world.configuration = Configuration(
                present.version + 1, present.queues, present.services
            )
            world.publish()
            await asyncio.sleep(STORM_INTERVAL_S)
