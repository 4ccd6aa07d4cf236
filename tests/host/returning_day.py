"""Plays in which an executor is cut off till it is out of the books, and comes back as it was.

In the same life it lists again what nobody has acknowledged.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from linkspan.errors import StoreUnanswered
from linkspan.shard.messages import EndKind, TaskName
from linkspan.store.types import Appended, Partition, Producer, Record, Store
from tests.hall_executors import ENTRY_GOES_S
from tests.host.later import later
from tests.job_builders import QUEUE, step
from tests.lapses import LapsingWorld
from tests.standins.memory_executor import MemoryExecutor
from tests.standins.memory_store import TIMEOUT_S, MemoryStore, StoreLink
from tests.virtual_time import world_time

PROGRESS = "progress"
"""Topic of the records of what became of tasks."""

FIRST_S = 0.6, 2.0
"""How long the first run of a task lasts whose end is told twice or late."""

OUT_OF_BOOKS_S = 12.0
"""Time after which a cut-off executor's leases and its entry are gone, and its owner knows."""

WRITE_LOST_S = 0.1, 0.9
"""How long writes are lost."""

RETURNED_S = 8.0
"""Time after an executor's return in which it has been heard."""

LONG_S = 60.0
"""Length of a run that nothing ends in a play."""

SECOND_S = 14.0
"""Length of a second run: the executor of the first one is back, and heard, before its end."""

SETTLED_S = 20.0
"""Time after all else in which jobs end."""


@dataclass
class ReturningWorld(LapsingWorld):
    """A deployment whose executors are cut off, as the queue's tasks may fail twice.

    Attributes:
        failing: How many first runs of a task fail.
        lengths_s: How long runs of these tasks last, by how many there were, the last for all more.
        on_failed: Called when one fails.
        lost: How writes of progress are lost, if they are.
    """

    failing: dict[TaskName, int] = field(default_factory=dict)
    lengths_s: tuple[float, ...] = (1.0,)
    on_failed: Callable[[MemoryExecutor], None] = lambda _executor: None
    lost: str = ""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.queue = replace(QUEUE, max_attempts=2)

    def running_time(self, task: TaskName) -> float:
        if task not in self.failing:
            return super().running_time(task)
        return self.lengths_s[min(len(self.starts[task]), len(self.lengths_s)) - 1]

    def fails(self, task: TaskName, run: int) -> bool:
        return len(self.starts[task]) <= self.failing.get(task, 0)

    def judge_end(self, executor: MemoryExecutor, task: TaskName, run: int, kind: EndKind) -> None:
        super().judge_end(executor, task, run, kind)
        if task in self.failing and kind is EndKind.FAILED:
            self.on_failed(executor)

    def cut_off(self, executor: MemoryExecutor) -> None:
        """Cut an executor off from all hosts and from the store, where its entry goes."""
        self.trouble()
        self.cuts |= {(name, executor.record.address) for name, _ in self.host_names()}
        later(ENTRY_GOES_S, self.forget_registration, executor)

    def reach_again(self, executor: MemoryExecutor) -> None:
        """Let a cut-off executor be reached, and its entry be back."""
        self.trouble()
        self.cuts -= {(name, executor.record.address) for name, _ in self.host_names()}
        self.register(executor)

    def store_link(self, host: str) -> Store:
        return _LosingLink(self.store, host, self)

    def lose_writes(self, how: str) -> None:
        """Let the store not take progress, or take it without an answer, at once or late.

        An empty word ends that. Who owns the shard is written as ever.
        """
        self.lost = how
        self.store.late = how == "late"

    def where(self, task: TaskName) -> list[MemoryExecutor]:
        """Return the executors that run a task."""
        return [e for e in self.executors.values() if e.alive and task in e.running]


class _LosingLink(StoreLink):
    """One host's way to the store, on which writes of progress may be lost."""

    def __init__(self, store: MemoryStore, host: str, world: ReturningWorld) -> None:
        super().__init__(store, host)
        self._world = world

    async def append(
        self,
        partition: Partition,
        records: Sequence[Record],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        if partition.topic != PROGRESS or not self._world.lost:
            return await super().append(partition, records, at=at, producer=producer)
        if self._world.lost != "untaken":
            await self._lose(partition, records, at, producer)
        await asyncio.sleep(TIMEOUT_S)
        raise StoreUnanswered("silence")


@dataclass
class Returned:
    """What a play left.

    Attributes:
        world: The deployment.
        task: The task that failed.
        state: How its job is shown at the end.
        owners: How many tenures there were.
    """

    world: ReturningWorld
    task: TaskName
    state: str
    owners: int


async def _begin(random: Random, failing: int) -> tuple[ReturningWorld, TaskName]:
    """Return a hall that runs a task that fails at first, beside a wide job."""
    world = ReturningWorld(
        seed=random.randrange(1000), hosts_per_hall=2, lists_machines=random.random() < 0.5
    )
    await world.begin()
    # Beside many others of its step, a long run would be moved.
    width = random.randint(1, 2)
    spec = world.new_job(step(width, cpu=1_500, estimate_s=SECOND_S))
    task = TaskName(spec.job_id, 0, 0, random.randrange(width))
    world.failing[task] = failing
    assert await world.submit("east-host-0", world.new_job(step(12, estimate_s=2.0))) == 200
    assert await world.submit("east-host-0", spec) == 200
    return world, task


async def _end(world: ReturningWorld, task: TaskName) -> Returned:
    state = await world.state(next(iter(world.hosts)), task.job_id)
    return Returned(world, task, state, len(world.log.named("OWNER_CLAIMED")))


async def told_twice(seed: int) -> Returned:
    """Let an owner hear a failed end, lose the write of its count, and hear the end again.

    The executor is cut off before the end is acknowledged. One owner throughout.
    """
    random = Random(seed)
    world, task = await _begin(random, 1)
    world.lengths_s = random.uniform(*FIRST_S), LONG_S
    how = random.choice(("untaken", "unanswered", "late"))
    away_s = OUT_OF_BOOKS_S + random.uniform(0.0, 4.0)

    def on_failed(executor: MemoryExecutor) -> None:
        world.lose_writes(how)
        lost_s = random.uniform(*WRITE_LOST_S)
        later(lost_s, world.lose_writes, "")
        # Heard by then, and not acknowledged yet.
        later(random.uniform(0.02, lost_s), world.cut_off, executor)
        later(lost_s + away_s, world.reach_again, executor)

    world.on_failed = on_failed
    await asyncio.sleep(FIRST_S[1] + away_s + RETURNED_S)
    for executor in world.where(task):
        executor.running[task].ends_at = world_time()
    await asyncio.sleep(SETTLED_S)
    return await _end(world, task)


async def told_late(seed: int) -> Returned:
    """Let a run fail that nobody hears, be given up by lapse, and be told beside the next one.

    The owner may change between the two.
    """
    random = Random(seed)
    world, task = await _begin(random, 9)
    world.lengths_s = random.uniform(*FIRST_S), SECOND_S
    await asyncio.sleep(random.uniform(0.3, 0.9) * world.lengths_s[0])
    (first,) = world.where(task)
    world.cut_off(first)
    async with asyncio.timeout(60.0):
        while len(world.starts[task]) < 2:
            await asyncio.sleep(0.05)
    await asyncio.sleep(random.uniform(0.05, 2.0))
    await _change_owner(world, random.choice(("", "killed", "removed")))
    await asyncio.sleep(random.uniform(0.0, 3.0))
    world.reach_again(first)
    await asyncio.sleep(SECOND_S + SETTLED_S)
    return await _end(world, task)


async def renewed_after(back_s: float) -> bool:
    """Return whether an executor is heard, and its lease renewed, that left its owner's books.

    Args:
        back_s: Time between its leaving and its return, in the same life.
    """
    world = ReturningWorld(lists_machines=False)
    await world.begin()
    (executor, *_) = world.executors.values()
    assert await world.submit("east-host-0", world.new_job(step(6, estimate_s=LONG_S))) == 200
    await asyncio.sleep(1.0)
    world.cut_off(executor)
    async with asyncio.timeout(60.0):
        while not world.log.named("EXECUTOR_CRASHED"):
            await asyncio.sleep(0.01)
    await asyncio.sleep(back_s)
    world.reach_again(executor)
    await asyncio.sleep(RETURNED_S)
    return executor.clock < executor.until


async def _change_owner(world: ReturningWorld, how: str) -> None:
    owner = world.owner()
    if not how or not owner:
        return
    world.trouble()
    if how == "killed":
        world.kill_host(owner)
    else:
        await world.remove_host(owner)
