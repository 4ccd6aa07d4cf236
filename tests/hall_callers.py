"""Callers of a deployment in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from linkspan.host.front import Front
from linkspan.jobs.records import JobState
from linkspan.jobs.spec import JobSpec, StepSpec
from tests.job_builders import job_body, state_of
from tests.run_judge import RunJudge
from tests.running_host import RunningHost
from tests.virtual_time import world_time


@dataclass
class HallCallers(RunJudge):
    """Callers that submit, query and cancel jobs at named hosts.

    Attributes:
        hosts: Running hosts by name.
        accepted: Ids of accepted jobs.
    """

    hosts: dict[str, RunningHost] = field(default_factory=dict, init=False)
    accepted: set[str] = field(default_factory=set, init=False)
    _jobs: int = field(default=0, init=False)

    def new_job(self, *steps: StepSpec) -> JobSpec:
        self._jobs += 1
        return JobSpec(f"{self._jobs:016x}", self.queue.name, f"payload {self._jobs}", steps)

    async def submit(self, name: str, spec: JobSpec, *, patience_s: float = 3.0) -> int:
        """Submit a job at a host and return the status, 0 if no answer came in time."""
        self.specs[spec.job_id] = spec

        async def serve(front: Front) -> web.Response:
            # A host reads the requests that arrived during a freeze after it, with a later clock.
            deadline = world_time() + patience_s
            return await front.submit(self.queue, spec.job_id, job_body(spec), deadline)

        answer = await self._call(name, serve, patience_s)
        if answer is None:
            return 0
        if answer.status == 200:
            self.accepted.add(spec.job_id)
        return answer.status

    async def ask(self, name: str, job_id: str, *, patience_s: float = 3.0) -> str:
        """Return the job state that a caller receives, empty if no answer came in time."""
        answer = await self._call(name, lambda front: front.show(job_id), patience_s)
        return self._shown(name, job_id, state_of(answer)) if answer else ""

    async def _call(
        self,
        name: str,
        serve: Callable[[Front], Coroutine[Any, Any, web.Response]],
        patience_s: float,
    ) -> web.Response | None:
        """Serve a call in a host's process and return the answer if it came in time."""
        running = self.hosts[name]
        loop = asyncio.get_running_loop()
        serving = loop.create_task(serve(running.host.front), context=running.context)
        done, _ = await asyncio.wait([serving], timeout=patience_s)
        if not done or self.hosts.get(name) is not running:
            return None
        return serving.result()

    async def cancel(self, name: str, job_id: str) -> int:
        """Cancel a job at a host and return the status."""
        deadline = world_time() + 3.0
        answer = await self._call(name, lambda front: front.cancel(job_id, deadline), 3.0)
        if answer is None:
            return 0
        if answer.status == 200:
            self.cancelled.setdefault(job_id, world_time())
        return answer.status

    async def state(self, name: str, job_id: str) -> str:
        answer = await self.hosts[name].host.front.show(job_id)
        return self._shown(name, job_id, state_of(answer))

    def _shown(self, name: str, job_id: str, state: str) -> str:
        """Judge a state that a caller receives, and return it."""
        if state == JobState.FAILED.value:
            self.judge_failed(job_id, f"at {name}")
        if state == JobState.SUCCEEDED.value:
            self.judge_succeeded(job_id, f"at {name}")
        return state

    async def wait_for(self, name: str, job_id: str, state: str, *, limit_s: float = 30.0) -> None:
        async with asyncio.timeout(limit_s):
            while await self.state(name, job_id) != state:
                await asyncio.sleep(0.1)
