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

JOIN_INTERVAL_S = 3.5, 5.0
"""Range of times between starts of new executors: tasks that the first ones have no room for would
be beside room all the time if others started before any hall can use the first ones."""

JOINS = 4
"""Number of times at which new executors start."""

MAX_JOINING = 3
"""Maximum number of executors that start at one time."""

SLICE_S, TAKEN = 0.1, 0.46
"""Period and share in which hosts that are short of processor time stand still, see ``starve``."""

MAX_LATE_ROOM_S = 36.0
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
    world = day.world
    names = [name for name, _ in world.host_names()]
    slow = day.random.sample(names, day.random.choice((0, 1, len(names))))
    async with asyncio.TaskGroup() as group:
        short = starve(world, slow, MAX_LATE_ROOM_S, slice_s=SLICE_S, taken=TAKEN)
        group.create_task(short)
        with day.checks.disruptions.lasting():
            await _leave_until_tasks_wait(day, excused)
        await day.last(*FULL_S)
        for _ in range(JOINS):
            for _ in range(day.random.randint(1, MAX_JOINING)):
                start_executor(world, day.random.choice(world.halls))
            await day.last(*JOIN_INTERVAL_S)


async def _leave_until_tasks_wait(day: StandingFaultsDay, excused: Callable[[], Set[str]]) -> None:
    """Let executors leave for good until standing tasks wait."""
    world = day.world
    until = world_time() + MAX_DEPARTURES_S
    least = MIN_EXECUTORS_SHARE * len(world.halls) * world.executors_per_hall + DEPARTURES
    while world_time() < until and _waiting(world, excused()) < MIN_WAITING:
        alive = [e for e in world.executors.values() if e.alive]
        if len(alive) < least:
            break
        await asyncio.gather(*(depart(day, e) for e in day.random.sample(alive, DEPARTURES)))


def _waiting(world: HallWorld, excused: Set[str]) -> int:
    """Return the number of standing tasks that are away and have no room anywhere."""
    running = {t for e in world.executors.values() if e.alive for t in e.running}
    usages = usages_of(world)
    away = [job for task, job in standing_tasks(world, excused).items() if task not in running]
    return sum(room_for(usages, *job) < MIN_FREE_SLOTS for job in away)


assert MAX_DEPARTURES_S + FULL_S[1] + JOINS * JOIN_INTERVAL_S[1] <= MAX_LATE_ROOM_S
