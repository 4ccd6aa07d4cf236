"""A scenario in which executors crash and restart under the same id, and its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from linkspan.jobs.spec import JobSpec
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.job_builders import step

JOB_COUNT = 60
"""Number of jobs without standing tasks."""

SUBMISSION_INTERVAL_S = 0.15
"""Interval between two submissions."""

FIRST_CRASH_S = 4.0
"""Time of the first crash after the first job: executors have reported some ends by then."""

SETTLED_S = 35.0
"""Time after the last job in which all work ends: more than three times the longest lease."""

AHEAD_S = 1e5
"""Start of a clock that is ahead of the clocks of all previous incarnations."""


@dataclass
class Restarts:
    """How executors crash and restart.

    Attributes:
        addresses: Addresses of the executors that crash.
        down_s: Time between a crash and the restart.
        clock_s: Time that their clocks show after the restart; ``None`` for clocks that continue.
        times: Number of crashes.
        every_s: Interval between two crashes.
        on_crash: Function that is called at each crash.
        at_s: Time of the first crash after the first job.
    """

    addresses: tuple[str, ...] = ("east-0:1", "east-1:1")
    down_s: float = 0.5
    clock_s: float | None = 0.0
    times: int = 1
    every_s: float = 3.0
    on_crash: Callable[[HallWorld], None] = lambda _world: None
    at_s: float = FIRST_CRASH_S


@dataclass
class RestartingDay:
    """The outcome of a scenario.

    Attributes:
        world: The deployment, with the violations it found.
        standing: Standing tasks.
        jobs: Jobs without standing tasks.
        states: Final states of these jobs.
        running: Tasks that run at the end.
        idle: Addresses of executors whose last incarnation started nothing.
    """

    world: HallWorld
    standing: list[TaskName] = field(default_factory=list)
    jobs: list[JobSpec] = field(default_factory=list)
    states: list[str] = field(default_factory=list)
    running: set[TaskName] = field(default_factory=set)
    idle: list[str] = field(default_factory=list)

    def look(self) -> None:
        """Set ``running`` and ``idle`` from the present state of the executors."""
        up = [e for e in self.world.executors.values() if e.alive]
        for executor in up:
            executor.advance()
        self.running = {task for e in up for task in e.running}
        self.idle = [e.record.address for e in up if not (e.last_number or e.running)]


async def play(
    restarts: Restarts,
    *,
    jobs: int = JOB_COUNT,
    tasks: int = 4,
    duration_s: float = 0.6,
    **fields: object,
) -> RestartingDay:
    """Run a scenario in one hall, or in as many as ``fields`` gives.

    Args:
        restarts: How executors crash and restart.
        jobs: Number of jobs without standing tasks.
        tasks: Number of tasks of each job.
        duration_s: Duration of each task.
        fields: Further fields of the deployment.
    """
    world = HallWorld(**{"seed": 9, **fields})  # type: ignore[arg-type]
    await world.begin()
    day = RestartingDay(world)
    host = f"{world.halls[0]}-host-1"
    for _ in range(3):
        spec = world.new_job(step(1, cpu=500, standing=True))
        assert await world.submit(host, spec) == 200
        day.standing.append(TaskName(spec.job_id, 0, 0, 0))
    async with asyncio.TaskGroup() as group:
        group.create_task(_crash_repeatedly(world, restarts))
        for _ in range(jobs):
            spec = world.new_job(step(tasks, estimate_s=duration_s))
            group.create_task(_submit_until_accepted(world, spec))
            day.jobs.append(spec)
            await asyncio.sleep(SUBMISSION_INTERVAL_S)
    await asyncio.sleep(SETTLED_S)
    queried = next(iter(world.hosts))
    day.states = [await world.state(queried, spec.job_id) for spec in day.jobs]
    day.look()
    return day


async def _submit_until_accepted(world: HallWorld, spec: JobSpec) -> None:
    """Submit a job repeatedly until a host accepts it."""
    while True:
        for name in sorted(world.hosts):
            if await world.submit(name, spec) == 200:
                return
        await asyncio.sleep(0.5)


async def _crash_repeatedly(world: HallWorld, restarts: Restarts) -> None:
    await asyncio.sleep(restarts.at_s)
    for _ in range(restarts.times):
        for address in restarts.addresses:
            if world.executors[address].alive:
                world.restart_executor(address, down_s=restarts.down_s, clock_s=restarts.clock_s)
        restarts.on_crash(world)
        await asyncio.sleep(restarts.every_s)
