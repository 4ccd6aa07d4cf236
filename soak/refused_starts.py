"""Executors that refuse starts, or leave them without a response, for some seconds."""

from __future__ import annotations

import asyncio
from random import Random

from soak.callers import Callers
from soak.faults import Fault
from soak.judge import settle
from soak.waiting_watch import MIN_AGE_S, WaitingWatch
from soak.world import World

MIN_REFUSAL_S = 4.0
MAX_REFUSAL_S = 10.0
"""Longest duration of a refusal: a job that is accepted early in it waits for longer than the time
from which hosts must count it."""

CALM_JOBS = 8
"""Number of jobs submitted while executors refuse all starts in calm times."""

CALM_MARGIN_S = 0.5
"""Time from which hosts must count these jobs until they are asked."""

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
    await _set_refusing(world, chosen, answers=answers)
    await asyncio.sleep(draw.uniform(MIN_REFUSAL_S, MAX_REFUSAL_S))
    await _end_refusal(world, chosen)


async def _set_refusing(world: World, addresses: list[str], *, answers: bool) -> None:
    for address in addresses:
        await world.executors.send_command("refuse", {"address": address, "answers": answers})


async def _end_refusal(world: World, addresses: list[str]) -> None:
    for address in addresses:
        await world.executors.send_command("refuse", {"address": address})


@refusal
async def refuse_starts(world: World, draw: Random) -> None:
    """Let executors answer 503 to each start, and carry out none."""
    await _refuse(world, draw, answers=True)


@refusal
async def ignore_starts(world: World, draw: Random) -> None:
    """Let executors answer no start, and carry out none."""
    await _refuse(world, draw, answers=False)


async def check_refusal(world: World, callers: Callers, watch: WaitingWatch) -> list[str]:
    """Let all executors refuse starts in calm times and return what breaks a promise.

    Every host must count the jobs that are submitted meanwhile, and all of them end after it.
    """
    addresses = world.executor_addresses
    await _set_refusing(world, addresses, answers=world.plan.seed % 2 == 0)
    for _ in range(CALM_JOBS):
        job = callers.draw_job(calm=True)
        await callers.submit(job, Random(job.id))
    await asyncio.sleep(MIN_AGE_S + CALM_MARGIN_S)
    await watch.check_counts(sorted(world.hosts))
    await _end_refusal(world, addresses)
    return await settle(world, callers)
