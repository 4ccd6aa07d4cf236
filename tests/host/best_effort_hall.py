"""A deployment whose memory best-effort work holds, and the waits of a job that comes to it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from linkspan.jobs.spec import StepSpec
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import world_time

FILL_S = 5.0
"""Time in which best-effort work fills the memory of all executors."""

JOBS = 40
"""Best-effort jobs of each hall, which wait in turn for memory that is given back."""


@dataclass
class BestEffortHall(HallWorld):
    """A deployment that records when the tasks of a job are started."""

    milli_cpu: int = 32_000
    executors_per_hall: int = 4
    started: dict[str, list[float]] = field(default_factory=dict)

    def judge_prompt_start(self, executor: MemoryExecutor, task: TaskName) -> None:
        super().judge_prompt_start(executor, task)
        self.started.setdefault(task.job_id, []).append(world_time())

    async def fill(self, best_effort: StepSpec) -> None:
        """Start the deployment and fill its memory."""
        await self.begin()
        submits = [
            self.submit(f"{hall}-host-0", self.new_job(best_effort))
            for hall in self.halls
            for _ in range(JOBS)
        ]
        await asyncio.gather(*submits)
        await asyncio.sleep(FILL_S)

    async def waits(self, spec: StepSpec, limit_s: float) -> list[float]:
        """Submit a job and return how long each of its tasks waited that started in time.

        Args:
            spec: The only step of the job.
            limit_s: Longest time to wait, in seconds.
        """
        job, now = self.new_job(spec), world_time()
        assert await self.submit(f"{self.halls[0]}-host-0", job) == 200
        await asyncio.sleep(limit_s)
        return [at - now for at in self.started.get(job.job_id, [])]
