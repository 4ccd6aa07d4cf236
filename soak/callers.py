"""Callers: they submit, send again, ask and cancel, and note what they were told."""

from __future__ import annotations

import asyncio
import time
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
from soak.processes import StandIn

PATIENCE_S = 3.0
"""Time that callers wait for an answer, as the users' callers do."""

ATTEMPTS = 5
"""The users' callers send a job once and again up to four times."""

VISIBLE_S = 3.0
"""Time in which an accepted job must be known to every host (the users' bound)."""

STANDING_SHARE = 0.08
CANCELLED_SHARE = 0.2
SENT_AGAIN_SHARE = 0.25
"""Drawn so that each happens several times in a run of 20 s at 4 jobs a second, and
standing jobs leave most of the room to others."""

CRASH_AFTER_S = (0.01, 0.4, 3.0)
"""Seconds after its begin at which a task crashes its executor: at once as in what callers
saw, within short work's length, and later than most of it takes."""

CRASHES_EVERY_S = 5.0
"""Time between jobs of which a task crashes its executors: few at a time, with others' work
beside each of them."""

PAYLOAD = "payload {}"


class Told(Enum):
    """What a caller may conclude from one attempt to submit."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    UNSENT = "unsent"


@dataclass
class Job:
    """A job and what its caller was told.

    Attributes:
        spec: What it consists of.
        told: Outcome of each attempt to submit it.
        accepted_at: Steady time of the first acceptance.
        cancel_asked_at: Steady time at which its cancelling was first sent.
        cancelled_at: Steady time at which that was acknowledged.
        succeeded_at: Steady time at which it was first shown to have succeeded.
        crash_after_s: Seconds after its begin at which its first task crashes its executor.
        last_state: State that was shown last.
    """

    spec: JobSpec
    told: list[Told] = field(default_factory=list)
    accepted_at: float | None = None
    cancel_asked_at: float | None = None
    cancelled_at: float | None = None
    succeeded_at: float | None = None
    crash_after_s: float | None = None
    last_state: str = ""

    @property
    def id(self) -> str:
        """Its id."""
        return self.spec.job_id

    @property
    def standing(self) -> bool:
        """Whether it runs until it is cancelled."""
        return self.spec.steps[0].standing

    @property
    def never_taken(self) -> bool:
        """Whether each attempt that may have arrived was refused."""
        return not set(self.told) & {Told.ACCEPTED, Told.UNKNOWN}

    @property
    def tasks(self) -> list[str]:
        """Names of its tasks, as executors spell them."""
        return [
            task_to_wire(TaskName(self.id, 0, number, index))
            for number, one in enumerate(self.spec.steps)
            for index in range(one.count)
        ]


class Callers:
    """All callers of a run.

    Args:
        random: Draws jobs and what befalls them.
        hosts: Callers' address of each host, by name.
        executors: Is told of each job before it is sent.
        session: Its connections are kept open and used again.
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

    async def send_jobs(self, per_s: float) -> None:
        """Submit jobs until cancelled, each by a caller of its own."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._use(self.draw_job()))
                await asyncio.sleep(self._random.expovariate(per_s))

    async def send_crashing_jobs(self, draw: Random) -> None:
        """Submit jobs whose first task crashes its executors, until cancelled."""
        while True:
            await asyncio.sleep(draw.uniform(0.0, CRASHES_EVERY_S))
            kind = step(draw.randint(1, 2), cpu=500, estimate_s=60.0, standing=draw.random() < 0.5)
            payload = PAYLOAD.format(f"crashing {len(self.jobs)}")
            spec = JobSpec(f"{draw.getrandbits(64):016x}", QUEUE.name, payload, (kind,))
            job = Job(spec, crash_after_s=draw.choice(CRASH_AFTER_S))
            self.jobs.append(job)
            await self.submit(job, draw)

    def draw_job(self, *, calm: bool = False) -> Job:
        """Return a new job; in calm times one that ends soon."""
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

    async def _use(self, job: Job) -> None:
        draw = Random(job.id)
        await self.submit(job, draw)
        if job.accepted_at is None:
            return
        if draw.random() < SENT_AGAIN_SHARE:
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
        """Submit a job as the users' callers do: again elsewhere until it is answered."""
        told: dict[str, object] = {"id": job.id, "body": job_body(job.spec).decode()}
        if job.crash_after_s is not None:
            told["crash_after_s"] = job.crash_after_s
        await self._executors.tell("job", told)
        for _ in range(ATTEMPTS):
            told = await self._attempt(job, self._host(draw))
            if told is Told.ACCEPTED:
                return
            if told is Told.REFUSED and draw.random() < 0.3:
                return
            await asyncio.sleep(draw.uniform(0.05, 1.0))

    async def _attempt(self, job: Job, host: str) -> Told:
        # Its caller may leave in the midst of the call.
        job.told.append(Told.UNKNOWN)
        status, _ = await self.call("POST", host, job.id, data=job_body(job.spec))
        if status == 0:
            told = Told.UNSENT
        elif status == 200:
            told = Told.ACCEPTED
            job.accepted_at = job.accepted_at or time.monotonic()
        elif status in (404, 429, 503):
            told = Told.REFUSED
        else:
            told = Told.UNKNOWN
        job.told[-1] = told
        return told

    async def ask(self, job: Job, host: str) -> str | None:
        """Ask for a job's state and return it, or ``None`` without one."""
        asked = time.monotonic()
        status, fields = await self.call("GET", host, job.id)
        self._judge_gone(job, host, "GET", status, asked)
        if status != 200:
            return None
        state = job.last_state = str(fields["state"])
        if state == "succeeded" and job.succeeded_at is None:
            job.succeeded_at = time.monotonic()
        return state

    async def cancel(self, job: Job, draw: Random) -> None:
        """Cancel a job, at one host after the other until that is acknowledged."""
        job.cancel_asked_at = time.monotonic()
        for _ in range(ATTEMPTS):
            host = self._host(draw)
            asked = time.monotonic()
            status, _ = await self.call("DELETE", host, job.id)
            self._judge_gone(job, host, "DELETE", status, asked)
            if status == 200:
                job.cancelled_at = time.monotonic()
                return
            await asyncio.sleep(draw.uniform(0.1, 1.0))

    def _judge_gone(self, job: Job, host: str, method: str, status: int, asked: float) -> None:
        if status == 410 and job.accepted_at and asked > job.accepted_at + VISIBLE_S:
            since = asked - job.accepted_at
            line = f"LOST {job.id}: {method} at {host} got 410 {since:.1f} s after its acceptance"
            self.violations.append(line)

    async def call(
        self, method: str, host: str, path: str, *, prefix: str = QUEUE.prefix, **body: Any
    ) -> tuple[int, dict[str, Any]]:
        """Call a host; return status 0 if nothing was sent and -1 without a whole answer."""
        headers = {"Host": QUEUE.host, TIMEOUT_HEADER: str(int(PATIENCE_S * 1000))}
        url = f"http://{self._hosts[host]}{prefix}{path}"
        try:
            async with asyncio.timeout(PATIENCE_S + 0.2):
                async with self._session.request(method, url, headers=headers, **body) as answer:
                    fields = await answer.json() if answer.status == 200 else {}
                    return answer.status, fields
        except aiohttp.ClientConnectorError:
            return 0, {}
        except (aiohttp.ClientError, OSError, TimeoutError):
            return -1, {}

    def _host(self, draw: Random) -> str:
        return draw.choice(list(self._hosts))
