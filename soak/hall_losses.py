"""Losses of all executors of a hall, for longer than any lease lasts."""

from __future__ import annotations

import asyncio
from random import Random

from soak.faults import Fault
from soak.world import World

MIN_LOSS_S = 8.0
MAX_LOSS_S = 16.0
"""Longest time until the executors are replaced: leases have expired, and the work of the hall has
gone elsewhere."""

HALL_LOSS_FAULTS: dict[str, Fault] = {}
"""Losses of halls, in a separate series that only some runs have: those of all other runs stay the
same."""


def hall_loss(function: Fault) -> Fault:
    """Register a loss of a hall under its function's name."""
    HALL_LOSS_FAULTS[function.__name__] = function
    return function


async def _lose(world: World, draw: Random, *, kept: int) -> None:
    """Crash the executors of one hall but for a number of them, and replace them seconds later."""
    hall = world.plan.hall(draw.randrange(world.plan.halls))
    addresses = world.executor_addresses_of(hall)
    lost = draw.sample(addresses, max(len(addresses) - kept, 1))
    for address in lost:
        await world.executors.send_command("crash", {"address": address, "back": False})
    await asyncio.sleep(draw.uniform(MIN_LOSS_S, MAX_LOSS_S))
    for address in lost:
        await world.replace_executor(address)


@hall_loss
async def lose_a_hall(world: World, draw: Random) -> None:
    """Lose all executors of a hall at once."""
    await _lose(world, draw, kept=0)


@hall_loss
async def lose_most_of_a_hall(world: World, draw: Random) -> None:
    """Lose all executors of a hall but one at once."""
    await _lose(world, draw, kept=1)
