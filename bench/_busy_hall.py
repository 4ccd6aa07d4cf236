"""A simulated hall with one host, standing tasks and a random stream of short and batch jobs."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import math
from dataclasses import dataclass, field
from random import Random
from typing import Any, TextIO

from tests.event_recorder import EventRecorder
from tests.hall_executors import HEARTBEAT_S
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins.memory_executor import ExecutorLink

from linkspan.events import EventLog
from linkspan.jobs.spec import JobSpec
from linkspan.shard._context import Executors
from linkspan.shard.messages import PaceOrder, StartAnswer, StartOrder, StopOrder, TaskName

EXECUTORS = 60
"""Number of executors; about that of the largest hall in the users' deployments."""

MILLI_CPU = 16_000
"""CPU size of each executor."""

STANDING_STEPS = 12
"""Number of standing jobs; with five tasks each there is one standing task per executor."""

STANDING_TASKS = 5

IMAGES = 4
"""Number of images among standing tasks, and among batch tasks."""

SHORT_JOBS_PER_S = 12.0
"""Mean rate of submitted short jobs, with five tasks on average."""

TARGET_MS = 100.0
"""Latency target of standing tasks."""


class _NullStream:
    """A text stream that discards its input."""

    def write(self, text: str) -> int:
        return len(text)

    def flush(self) -> None:
        return


class WrittenLogLines(EventRecorder):
    """Log that keeps its lines and also formats them, at the same cost as in a host."""

    def __init__(self) -> None:
        super().__init__()
        self._log = EventLog("bench")
        self._log.bind(host="bench", hall="east")
        logger = logging.getLogger("linkspan.bench")
        handler = logger.handlers[0]
        assert isinstance(handler, logging.StreamHandler)
        stream: Any = _NullStream()
        handler.setStream(stream)
        self._stream: TextIO = stream

    def write(self, event: Any, **fields: Any) -> None:
        super().write(event, **fields)
        self._log.write(event, **fields)


@dataclass
class BusyHall(HallWorld):
    """A deployment of one hall and one host that computes a digest of all orders.

    Attributes:
        batch_per_s: Mean rate of submitted batch jobs, with nine tasks on average.
        digest: Hash over all orders sent, with their times.
    """

    hosts_per_hall: int = 1
    executors_per_hall: int = EXECUTORS
    milli_cpu: int = MILLI_CPU
    batch_per_s: float = 2.0
    digest: Any = field(default_factory=hashlib.sha256)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.log = WrittenLogLines()
        self._job_random = Random(self.seed * 7919 + 1)

    @property
    def runs(self) -> int:
        """Number of runs that executors started."""
        return sum(len(starts) for starts in self.starts.values())

    def link(self, host: str, token: int) -> Executors:
        return DigestingLink(self, host, token)

    def record_order(self, address: str, order: StartOrder | StopOrder | PaceOrder) -> None:
        """Add an order to the digest.

        Incarnations get the same numbers in every run, so that digests are comparable.
        """
        now = asyncio.get_running_loop().time()
        self.digest.update(f"{now:.6f} {address} {order!r}\n".encode())

    def figure(self, task: TaskName) -> float | None:
        spec = self.step_of(task)
        if spec.best_effort:
            return 0.9 * spec.demand.milli_cpu
        if not spec.standing:
            return None
        now = asyncio.get_running_loop().time()
        own = 0.5 + 0.25 * math.sin(now / 3.0 + task.step + int(task.job_id, 16))
        pressure = min(own + 0.04 * self._count_colocated_best_effort(task), 0.97)
        return TARGET_MS * 0.17 / (1.0 - pressure)

    def _count_colocated_best_effort(self, task: TaskName) -> int:
        """Return the number of best-effort runs on the executor of a standing task."""
        executor = next(e for e in self.executors.values() if task in e.running)
        return sum(self.step_of(other).best_effort for other in executor.running)

    async def beat(self) -> None:
        """Register every executor at the heartbeat interval, whether or not it has changed."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for executor in self.executors.values():
                executor.advance()
                self.register(executor)

    async def play(self, seconds: float) -> None:
        """Start the hall and its standing tasks, then submit jobs for ``seconds``."""
        await self.begin()
        host = next(iter(self.hosts))
        for number in range(STANDING_STEPS):
            await self.submit(host, self._standing(number))
        async with asyncio.TaskGroup() as group:
            loop = asyncio.get_running_loop()
            end = loop.time() + seconds
            rate = SHORT_JOBS_PER_S + self.batch_per_s
            while loop.time() < end:
                await asyncio.sleep(self._job_random.expovariate(rate))
                group.create_task(self.submit(host, self._job()))

    def _standing(self, number: int) -> JobSpec:
        return self.new_job(
            step(
                STANDING_TASKS,
                cpu=4_000,
                standing=True,
                max_per_executor=1,
                latency_target_ms=TARGET_MS,
                image=f"service-{number % IMAGES}",
            )
        )

    def _job(self) -> JobSpec:
        random = self._job_random
        if random.random() < self.batch_per_s / (SHORT_JOBS_PER_S + self.batch_per_s):
            image = f"batch-{random.randrange(IMAGES)}"
            count, duration_s = random.randint(4, 14), random.uniform(1.0, 5.0)
            return self.new_job(
                step(count, cpu=2_000, estimate_s=duration_s, best_effort=True, image=image)
            )
        first = step(random.randint(1, 6), cpu=1_000, estimate_s=random.uniform(0.2, 0.8))
        second = step(random.randint(1, 2), cpu=1_000, estimate_s=0.3, depends_on=(0,))
        return self.new_job(first, second)


class DigestingLink(ExecutorLink):
    """Link to in-memory executors that adds all orders to the world's digest."""

    def __init__(self, world: BusyHall, host: str, token: int) -> None:
        super().__init__(world, host, token)
        self._hall = world

    async def start(self, address: str, order: StartOrder, *, until_s: float) -> StartAnswer:
        self._hall.record_order(address, order)
        return await super().start(address, order, until_s=until_s)

    async def stop(self, address: str, order: StopOrder) -> bool:
        self._hall.record_order(address, order)
        return await super().stop(address, order)

    async def pace(self, address: str, order: PaceOrder) -> bool:
        self._hall.record_order(address, order)
        return await super().pace(address, order)
