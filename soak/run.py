"""One run: start all, send jobs, cause faults, wait for calm, judge."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from soak.callers import Callers, Told
from soak.deployment import Plan
from soak.faults import RESTART_FAULTS, ROOM_FAULTS, SERIES, run_series
from soak.judge import await_configuration, crashes, given_up_beside, judge, settle
from soak.keepers import Keeper, Tally
from soak.world import World

START_LIMIT_S = 60.0
"""Longest time until all hosts are ready: 2 s each where the machine is free."""

KEEPERS_PER_HOST = 3
MAX_KEEPERS = 60
"""Callers that use their connection to its end."""

CALM_JOBS = 8
"""Jobs submitted after the last fault, which must be accepted and end."""

WATCH_S = 2.0
"""Pause between looks at what the executors judged."""


@dataclass
class Outcome:
    """What a run gave.

    Attributes:
        plan: Size and seed.
        violations: Broken promises, with the time since the start where it is known.
        jobs: Jobs submitted.
        accepted: Jobs accepted.
        starts: Runs that executors started.
        crashing: Accepted jobs of which a task crashes its executors.
        given_up: Other jobs that were given up, as executors had crashed under them, too.
        questions: Answers on connections that are used to their end.
        closed: Requests that met a connection that was just being closed.
        settled_s: Time from the last fault until all was served again.
        seconds: Time that the whole run took.
    """

    plan: Plan
    violations: list[str] = field(default_factory=list)
    jobs: int = 0
    accepted: int = 0
    starts: int = 0
    crashing: int = 0
    given_up: int = 0
    questions: int = 0
    closed: int = 0
    settled_s: float = 0.0
    seconds: float = 0.0

    def __str__(self) -> str:
        verdict = f"BROKEN {len(self.violations)}" if self.violations else "kept"
        return (
            f"seed {self.plan.seed}: {verdict}; {self.plan.hosts} hosts, "
            f"{self.plan.executors} executors, {self.jobs} jobs, {self.accepted} accepted, "
            f"{self.starts} starts, {self.crashing} that crash executors, {self.given_up} others "
            f"given up, {self.questions} questions, {self.closed} met a closing "
            f"connection, settled in {self.settled_s:.1f} s, {self.seconds:.0f} s in all"
        )


class Run:
    """A run.

    Args:
        plan: Size and seed.
        folder: Where settings and logs go.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._began = time.monotonic()
        self._tally = Tally(0, 0, [])
        self._seen = 0
        self._outcome = Outcome(plan)

    async def play(self) -> Outcome:
        """Play it to its end and return what it gave."""
        self._folder.mkdir(parents=True, exist_ok=True)
        async with World(self._plan, self._folder) as world:
            await world.await_ready(START_LIMIT_S)
            random = Random(f"{self._plan.seed} callers")
            callers = Callers(random, world.callers_at, world.executors, world.session)
            await self._disturb(world, callers)
            await self._calm_down(world, callers)
        self._outcome.violations += crashes(self._folder)
        self._outcome.seconds = time.monotonic() - self._began
        return self._outcome

    async def _disturb(self, world: World, callers: Callers) -> None:
        until = time.monotonic() + self._plan.seconds
        hosts = list(world.hosts.values())
        others = [asyncio.create_task(callers.send_jobs(self._plan.jobs_per_s))]
        crashing = callers.send_crashing_jobs(Random(f"{self._plan.seed} crashing"))
        others.append(asyncio.create_task(crashing))
        others.append(asyncio.create_task(self._watch(world)))
        for number in range(min(KEEPERS_PER_HOST * len(hosts), MAX_KEEPERS)):
            host = hosts[number % len(hosts)]
            random = Random(f"{self._plan.seed} keeper {number}")
            keeper = Keeper(random, host, world, callers, self._tally)
            others.append(asyncio.create_task(keeper.run()))
        series = [run_series(world, n, until, self._note) for n in range(SERIES)]
        series.append(run_series(world, SERIES, until, self._note, ROOM_FAULTS))
        series.append(run_series(world, SERIES + 1, until, self._note, RESTART_FAULTS))
        try:
            await asyncio.gather(*series)
        finally:
            for task in others:
                task.cancel()
            results = await asyncio.gather(*others, return_exceptions=True)
        for result in results:
            if not isinstance(result, asyncio.CancelledError):
                raise RuntimeError(f"a caller of the soak ended: {result!r}")

    async def _watch(self, world: World) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            for line in (await world.observed()).broken[self._seen :]:
                self._seen += 1
                self._note(f"BROKEN {line}")

    async def _calm_down(self, world: World, callers: Callers) -> None:
        calm_from = time.monotonic()
        self._note("calm begins")
        await world.settle_links()
        outcome = self._outcome
        outcome.violations += await settle(world, callers)
        outcome.settled_s = time.monotonic() - calm_from
        for _ in range(CALM_JOBS):
            job = callers.draw_job(calm=True)
            await callers.submit(job, Random(job.id))
            if job.told != [Told.ACCEPTED]:
                outcome.violations.append(f"UNSERVED {job.id} in calm times: {job.told}")
        await world.configure(extra_routes=1)
        outcome.violations += await await_configuration(world, callers)
        standing = [
            job
            for job in callers.jobs
            if job.accepted_at and job.standing and not job.cancelled_at and not job.crash_after_s
        ]
        await asyncio.gather(*(callers.cancel(job, Random(job.id)) for job in standing))
        outcome.violations += await settle(world, callers)
        observed = await world.observed()
        outcome.violations += judge(callers, observed, calm_from)
        outcome.violations += world.violations + self._tally.broken
        outcome.violations += [f"ENDED {end}" for h in world.hosts.values() for end in h.own_ends]
        outcome.jobs = len(callers.jobs)
        outcome.accepted = sum(1 for job in callers.jobs if job.accepted_at)
        outcome.crashing = sum(1 for job in callers.jobs if job.accepted_at and job.crash_after_s)
        outcome.given_up = given_up_beside(callers, observed)
        outcome.starts = sum(map(len, observed.started_at.values()))
        outcome.questions, outcome.closed = self._tally.answered, self._tally.closed
        if not (outcome.accepted and outcome.starts and outcome.questions):
            outcome.violations.append("EMPTY nothing was served in the whole run")

    def _note(self, text: str) -> None:
        with (self._folder / "faults.log").open("a") as log:
            log.write(f"{time.monotonic() - self._began:7.2f} {time.monotonic():.2f} {text}\n")
