"""Callers, which submit, resubmit, query and cancel jobs and record the responses."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

import aiohttp
from tests.job_builders import QUEUE, job_body, step

from linkspan.jobs.spec import JobSpec
from linkspan.platform.executors import task_to_wire
from linkspan.platform.jobs import TIMEOUT_HEADER
from linkspan.shard.messages import TaskName
from soak.answers import read_state
from soak.processes import StandIn

CALLER_TIMEOUT_S = 3.0
"""Time for which callers wait for a response, the same as that of the users' callers."""

MAX_ATTEMPTS = 5
"""Maximum number of times that a caller sends a request, the same as that of the users' callers."""

MAX_VISIBILITY_DELAY_S = 3.0
"""Time within which every host must know an accepted job, which is the users' limit."""

STANDING_SHARE = 0.08
CANCELLED_SHARE = 0.2
RESUBMITTED_SHARE = 0.25
"""Fractions of standing, cancelled and resubmitted jobs. Each kind occurs several times in a run of
20 s at 4 jobs per second, and standing jobs leave most of the capacity to others."""

CRASH_AFTER_S = (0.01, 0.4, 3.0)
"""Times after the start of a task at which it crashes its executor: immediately, as users have
observed; within the duration of short tasks; and after that of most tasks."""

MAX_CRASHING_JOB_INTERVAL_S = 5.0
"""Longest time between jobs with a task that crashes its executors. Few of them exist at a time,
and tasks of other jobs run next to each of them."""

PAYLOAD = "payload {}"


class SubmitOutcome(Enum):
    """What a caller may conclude from one attempt to submit a job."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    UNSENT = "unsent"


@dataclass
class Job:
    """A job and what its caller knows about it.

    Attributes:
        spec: The job's specification.
        outcomes: Outcome of each attempt to submit the job.
        accepted_at: Steady time of the first acceptance.
        cancel_requested_at: Steady time of the first request to cancel the job.
        cancelled_at: Steady time at which the cancellation was acknowledged.
        succeeded_at: Steady time at which the job was first reported as succeeded.
        crash_after_s: Seconds after the start of the first task at which it crashes its executor.
        last_state: State that was reported last.
    """

    spec: JobSpec
    outcomes: list[SubmitOutcome] = field(default_factory=list)
    accepted_at: float | None = None
    cancel_requested_at: float | None = None
    cancelled_at: float | None = None
    succeeded_at: float | None = None
    crash_after_s: float | None = None
    last_state: str = ""

    @property
    def id(self) -> str:
        """The job's id."""
        return self.spec.job_id

    @property
    def standing(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return self.spec.steps[0].standing

    @property
    def was_never_accepted(self) -> bool:
        """Whether every submission that may have reached a host was refused."""
        return not set(self.outcomes) & {SubmitOutcome.ACCEPTED, SubmitOutcome.UNKNOWN}

    @property
    def tasks(self) -> list[str]:
        """Names of the job's tasks, in the format that executors use."""
        return [
            task_to_wire(TaskName(self.id, 0, number, index))
            for number, spec_step in enumerate(self.spec.steps)
            for index in range(spec_step.count)
        ]


class Callers:
    """All callers of a run.

    Args:
        random: Source of jobs and of their callers' actions.
        hosts: Address for callers of each host, by name.
        executors: Stand-in that every job is registered with before its submission.
        session: Client session, which keeps its connections open.
    """

    def __init__(
        self,
        random: Random,
        hosts: dict[str, str],
        executors: StandIn,
        session: aiohttp.ClientSession,
    ) -> None:
        self._random = random
        self._hosts = hosts
        self._executors = executors
        self._session = session
        self.jobs: list[Job] = []
        self.violations: list[str] = []

    async def send_jobs(self, per_s: Callable[[], float]) -> None:
        """Submit jobs until cancelled, each by a separate caller.

        Args:
            per_s: Returns the present rate, in jobs per second.
        """
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._run_caller(self.draw_job()))
                await asyncio.sleep(self._random.expovariate(per_s()))

    async def send_crashing_jobs(self, draw: Random) -> None:
        """Submit jobs whose first task crashes its executors, until cancelled."""
        while True:
            await asyncio.sleep(draw.uniform(0.0, MAX_CRASHING_JOB_INTERVAL_S))
            kind = step(draw.randint(1, 2), cpu=500, estimate_s=60.0, standing=draw.random() < 0.5)
            payload = PAYLOAD.format(f"crashing {len(self.jobs)}")
            spec = JobSpec(f"{draw.getrandbits(64):016x}", QUEUE.name, payload, (kind,))
            job = Job(spec, crash_after_s=draw.choice(CRASH_AFTER_S))
            self.jobs.append(job)
            await self.submit(job, draw)

    def draw_job(self, *, calm: bool = False) -> Job:
        """Return a new job; with ``calm``, one that ends soon."""
        draw = self._random
        if not calm and draw.random() < STANDING_SHARE:
            steps = [step(draw.randint(1, 3), cpu=500, estimate_s=0.5, standing=True)]
        else:
            counts = [draw.randint(1, 4) for _ in range(draw.randint(1, 2))]
            steps = [
                step(
                    count,
                    cpu=draw.choice((500, 1000, 2000)),
                    estimate_s=draw.uniform(0.2, 2.0),
                    depends_on=(number - 1,) if number else (),
                )
                for number, count in enumerate(counts)
            ]
        payload = PAYLOAD.format(len(self.jobs))
        job = Job(JobSpec(f"{draw.getrandbits(64):016x}", QUEUE.name, payload, tuple(steps)))
        self.jobs.append(job)
        return job

    async def _run_caller(self, job: Job) -> None:
        draw = Random(job.id)
        await self.submit(job, draw)
        if job.accepted_at is None:
            return
        if draw.random() < RESUBMITTED_SHARE:
            await asyncio.sleep(draw.uniform(0.2, 5.0))
            await self._attempt(job, self._host(draw))
        await asyncio.sleep(draw.uniform(0.0, 4.0))
        await self.ask(job, self._host(draw))
        if draw.random() < (0.5 if job.standing else CANCELLED_SHARE):
            await self.cancel(job, draw)
            return
        await asyncio.sleep(draw.uniform(2.0, 6.0))
        await self.ask(job, self._host(draw))

    async def submit(self, job: Job, draw: Random) -> None:
        """Submit a job as the users' callers do, with retries at other hosts."""
        registration: dict[str, object] = {"id": job.id, "body": job_body(job.spec).decode()}
        if job.crash_after_s is not None:
            registration["crash_after_s"] = job.crash_after_s
        await self._executors.send_command("job", registration)
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._attempt(job, self._host(draw))
            if outcome is SubmitOutcome.ACCEPTED:
                return
            if outcome is SubmitOutcome.REFUSED and draw.random() < 0.3:
                return
            await asyncio.sleep(draw.uniform(0.05, 1.0))

    async def _attempt(self, job: Job, host: str) -> SubmitOutcome:
        # The caller may be cancelled during the call, which leaves the outcome unknown.
        job.outcomes.append(SubmitOutcome.UNKNOWN)
        status, _ = await self.call("POST", host, job.id, data=job_body(job.spec))
        if status == 0:
            outcome = SubmitOutcome.UNSENT
        elif status == 200:
            outcome = SubmitOutcome.ACCEPTED
            job.accepted_at = job.accepted_at or time.monotonic()
        elif status in (404, 429, 503):
            outcome = SubmitOutcome.REFUSED
        else:
            outcome = SubmitOutcome.UNKNOWN
        job.outcomes[-1] = outcome
        return outcome

    async def ask(self, job: Job, host: str) -> str | None:
        """Query a job's state and return it, or ``None`` without a valid response."""
        requested_at = time.monotonic()
        status, body = await self.call("GET", host, job.id)
        self._check_not_lost(job, host, "GET", status, requested_at)
        if status != 200:
            return None
        return self.note_state(job, host, body)

    def note_state(self, job: Job, host: str, body: bytes) -> str | None:
        """Record the state in a response and return it; a state must be readable."""
        state = read_state(body)
        if state is None:
            self.violations.append(f"MIXED {job.id}: {host} shows no state: {body[:100]!r}")
            return None
        job.last_state = state
        if state == "succeeded" and job.succeeded_at is None:
            job.succeeded_at = time.monotonic()
        return state

    async def cancel(self, job: Job, draw: Random) -> None:
        """Cancel a job, with retries at other hosts until the cancellation is acknowledged."""
        job.cancel_requested_at = time.monotonic()
        for _ in range(MAX_ATTEMPTS):
            host = self._host(draw)
            requested_at = time.monotonic()
            status, _ = await self.call("DELETE", host, job.id)
            self._check_not_lost(job, host, "DELETE", status, requested_at)
            if status == 200:
                job.cancelled_at = time.monotonic()
                return
            await asyncio.sleep(draw.uniform(0.1, 1.0))

    def _check_not_lost(
        self, job: Job, host: str, method: str, status: int, requested_at: float
    ) -> None:
        if (
            status == 410
            and job.accepted_at
            and requested_at > job.accepted_at + MAX_VISIBILITY_DELAY_S
        ):
            since = requested_at - job.accepted_at
            line = f"LOST {job.id}: {method} at {host} got 410 {since:.1f} s after its acceptance"
            self.violations.append(line)

    async def call(
        self, method: str, host: str, path: str, *, prefix: str = QUEUE.prefix, **body: Any
    ) -> tuple[int, bytes]:
        """Call a host and return the status and body of its response.

        The status is 0 if nothing was sent and -1 without a complete response.
        """
        headers = {"Host": QUEUE.host, TIMEOUT_HEADER: str(int(CALLER_TIMEOUT_S * 1000))}
        url = f"http://{self._hosts[host]}{prefix}{path}"
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S + 0.2):
                async with self._session.request(method, url, headers=headers, **body) as response:
                    return response.status, await response.read()
        except aiohttp.ClientConnectorError:
            return 0, b""
        except (aiohttp.ClientError, OSError, TimeoutError):
            return -1, b""

    def _host(self, draw: Random) -> str:
        return draw.choice(list(self._hosts))
