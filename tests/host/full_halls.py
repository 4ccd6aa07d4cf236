"""Three full halls in virtual time, in which room for standing tasks comes free and is taken again.

Nothing but standing work runs, and nothing is disturbed unless a test does it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import EPOCH, run_virtual, world_time

HALLS = ("east", "west", "north")
EAST, WEST, NORTH = range(len(HALLS))
EXECUTOR_MILLI_CPU = 32_000
TASK_MILLI_CPU = 7_750
"""Four such tasks fill an executor."""

SLOTS_PER_HALL = 16
SMALL_JOBS_PER_HALL = 4
SETTLED_AFTER_S = 14.0
CHECK_INTERVAL_S = 0.05
READ_TOPICS = ("jobs", "owners", "progress")

MAX_AWAY_S = 6.0
"""Time from which on a standing task may not be away beside room for two of it."""

MAX_BESIDE_ROOM_S = 3.0
"""Time for which it may be away beside such room then."""

MIN_SLOTS = 2


@dataclass(frozen=True)
class Change:
    """A change of the room in a hall.

    Attributes:
        at_s: Seconds after the acceptance of the waiting job.
        hall: Number of the hall.
        freed: Number of tasks for which room comes free; below 0 a rival job of as many tasks is
            accepted there.
        ends: Whether the rival's tasks end, so that they may use the headroom at once.
    """

    at_s: float
    hall: int
    freed: int
    ends: bool = False


@dataclass(frozen=True)
class NewExecutor:
    """An executor that joins a hall, with room for four tasks.

    Attributes:
        at_s: Seconds from the acceptance of the waiting job until it starts.
        hall: Number of the hall.
        entry_after_s: Seconds from its start until its entry is in the store.
    """

    at_s: float
    hall: int
    entry_after_s: float = 0.0


@dataclass(frozen=True)
class SlowStore:
    """A time in which the store answers all hosts' reads late.

    Attributes:
        from_s: Seconds after the acceptance of the waiting job.
        for_s: Its duration in seconds.
        answer_s: Duration of an answer in seconds.
    """

    from_s: float
    for_s: float
    answer_s: float = 0.8


@dataclass
class Wait:
    """How a job waited.

    Attributes:
        world: The world that it waited in.
        at_work_s: Seconds from its acceptance until all of its tasks ran.
        beside_room_s: Longest time without a break for which it waited beside room for two of its
            tasks from ``MAX_AWAY_S`` on, with the room of the time before.
        broken_at_s: Seconds until the rule was broken, ``None`` if it was not.
    """

    world: HallWorld
    at_work_s: float = 0.0
    beside_room_s: float = 0.0
    broken_at_s: float | None = None

    def __repr__(self) -> str:
        broken = "kept" if self.broken_at_s is None else f"broken at {self.broken_at_s:.2f} s"
        return f"at work after {self.at_work_s:.2f} s, {broken}"


@dataclass
class FullHalls:
    """A deployment whose halls are full of standing tasks of one size."""

    world: HallWorld = field(
        default_factory=lambda: HallWorld(
            halls=HALLS, executors_per_hall=4, milli_cpu=EXECUTOR_MILLI_CPU
        )
    )
    small_jobs: tuple[list[JobSpec], ...] = field(default_factory=lambda: ([], [], []))

    async def fill(self) -> None:
        """Start the deployment, and fill each hall with jobs of one task and a large one."""
        await self.world.begin()
        for hall, jobs in enumerate(self.small_jobs):
            jobs += [self.accept(hall, 1) for _ in range(SMALL_JOBS_PER_HALL)]
        await asyncio.sleep(1.5)
        for hall in range(len(HALLS)):
            self.accept(hall, SLOTS_PER_HALL - SMALL_JOBS_PER_HALL)
        await asyncio.sleep(SETTLED_AFTER_S)
        assert self.slots() == 0

    def accept(self, hall: int, tasks: int, *, ends: bool = False) -> JobSpec:
        """Write the acceptance of a job of tasks of the one size whose home is a hall.

        Args:
            hall: Number of the hall.
            tasks: Number of the tasks.
            ends: Whether they end, a minute later, and are not standing tasks.
        """
        world = self.world
        spec = world.new_job(step(tasks, cpu=TASK_MILLI_CPU, estimate_s=60.0, standing=not ends))
        world.specs[spec.job_id] = spec
        submitted = Submitted(spec, hall, EPOCH + world_time(), "caller")
        world.store.put(JOBS, *encode(submitted))
        world.accepted.add(spec.job_id)
        return spec

    def slots(self) -> int:
        """Return for how many more tasks the executors of all halls have room."""
        alive = [e for e in self.world.executors.values() if e.alive]
        return sum(e.free().milli_cpu // TASK_MILLI_CPU for e in alive)

    def at_work(self, job: JobSpec) -> int:
        """Return how many tasks of a job run."""
        running = {t for e in self.world.executors.values() if e.alive for t in e.running}
        return sum(task.job_id == job.job_id for task in running)

    async def apply(self, change: Change | NewExecutor | SlowStore) -> None:
        """Make a change at its time from now."""
        if isinstance(change, SlowStore):
            await self._slow_down(change)
            return
        if isinstance(change, NewExecutor):
            await self._join(change)
            return
        await asyncio.sleep(change.at_s)
        if change.freed < 0:
            self.accept(change.hall, -change.freed, ends=change.ends)
            return
        host = f"{HALLS[change.hall]}-host-0"
        ended = [self.small_jobs[change.hall].pop(0) for _ in range(change.freed)]
        await asyncio.gather(*(self.world.cancel(host, job.job_id) for job in ended))

    async def _join(self, new: NewExecutor) -> None:
        await asyncio.sleep(new.at_s)
        world, hall = self.world, HALLS[new.hall]
        number = sum(e.record.hall == hall for e in world.executors.values())
        world.add_executor(hall, f"{hall}-{number}:1", entry_after_s=new.entry_after_s)

    async def _slow_down(self, slow: SlowStore) -> None:
        await asyncio.sleep(slow.from_s)
        durations = self.world.store.read_duration_s
        for name, _ in self.world.host_names():
            durations |= {(name, topic): slow.answer_s for topic in READ_TOPICS}
        await asyncio.sleep(slow.for_s)
        durations.clear()


def wait_of_job(
    *changes: Change | NewExecutor | SlowStore, tasks: int = 2, limit_s: float = 30.0
) -> Wait:
    """Return how a job waits whose home is the first hall.

    Args:
        changes: Changes of the halls' room, and of the store, while it waits.
        tasks: Number of its tasks.
        limit_s: Time after which the play ends.
    """

    async def play() -> Wait:
        halls = FullHalls()
        await halls.fill()
        return await _wait(halls, changes, tasks, limit_s)

    return run_virtual(play())


async def _wait(
    halls: FullHalls,
    changes: tuple[Change | NewExecutor | SlowStore, ...],
    tasks: int,
    limit_s: float,
) -> Wait:
    wait = Wait(halls.world)
    began = world_time()
    job = halls.accept(EAST, tasks)
    applied = [asyncio.create_task(halls.apply(change)) for change in changes]
    room_since: float | None = None
    while halls.at_work(job) < tasks and wait.at_work_s < limit_s:
        await asyncio.sleep(CHECK_INTERVAL_S)
        wait.at_work_s = now = world_time() - began
        if halls.slots() < MIN_SLOTS:
            room_since = None
            continue
        room_since = now if room_since is None else room_since
        if now >= MAX_AWAY_S:
            wait.beside_room_s = max(wait.beside_room_s, now - room_since)
            if now - room_since >= MAX_BESIDE_ROOM_S and wait.broken_at_s is None:
                wait.broken_at_s = now
    for task in applied:
        task.cancel()
    return wait
