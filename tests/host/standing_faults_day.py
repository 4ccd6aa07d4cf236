"""A random scenario of overlapping series of faults, after which standing tasks must run again."""

from __future__ import annotations

import asyncio
from collections.abc import Set
from typing import Self

from linkspan.shard.messages import TaskName
from tests.host.platform_day import MAX_LATE_ROOM_S, let_room_come_late, put_on_platform
from tests.host.platform_faults import PLATFORM_FAULTS, join
from tests.host.restarting_troubles import MIN_CRASHES_TO_FAIL
from tests.host.standing_day import CHECK_INTERVAL_S, MAX_IDLE_S, SETTLE_S, StandingDay
from tests.host.standing_faults import STANDING_FAULTS
from tests.virtual_time import world_time

SERIES_COUNT = 4
"""Number of series of faults, which overlap."""

MAX_FAULTS_PER_SERIES = 4
"""Maximum number of faults in one series, one after the other."""

LAST_SERIES_S = 8.0
"""Latest start of a series, after the settling time."""

LAST_FAULT_S = 13.0
"""Latest start of a fault, after the settling time."""

MAX_FAULT_S = 7.0
"""Longest duration of a fault."""

AFTER_FAULTS_S = 13.0
"""Time at the end without faults."""

CALM_S = SETTLE_S / 2 + LAST_FAULT_S + MAX_FAULT_S + AFTER_FAULTS_S
"""Time from the end of the traffic to the end."""

ALL_FAULTS = STANDING_FAULTS | PLATFORM_FAULTS

SOME_COUNTS = 1, 1, 2, 4
"""Numbers of executors that one fault affects."""


class StandingFaultsDay(StandingDay):
    """A scenario of overlapping series of faults.

    A job may be given up if executors crashed under one of its tasks often enough; its other tasks
    need not run then.

    Args:
        seed: Seed of all random choices.
        kinds: Names of the kinds of faults to inject; by default all.
    """

    def __init__(self, seed: int, kinds: tuple[str, ...] = ()) -> None:
        super().__init__(seed, calm_s=CALM_S)
        self._kinds = kinds or tuple(sorted(STANDING_FAULTS))
        self._draws_all_kinds = not kinds
        self._is_on_platform = False
        self._given_up: set[str] = set()
        self._lines_read = 0
        self.world.resets = self.random.random() < 0.5

    def on_platform(self) -> Self:
        """Put the scenario, before it begins, into a world of the platform's kind.

        The platform's faults are drawn, too, unless the kinds are given, and in the end executors
        leave and room comes late.
        """
        put_on_platform(self.world)
        self._is_on_platform = True
        self._calm_s += MAX_LATE_ROOM_S
        if self._draws_all_kinds:
            self._kinds = tuple(sorted(ALL_FAULTS))
        return self

    def some_addresses(self) -> list[str]:
        """Return the addresses of one, two or four running executors."""
        alive = sorted(a for a, e in self.world.executors.items() if e.alive)
        return self.random.sample(alive, min(self.random.choice(SOME_COUNTS), len(alive)))

    def some_owner(self) -> str | None:
        """Return the running owner of a random hall, or ``None`` if it has none."""
        return self.world.owner(self.random.randrange(len(self.world.halls)))

    async def _crash_executors(self) -> None:
        await asyncio.sleep(SETTLE_S / 2)
        loop = asyncio.get_running_loop()
        last = loop.time() + LAST_FAULT_S
        async with asyncio.TaskGroup() as group:
            for _ in range(SERIES_COUNT):
                group.create_task(self._series(self.random.uniform(0.0, LAST_SERIES_S), last))
        self._checks_from = loop.time()
        if self._is_on_platform:
            await let_room_come_late(self, self._excused)

    async def _series(self, delay_s: float, last: float) -> None:
        """Inject some faults of one kind, one after the other."""
        loop = asyncio.get_running_loop()
        kind = self.random.choice(self._kinds)
        count = self.random.randint(1, MAX_FAULTS_PER_SERIES)
        await asyncio.sleep(delay_s)
        for _ in range(count):
            if loop.time() > last:
                return
            self.fault_log.append(f"{loop.time():.2f} {kind}")
            await self._inject(kind)

    async def _inject(self, kind: str) -> None:
        """Inject one fault, and return after its end; a new executor disturbs nothing."""
        if kind == join.__name__:
            await join(self)
            return
        with self.checks.disruptions.lasting():
            await ALL_FAULTS[kind](self)

    def _excused(self) -> Set[str]:
        self._read_give_ups()
        return self._given_up

    def _read_give_ups(self) -> None:
        """Record the jobs that were given up, and a violation where too few executors crashed."""
        lines = self.world.log.lines
        for _, event, fields in lines[self._lines_read :]:
            if event != "TASK_GIVEN_UP":
                continue
            task = TaskName(fields["job"], *map(int, fields["task"].split(".")))
            crashes = self.world.crashing.crashes_during_run[task]
            if crashes >= MIN_CRASHES_TO_FAIL:
                self._given_up.add(task.job_id)
                continue
            self.world.violations.append(
                f"{world_time():.2f} LOST {task} is given up after {crashes} crashes under it"
            )
        self._lines_read = len(lines)


assert MAX_IDLE_S + 2 * CHECK_INTERVAL_S < AFTER_FAULTS_S
