"""A random scenario in halls nearly full of standing tasks, which a monitor checks."""

from __future__ import annotations

import asyncio
from collections.abc import Set
from contextlib import suppress

from linkspan.jobs.spec import JobSpec
from tests.hall_world import HallWorld
from tests.host.misplacing_day import MisplacingDay
from tests.host.overlapping_day import CALM_S
from tests.host.standing_checks import StandingChecks
from tests.host.standing_judge import StandingJudge
from tests.job_builders import step

STANDING_SHARE = 0.3
"""Share of the jobs that have standing tasks, up to ``MAX_STANDING_JOBS``."""

MAX_STANDING_JOBS = 9
"""Maximum number of jobs with standing tasks: with these sizes they take about nine tenths of the
cores."""

CRASH_COUNT = 5
"""Number of executors that crash one after the other after the random faults."""

REPLACEMENT_DELAY_S = 2.5
"""Time until an executor replaces a crashed one; tasks are delegated before that."""

CHECK_INTERVAL_S = 0.5
"""Interval between checks of the running tasks."""

SETTLE_S = 8.0
"""Time after the random faults in which hosts may still find owners and receive reports."""

MAX_IDLE_S = 8.0
"""Longest time for which a task may not run although there is capacity: it may be delegated to two
other halls in vain first, each of which keeps it for two seconds, and a takeover may be in
progress."""


class StandingDay(MisplacingDay):
    """A scenario in which every task of an accepted standing job must run, also if it never ran.

    Attributes:
        checks: Checks of standing tasks that hold at all times.

    Args:
        seed: Seed of all random choices.
        calm_s: Time after the traffic until the end, in seconds.
    """

    misplaced_share = 0.6

    def __init__(self, seed: int, *, calm_s: float = CALM_S) -> None:
        super().__init__(seed, calm_s=calm_s)
        self._checks_from = float("inf")
        self._judge = StandingJudge(MAX_IDLE_S)
        self.checks = StandingChecks(self.world, self._excused)

    async def play(self) -> HallWorld:
        """Run the scenario and return its world, with the violations it found."""
        monitor = asyncio.create_task(self._monitor())
        try:
            return await super().play()
        finally:
            monitor.cancel()
            with suppress(asyncio.CancelledError):
                await monitor

    def _job(self) -> JobSpec:
        random = self.random
        if self._standing >= MAX_STANDING_JOBS or random.random() >= STANDING_SHARE:
            return super()._job()
        self._standing += 1
        tasks = step(
            random.randint(3, 6),
            cpu=random.choice((800, 1_500, 2_500)),
            standing=True,
            max_per_executor=random.choice((1, 1, 2)),
        )
        return self.world.new_job(tasks)

    def _start_missing(self) -> None:
        super()._start_missing()
        self._crashes = asyncio.create_task(self._crash_executors())

    async def _cause(self, name: str) -> None:
        with self.checks.disruptions.lasting():
            await super()._cause(name)

    async def _crash_executors(self) -> None:
        await asyncio.sleep(SETTLE_S / 2)
        for _ in range(CRASH_COUNT):
            alive = [a for a, e in self.world.executors.items() if e.alive]
            address = self.random.choice(sorted(alive))
            hall = self.world.executors[address].record.hall
            self.world.crash_executor(address, back=False)
            await asyncio.sleep(REPLACEMENT_DELAY_S)
            self.world.add_executor(hall, address)
        self._checks_from = asyncio.get_running_loop().time()

    async def _monitor(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            if now >= self._checks_from:
                self._check_standing(now)

    def _check_standing(self, now: float) -> None:
        self.world.violations += self._judge.check(self.world, now, self._excused())

    def _excused(self) -> Set[str]:
        """Return the ids of accepted jobs whose tasks need not run."""
        return frozenset()


assert SETTLE_S / 2 + CRASH_COUNT * REPLACEMENT_DELAY_S + MAX_IDLE_S < CALM_S - CHECK_INTERVAL_S
