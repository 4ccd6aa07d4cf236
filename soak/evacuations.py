"""Evacuations of halls: as a fault beside others, and checked in calm times."""

from __future__ import annotations

import asyncio
import time
from random import Random

from soak.callers import Callers, SubmitOutcome
from soak.faults import Fault
from soak.judge import settle
from soak.world import World

EVACUATION_BOUND_S = 5.0
"""The platform's limit on the time from the operator's record to the last start in the hall."""

MAX_EVACUATION_S = 8.0
"""Longest evacuation beside faults, as long as an owner is silent until another hall's host claims
its shard."""

CALM_JOBS = 4
"""Number of jobs submitted during an evacuation in calm times, and after it."""

EVACUATION_FAULTS: dict[str, Fault] = {}
"""Evacuations, in a separate series that only some runs have: those of all other runs stay the
same."""


def evacuation_fault(function: Fault) -> Fault:
    """Register an evacuation under its function's name."""
    EVACUATION_FAULTS[function.__name__] = function
    return function


async def _evacuate(world: World, halls: list[str], duration_s: float) -> None:
    for hall in halls:
        await world.evacuate(hall)
    await asyncio.sleep(duration_s)
    for hall in halls:
        await world.reopen(hall)


def _halls(world: World) -> list[str]:
    return [world.plan.hall(number) for number in range(world.plan.halls)]


@evacuation_fault
async def evacuate_a_hall(world: World, draw: Random) -> None:
    """Evacuate one hall."""
    await _evacuate(world, [draw.choice(_halls(world))], draw.uniform(0.5, MAX_EVACUATION_S))


@evacuation_fault
async def evacuate_in_turn(world: World, draw: Random) -> None:
    """Evacuate one hall after the other, without a pause."""
    for hall in draw.sample(_halls(world), world.plan.halls):
        await _evacuate(world, [hall], draw.uniform(0.5, MAX_EVACUATION_S / 2))


@evacuation_fault
async def evacuate_all(world: World, draw: Random) -> None:
    """Evacuate all halls at once."""
    await _evacuate(world, _halls(world), draw.uniform(0.5, MAX_EVACUATION_S / 2))


async def check_evacuation(world: World, callers: Callers) -> list[str]:
    """Evacuate a hall in calm times and return what breaks a promise.

    Nothing may start there after the platform's limit, jobs are served by the other halls, and all
    halls serve jobs after the evacuation. Batch jobs that have begun stay in an evacuated hall, so
    they end first.
    """
    violations = await settle(world, callers)
    hall = world.plan.hall(world.plan.seed % world.plan.halls)
    await world.evacuate(hall)
    await asyncio.sleep(EVACUATION_BOUND_S)
    closed_at = time.monotonic()
    violations += await _serve(world, callers, "during an evacuation")
    started_at = (await world.observed()).started_in_hall.get(hall, [])
    late = [at for at in started_at if at > closed_at]
    if late:
        violations.append(f"EVAC {len(late)} starts in {hall} after {EVACUATION_BOUND_S:g} s")
    await world.reopen(hall)
    return violations + await _serve(world, callers, "after an evacuation")


async def _serve(world: World, callers: Callers, when: str) -> list[str]:
    """Submit jobs, wait until all jobs are as they should be, and return what is not."""
    jobs = [callers.draw_job(calm=True) for _ in range(CALM_JOBS)]
    for job in jobs:
        await callers.submit(job, Random(job.id))
    violations = [
        f"UNSERVED {job.id} {when}: {job.outcomes}"
        for job in jobs
        if job.outcomes != [SubmitOutcome.ACCEPTED]
    ]
    return violations + await settle(world, callers)
