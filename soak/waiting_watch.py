"""Checks, beside the faults, the numbers of waiting jobs that hosts give."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Collection
from random import Random

from tests.job_builders import QUEUE

from soak.answers import read_waiting
from soak.callers import MAX_VISIBILITY_DELAY_S, Callers, Job
from soak.world import World

MAX_COUNT_AGE_S = 2.0
"""Permitted age of a number of waiting jobs."""

MIN_AGE_S = MAX_VISIBILITY_DELAY_S + MAX_COUNT_AGE_S
"""Time from a job's acceptance from which it must be counted."""

MIN_COUNTED_SHARE = 0.5
"""Minimum fraction of the waiting jobs that a host must count."""

INTERVAL_S = 0.5
"""Interval between rounds of requests."""

MAX_HOSTS_PER_ROUND = 8


class WaitingWatch:
    """Asks hosts for the number of waiting jobs, and for jobs that nobody submitted.

    A host that cannot know the number must not give one, so each number that a host gives is
    checked, whatever faults there are.

    Args:
        world: World whose hosts are asked and whose executors tell which jobs have begun.
        callers: Callers whose jobs are counted.
        log: Logs a violation with its time.
    """

    def __init__(self, world: World, callers: Callers, log: Callable[[str], None]) -> None:
        self._world = world
        self._callers = callers
        self._log = log
        self._random = Random(f"{world.plan.seed} waiting")
        self._begun: set[str] = set()
        self.checked = 0
        self.violations: list[str] = []

    async def run(self) -> None:
        """Ask hosts until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            names = sorted(self._world.hosts)
            names = self._random.sample(names, min(MAX_HOSTS_PER_ROUND, len(names)))
            await self.check_counts(names)
            await self._check_unknown_job(names[0])

    async def check_counts(self, hosts: list[str]) -> None:
        """Ask hosts for the number of waiting jobs and check what they answer."""
        await asyncio.gather(*map(self._check_count, hosts))

    async def _check_count(self, host: str) -> None:
        asked_at = time.monotonic()
        status, body = await self._callers.call("GET", host, "")
        if status != 200:
            return
        counted = read_waiting(body)
        if counted is None:
            self._add(f"MIXED {host} gives no number of waiting jobs: {body[:100]!r}")
            return
        old = [job for job in self._callers.jobs if job.id not in self._begun]
        old = [job for job in old if must_wait(job, asked_at)]
        self._begun.update(await self._ids_begun(old))
        # Jobs that began during the request may or may not be counted.
        waiting = [job.id for job in old if job.id not in self._begun]
        self.checked += bool(waiting)
        if is_too_few(counted, waiting):
            self._add(
                f"MIXED {host} counts {counted} waiting jobs {time.monotonic():.2f}; "
                f"{len(waiting)} that were accepted {MIN_AGE_S:g} s before have not begun: "
                f"{', '.join(waiting[:3])}"
            )

    async def _ids_begun(self, jobs: list[Job]) -> list[str]:
        if not jobs:
            return []
        ids = [job.id for job in jobs]
        begun: list[str] = await self._world.executors.send_command("begun", ids)
        return begun

    async def _check_unknown_job(self, host: str) -> None:
        job_id = f"{self._random.getrandbits(64):016x}"
        status, _ = await self._callers.call("GET", host, job_id)
        if status == 200:
            self._add(f"MIXED {host} shows {job_id}, which nobody submitted, in {QUEUE.prefix}")

    def _add(self, line: str) -> None:
        self.violations.append(line)
        self._log(f"BROKEN {line}")


def must_wait(job: Job, asked_at: float) -> bool:
    """Return whether a job must be counted at a steady time, unless one of its tasks has begun."""
    if job.accepted_at is None or job.cancel_requested_at is not None:
        return False
    return job.accepted_at < asked_at - MIN_AGE_S


def is_too_few(counted: int, waiting: Collection[str]) -> bool:
    """Return whether a host counts too few of the waiting jobs."""
    return counted < MIN_COUNTED_SHARE * len(waiting)
