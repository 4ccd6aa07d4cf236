"""Hard load beside the faults: bursts of submissions, and executors that turn slow."""

from __future__ import annotations

import asyncio
from random import Random

from soak.faults import Fault
from soak.world import World

MIN_OVERLOAD_S = 2.0
MAX_OVERLOAD_S = 6.0
"""Longest duration of a burst or of a slow stretch: longer than an owner takes to find it."""

BURST_FACTORS = (2.6, 8.0)
"""Multiples of the usual rate of submissions: more than fits for seconds, and a flood."""

SLOWDOWNS = (4.0, 8.0)
"""Factors by which runs that start on a slow executor take longer."""

OVERLOAD_FAULTS: dict[str, Fault] = {}
"""Hard load, in a separate series that only some runs have: those of all other runs stay the
same."""


def overload(function: Fault) -> Fault:
    """Register a kind of hard load under its function's name."""
    OVERLOAD_FAULTS[function.__name__] = function
    return function


@overload
async def burst(world: World, draw: Random) -> None:
    """Submit jobs at a multiple of the usual rate for some seconds."""
    world.rate_factor = draw.choice(BURST_FACTORS)
    try:
        await asyncio.sleep(draw.uniform(MIN_OVERLOAD_S, MAX_OVERLOAD_S))
    finally:
        world.rate_factor = 1.0


@overload
async def slow_executors(world: World, draw: Random) -> None:
    """Slow one executor, or half of all, down for some seconds."""
    addresses = world.executor_addresses
    slow = draw.sample(addresses, draw.choice((1, (len(addresses) + 1) // 2)))
    slowdown = draw.choice(SLOWDOWNS)
    await world.executors.send_command("world", {"slowdowns": dict.fromkeys(slow, slowdown)})
    await asyncio.sleep(draw.uniform(MIN_OVERLOAD_S, MAX_OVERLOAD_S))
    await world.executors.send_command("world", {"slowdowns": {}})
