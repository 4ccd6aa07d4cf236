"""What a day of standing work on the platform adds: its kind of world, and room that comes late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Set
from typing import TYPE_CHECKING

from tests.discovery import Discovery
from tests.host.platform_faults import depart, start_executor, starve
from tests.host.standing_room import MIN_FREE_SLOTS, room_for, standing_tasks, usages_of
from tests.virtual_time import world_time

if TYPE_CHECKING:
    from tests.hall_world import HallWorld
    from tests.host.standing_faults_day import StandingFaultsDay

BEAT_S, LAG_S = 1.1, 0.8
"""Times of the platform's discovery, see ``Discovery``."""

MAX_DEPARTURES_S = 8.0
"""Longest time for which executors leave until standing tasks wait for room."""

DEPARTURES = 3
"""Number of executors that leave at the same time."""

MIN_EXECUTORS_SHARE = 0.25
"""Share of the first executors' number that stays."""

MIN_WAITING = 4
"""Number of waiting tasks from which on no more executors leave."""

FULL_S = 4.0, 8.0
"""Range of times that such tasks then wait before the first new executor starts."""

JOIN_INTERVAL_S = 0.2, 1.8
"""Range of times between the starts of new executors."""

SLICE_S, TAKEN = 0.1, 0.46
"""Period and share in which hosts that are short of processor time stand still, see ``starve``."""

MAX_LATE_ROOM_S = 28.0
"""Longest time of all of this."""


def put_on_platform(world: HallWorld) -> None:
    """Make a world that has not begun one of the platform's kind."""
    world.plain_ids = True
    world.discovery = Discovery(BEAT_S, LAG_S)


async def let_room_come_late(day: StandingFaultsDay, excused: Callable[[], Set[str]]) -> None:
    """Let executors leave until standing tasks wait; then new ones start, in whichever halls.

    Some hosts may be short of processor time meanwhile. Only the departures count as a fault.

    Args:
        day: The scenario.
        excused: Returns the ids of jobs whose tasks need not run.
    """
    until = world_time() + MAX_LATE_ROOM_S
    names = [name for name, _ in day.world.host_names()]
    slow = day.random.sample(names, day.random.choice((0, 1, len(names))))
    async with asyncio.TaskGroup() as group:
        short = starve(day.world, slow, MAX_LATE_ROOM_S, slice_s=SLICE_S, taken=TAKEN)
        group.create_task(short)
        with day.checks.disruptions.lasting():
            departed = await _leave_until_tasks_wait(day, excused)
        await day.last(*FULL_S)
        for _ in range(departed):
            if world_time() < until:
                start_executor(day.world, day.random.choice(day.world.halls))
                await day.last(*JOIN_INTERVAL_S)


async def _leave_until_tasks_wait(day: StandingFaultsDay, excused: Callable[[], Set[str]]) -> int:
    """Let executors leave for good until standing tasks wait; return how many left."""
    world = day.world
    until = world_time() + MAX_DEPARTURES_S
    before = len(world.departed)
    least = MIN_EXECUTORS_SHARE * len(world.halls) * world.executors_per_hall + DEPARTURES
    while world_time() < until and _waiting(world, excused()) < MIN_WAITING:
        alive = [e for e in world.executors.values() if e.alive]
        if len(alive) < least:
            break
        await asyncio.gather(*(depart(day, e) for e in day.random.sample(alive, DEPARTURES)))
    return len(world.departed) - before


def _waiting(world: HallWorld, excused: Set[str]) -> int:
    """Return the number of standing tasks that are away and have no room anywhere."""
    running = {t for e in world.executors.values() if e.alive for t in e.running}
    usages = usages_of(world)
    away = [job for task, job in standing_tasks(world, excused).items() if task not in running]
    return sum(room_for(usages, *job) < MIN_FREE_SLOTS for job in away)
