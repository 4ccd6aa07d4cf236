"""One run: starts all processes, submits jobs, causes faults, waits for recovery and checks."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from soak.callers import Callers, SubmitOutcome
from soak.deployment import Plan
from soak.evacuations import EVACUATION_FAULTS, check_evacuation
from soak.faults import CAPACITY_FAULTS, RESTART_FAULTS, SERIES_COUNT, run_series
from soak.hall_losses import HALL_LOSS_FAULTS
from soak.hostile_crowds import CROWD_FAULTS, check_memory
from soak.judge import (
    await_configuration,
    count_other_given_up_jobs,
    judge,
    settle,
    unexpected_errors,
)
from soak.odd_entries import ODD_ENTRY_FAULTS
from soak.overloads import OVERLOAD_FAULTS
from soak.persistent_callers import ConnectionStats, PersistentCaller
from soak.refused_starts import REFUSAL_FAULTS, check_refusal
from soak.signals import SIGNAL_SERIES
from soak.waiting_watch import WaitingWatch
from soak.world import World

START_LIMIT_S = 60.0
START_LIMIT_PER_HOST_S = 2.0
"""Longest time until all hosts are ready: in all, and more for each host. A host takes 2 s of a
core on an idle machine."""

PERSISTENT_CALLERS_PER_HOST = 3
MAX_PERSISTENT_CALLERS = 60
"""Numbers of callers with persistent connections, per host and in total."""

CALM_JOBS = 8
"""Number of jobs submitted after the last fault, all of which must be accepted and end."""

WATCH_INTERVAL_S = 2.0
"""Interval between polls for violations that the executors have found."""


@dataclass
class Outcome:
    """The outcome of a run.

    Attributes:
        plan: Size and seed of the run.
        violations: All violations.
        jobs: Number of submitted jobs.
        accepted: Number of accepted jobs.
        starts: Number of runs that executors started.
        crashing: Number of accepted jobs with a task that crashes its executors.
        given_up: Number of other jobs that were given up because executors crashed under them.
        counts: Number of checked numbers of waiting jobs, while jobs waited.
        questions: Number of responses on persistent connections.
        closed: Number of requests on a connection that was just being closed.
        settled_s: Time from the last fault until complete recovery.
        seconds: Duration of the whole run.
    """

    plan: Plan
    violations: list[str] = field(default_factory=list)
    jobs: int = 0
    accepted: int = 0
    starts: int = 0
    crashing: int = 0
    given_up: int = 0
    counts: int = 0
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
            f"given up, {self.counts} counts of waiting jobs, {self.questions} questions, "
            f"{self.closed} met a closing connection, "
            f"settled in {self.settled_s:.1f} s, {self.seconds:.0f} s in all"
        )


class Run:
    """Plays one run.

    Args:
        plan: Size and seed of the run.
        folder: Folder for settings and logs.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._started_at = time.monotonic()
        self._stats = ConnectionStats(0, 0, [])
        self._logged_violations = 0
        self._outcome = Outcome(plan)

    async def play(self) -> Outcome:
        """Play the run to its end and return the outcome."""
        self._folder.mkdir(parents=True, exist_ok=True)
        async with World(self._plan, self._folder) as world:
            await world.await_ready(START_LIMIT_S + START_LIMIT_PER_HOST_S * self._plan.hosts)
            random = Random(f"{self._plan.seed} callers")
            callers = Callers(random, world.callers_at, world.executors, world.session)
            watch = WaitingWatch(world, callers, self._log_fault)
            await self._cause_faults(world, callers, watch)
            await self._check_recovery(world, callers, watch)
        self._outcome.violations += unexpected_errors(self._folder)
        self._outcome.seconds = time.monotonic() - self._started_at
        return self._outcome

    async def _cause_faults(self, world: World, callers: Callers, watch: WaitingWatch) -> None:
        until = time.monotonic() + self._plan.seconds
        hosts = list(world.hosts.values())
        background = [
            asyncio.create_task(
                callers.send_jobs(lambda: self._plan.jobs_per_s * world.rate_factor)
            )
        ]
        crashing = callers.send_crashing_jobs(Random(f"{self._plan.seed} crashing"))
        background.append(asyncio.create_task(crashing))
        background.append(asyncio.create_task(self._watch(world)))
        background.append(asyncio.create_task(watch.run()))
        for number in range(min(PERSISTENT_CALLERS_PER_HOST * len(hosts), MAX_PERSISTENT_CALLERS)):
            host = hosts[number % len(hosts)]
            random = Random(f"{self._plan.seed} keeper {number}")
            caller = PersistentCaller(random, host, world, callers, self._stats)
            background.append(asyncio.create_task(caller.run()))
        for host in hosts[:MAX_PERSISTENT_CALLERS] if self._plan.signals else ():
            random = Random(f"{self._plan.seed} goes on {host.name}")
            caller = PersistentCaller(random, host, world, callers, self._stats, goes_on=True)
            background.append(asyncio.create_task(caller.run()))
        series = [run_series(world, n, until, self._log_fault) for n in range(SERIES_COUNT)]
        series.append(run_series(world, SERIES_COUNT, until, self._log_fault, CAPACITY_FAULTS))
        series.append(run_series(world, SERIES_COUNT + 1, until, self._log_fault, RESTART_FAULTS))
        if self._plan.evacuates:
            evacuations = run_series(
                world, SERIES_COUNT + 2, until, self._log_fault, EVACUATION_FAULTS
            )
            series.append(evacuations)
        if self._plan.loses_halls:
            losses = run_series(world, SERIES_COUNT + 3, until, self._log_fault, HALL_LOSS_FAULTS)
            series.append(losses)
        if self._plan.overloads:
            overloads = run_series(world, SERIES_COUNT + 4, until, self._log_fault, OVERLOAD_FAULTS)
            series.append(overloads)
        if self._plan.refuses_starts:
            refusals = run_series(world, SERIES_COUNT + 5, until, self._log_fault, REFUSAL_FAULTS)
            series.append(refusals)
        if self._plan.signals:
            for number, faults in enumerate(SIGNAL_SERIES, SERIES_COUNT + 6):
                series.append(run_series(world, number, until, self._log_fault, faults))
        if self._plan.odd_entries:
            number = SERIES_COUNT + 6 + len(SIGNAL_SERIES)
            odd = run_series(world, number, until, self._log_fault, ODD_ENTRY_FAULTS)
            series.append(odd)
        if self._plan.hostile_callers:
            number = SERIES_COUNT + 7 + len(SIGNAL_SERIES)
            crowds = run_series(world, number, until, self._log_fault, CROWD_FAULTS)
            series.append(crowds)
        try:
            await asyncio.gather(*series)
        finally:
            for task in background:
                task.cancel()
            results = await asyncio.gather(*background, return_exceptions=True)
        for result in results:
            if not isinstance(result, asyncio.CancelledError):
                raise RuntimeError(f"a background task of the soak ended: {result!r}")

    async def _watch(self, world: World) -> None:
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            for line in (await world.observed()).broken[self._logged_violations :]:
                self._logged_violations += 1
                self._log_fault(f"BROKEN {line}")

    async def _check_recovery(self, world: World, callers: Callers, watch: WaitingWatch) -> None:
        calm_from = time.monotonic()
        self._log_fault("calm begins")
        await world.clear_faults()
        outcome = self._outcome
        outcome.violations += await settle(world, callers)
        outcome.settled_s = time.monotonic() - calm_from
        for _ in range(CALM_JOBS):
            job = callers.draw_job(calm=True)
            await callers.submit(job, Random(job.id))
            if job.outcomes != [SubmitOutcome.ACCEPTED]:
                outcome.violations.append(f"UNSERVED {job.id} in calm times: {job.outcomes}")
        if self._plan.evacuates:
            outcome.violations += await check_evacuation(world, callers)
        if self._plan.refuses_starts:
            outcome.violations += await check_refusal(world, callers, watch)
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
        outcome.violations += world.violations + self._stats.violations + watch.violations
        outcome.violations += [
            f"ENDED {end}" for h in world.hosts.values() for end in h.unexpected_exits
        ]
        if self._plan.hostile_callers:
            outcome.violations += check_memory(list(world.hosts.values()), self._plan.memory_mb)
        outcome.counts = watch.checked
        outcome.jobs = len(callers.jobs)
        outcome.accepted = sum(1 for job in callers.jobs if job.accepted_at)
        outcome.crashing = sum(1 for job in callers.jobs if job.accepted_at and job.crash_after_s)
        outcome.given_up = count_other_given_up_jobs(callers, observed)
        outcome.starts = sum(map(len, observed.started_at.values()))
        outcome.questions, outcome.closed = self._stats.answered, self._stats.closed
        if not (outcome.accepted and outcome.starts and outcome.questions):
            outcome.violations.append("EMPTY nothing was served in the whole run")

    def _log_fault(self, text: str) -> None:
        with (self._folder / "faults.log").open("a") as log:
            log.write(f"{time.monotonic() - self._started_at:7.2f} {time.monotonic():.2f} {text}\n")
