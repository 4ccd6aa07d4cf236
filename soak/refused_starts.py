"""Executors that refuse starts, or leave them without a response, for some seconds."""

from __future__ import annotations

import asyncio
from random import Random

from soak.faults import Fault
from soak.world import World

MIN_REFUSAL_S = 4.0
MAX_REFUSAL_S = 10.0
"""Longest duration of a refusal: a job that is accepted early in it waits for longer than the time
from which hosts must count it."""

REFUSAL_FAULTS: dict[str, Fault] = {}
"""Refusals, in a separate series that only some runs have: those of all other runs stay the
same."""


def refusal(function: Fault) -> Fault:
    """Register a kind of refusal under its function's name."""
    REFUSAL_FAULTS[function.__name__] = function
    return function


async def _refuse(world: World, draw: Random, *, answers: bool) -> None:
    """Let all executors, or half of them, carry out no start for some seconds."""
    addresses = world.executor_addresses
    chosen = draw.sample(addresses, draw.choice(((len(addresses) + 1) // 2, len(addresses))))
    for address in chosen:
        await world.executors.send_command("refuse", {"address": address, "answers": answers})
    await asyncio.sleep(draw.uniform(MIN_REFUSAL_S, MAX_REFUSAL_S))
    for address in chosen:
        await world.executors.send_command("refuse", {"address": address})


@refusal
async def refuse_starts(world: World, draw: Random) -> None:
    """Let executors answer 503 to each start, and carry out none."""
    await _refuse(world, draw, answers=True)


@refusal
async def ignore_starts(world: World, draw: Random) -> None:
    """Let executors answer no start, and carry out none."""
    await _refuse(world, draw, answers=False)
