"""A hall with one host that owns it, standing tasks and drawn short and batch jobs."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import math
from dataclasses import dataclass, field
from random import Random
from typing import Any, TextIO

from tests.hall_executors import HEARTBEAT_S
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.kept_lines import Lines
from tests.standins.memory_executor import ExecutorLink

from linkspan.events import EventLog
from linkspan.jobs.spec import JobSpec
from linkspan.shard._context import Executors
from linkspan.shard.messages import PaceOrder, StartAnswer, StartOrder, StopOrder, TaskName

EXECUTORS = 60
"""Executors of the hall: the largest hall of the users' grown sites has about as many."""

MILLI_CPU = 16_000
"""Size of each."""

STANDING_STEPS = 12
"""Standing jobs; each has five tasks, so that there are as many as executors."""

STANDING_TASKS = 5

IMAGES = 4
"""Images of standing tasks, and of batch tasks."""

SHORT_JOBS_PER_S = 12.0
"""Short jobs that come in a second, of five tasks on average."""

TARGET_MS = 100.0
"""Latency target of standing tasks."""


class _Null:
    """A stream whose lines nobody reads."""

    def write(self, text: str) -> int:
        return len(text)

    def flush(self) -> None:
        return


class WrittenLines(Lines):
    """Log that keeps what is written and pays for its lines as a host's does."""

    def __init__(self) -> None:
        super().__init__()
        self._log = EventLog("bench")
        self._log.bind(host="bench", hall="east")
        logger = logging.getLogger("linkspan.bench")
        handler = logger.handlers[0]
        assert isinstance(handler, logging.StreamHandler)
        stream: Any = _Null()
        handler.setStream(stream)
        self._stream: TextIO = stream

    def write(self, event: Any, **fields: Any) -> None:
        super().write(event, **fields)
        self._log.write(event, **fields)


@dataclass
class BusyHall(HallWorld):
    """A deployment of one hall and one host, with a digest of all orders.

    Attributes:
        batch_per_s: Batch jobs that come in a second, of nine tasks on average.
        digest: Hash of all orders that were sent, with their times.
    """

    hosts_per_hall: int = 1
    executors_per_hall: int = EXECUTORS
    milli_cpu: int = MILLI_CPU
    batch_per_s: float = 2.0
    digest: Any = field(default_factory=hashlib.sha256)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.log = WrittenLines()
        self._draws = Random(self.seed * 7919 + 1)

    @property
    def runs(self) -> int:
        """Runs that executors started."""
        return sum(len(starts) for starts in self.starts.values())

    def link(self, host: str, token: int) -> Executors:
        return DigestingLink(self, host, token)

    def note_order(self, address: str, order: StartOrder | StopOrder | PaceOrder) -> None:
        """Take an order into the digest; incarnations are numbered alike in all runs."""
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
        pressure = min(own + 0.04 * self._beside(task), 0.97)
        return TARGET_MS * 0.17 / (1.0 - pressure)

    def _beside(self, task: TaskName) -> int:
        """Return how many best-effort runs work beside a standing one."""
        executor = next(e for e in self.executors.values() if task in e.running)
        return sum(self.step_of(other).best_effort for other in executor.running)

    async def beat(self) -> None:
        """Have executors register anew as they do, whether anything changed or not."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for executor in self.executors.values():
                executor.advance()
                self.register(executor)

    async def play(self, seconds: float) -> None:
        """Begin, start the standing tasks and let jobs come for some seconds."""
        await self.begin()
        host = next(iter(self.hosts))
        for number in range(STANDING_STEPS):
            await self.submit(host, self._standing(number))
        async with asyncio.TaskGroup() as group:
            loop = asyncio.get_running_loop()
            until = loop.time() + seconds
            rate = SHORT_JOBS_PER_S + self.batch_per_s
            while loop.time() < until:
                await asyncio.sleep(self._draws.expovariate(rate))
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
        draws = self._draws
        if draws.random() < self.batch_per_s / (SHORT_JOBS_PER_S + self.batch_per_s):
            image = f"batch-{draws.randrange(IMAGES)}"
            count, long = draws.randint(4, 14), draws.uniform(1.0, 5.0)
            return self.new_job(
                step(count, cpu=2_000, estimate_s=long, best_effort=True, image=image)
            )
        first = step(draws.randint(1, 6), cpu=1_000, estimate_s=draws.uniform(0.2, 0.8))
        second = step(draws.randint(1, 2), cpu=1_000, estimate_s=0.3, depends_on=(0,))
        return self.new_job(first, second)


class DigestingLink(ExecutorLink):
    """Way to executors in memory that takes all orders into the world's digest."""

    def __init__(self, world: BusyHall, host: str, token: int) -> None:
        super().__init__(world, host, token)
        self._hall = world

    async def start(self, address: str, order: StartOrder, *, until_s: float) -> StartAnswer:
        self._hall.note_order(address, order)
        return await super().start(address, order, until_s=until_s)

    async def stop(self, address: str, order: StopOrder) -> bool:
        self._hall.note_order(address, order)
        return await super().stop(address, order)

    async def pace(self, address: str, order: PaceOrder) -> bool:
        self._hall.note_order(address, order)
        return await super().pace(address, order)
