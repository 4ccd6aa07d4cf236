"""A day on which executors fall and start again under their id, and what came of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from linkspan.jobs.spec import JobSpec
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.job_builders import step

JOBS = 60
"""Jobs of a day that end."""

BETWEEN_S = 0.15
"""Time between two jobs."""

FALL_AT_S = 4.0
"""Time after the first job at which executors fall: they have told of some ends by then."""

SETTLED_S = 35.0
"""Time after the last job by which all is done: each lease of before has ended thrice."""

AHEAD_S = 1e5
"""What a clock shows that begins ahead of all clocks before it."""


@dataclass
class Restarts:
    """How executors start again.

    Attributes:
        addresses: Which of them do.
        down_s: Time for which they are away.
        clock_s: What their clocks show then; ``None`` for clocks that went on.
        times: How often they fall.
        every_s: Time between two falls.
        beside: Called when they fall.
        at_s: Time after the first job at which they fall first.
    """

    addresses: tuple[str, ...] = ("east-0:1", "east-1:1")
    down_s: float = 0.5
    clock_s: float | None = 0.0
    times: int = 1
    every_s: float = 3.0
    beside: Callable[[HallWorld], None] = lambda _world: None
    at_s: float = FALL_AT_S


@dataclass
class RestartingDay:
    """What a day left.

    Attributes:
        world: The deployment, with what was broken.
        standing: Standing tasks.
        jobs: Jobs that end.
        states: How these are shown at the end.
        running: Tasks that run then.
        idle: Addresses of executors that started nothing in their last life.
    """

    world: HallWorld
    standing: list[TaskName] = field(default_factory=list)
    jobs: list[JobSpec] = field(default_factory=list)
    states: list[str] = field(default_factory=list)
    running: set[TaskName] = field(default_factory=set)
    idle: list[str] = field(default_factory=list)

    def look(self) -> None:
        """See what runs now, and which executors were never used."""
        up = [e for e in self.world.executors.values() if e.alive]
        for executor in up:
            executor.advance()
        self.running = {task for e in up for task in e.running}
        self.idle = [e.record.address for e in up if not (e.last_number or e.running)]


async def play(
    restarts: Restarts,
    *,
    jobs: int = JOBS,
    tasks: int = 4,
    length_s: float = 0.6,
    **fields: object,
) -> RestartingDay:
    """Play a day in one hall, or in as many as are asked for.

    Args:
        restarts: How executors start again.
        jobs: How many jobs that end come in.
        tasks: How many tasks each job has.
        length_s: How long they take.
        fields: What else the deployment has.
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
        group.create_task(_fall(world, restarts))
        for _ in range(jobs):
            spec = world.new_job(step(tasks, estimate_s=length_s))
            group.create_task(_send(world, spec))
            day.jobs.append(spec)
            await asyncio.sleep(BETWEEN_S)
    await asyncio.sleep(SETTLED_S)
    asked = next(iter(world.hosts))
    day.states = [await world.state(asked, spec.job_id) for spec in day.jobs]
    day.look()
    return day


async def _send(world: HallWorld, spec: JobSpec) -> None:
    """Send a job until it is accepted."""
    while True:
        for name in sorted(world.hosts):
            if await world.submit(name, spec) == 200:
                return
        await asyncio.sleep(0.5)


async def _fall(world: HallWorld, restarts: Restarts) -> None:
    await asyncio.sleep(restarts.at_s)
    for _ in range(restarts.times):
        for address in restarts.addresses:
            if world.executors[address].alive:
                world.restart_executor(address, down_s=restarts.down_s, clock_s=restarts.clock_s)
        restarts.beside(world)
        await asyncio.sleep(restarts.every_s)
