"""Scenarios in which an executor is cut off until its owner removes it, and then reconnects.

The incarnation is the same, so that it reports the unacknowledged ends again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from linkspan.errors import StoreUnanswered
from linkspan.shard.messages import EndKind, TaskName
from linkspan.store.types import Appended, Partition, Producer, Record, Store
from tests.hall_executors import ENTRY_EXPIRY_S
from tests.host.later import later
from tests.job_builders import QUEUE, step
from tests.lease_expiry_world import LeaseExpiryWorld
from tests.standins.memory_executor import MemoryExecutor
from tests.standins.memory_store import TIMEOUT_S, MemoryStore, StoreLink
from tests.virtual_time import world_time

PROGRESS = "progress"
"""Topic of the progress records of tasks."""

FIRST_RUN_RANGE_S = 0.6, 2.0
"""Range of durations of the first run, whose end is reported twice or late."""

REMOVED_AFTER_S = 12.0
"""Time in which the leases and the entry of a cut-off executor expire and its owner removes it."""

WRITE_LOSS_RANGE_S = 0.1, 0.9
"""Range of durations for which writes are lost."""

MAX_REPORT_DELAY_S = 8.0
"""Time in which the owner receives a report of a reconnected executor."""

LONG_S = 60.0
"""Duration of a run that outlasts a scenario."""

SECOND_RUN_S = 14.0
"""Duration of a second run: the executor of the first run reconnects and reports before its end."""

SETTLED_S = 20.0
"""Time in which jobs end after all other events."""


@dataclass
class ReturningWorld(LeaseExpiryWorld):
    """A deployment whose executors are cut off, with a queue that allows two attempts.

    Attributes:
        failing: Number of runs of a task that fail before the first success.
        durations_s: Durations of the runs of these tasks in order; the last one repeats.
        on_failed: Function that is called when such a run fails.
        write_loss: How writes of progress are lost; empty if they are not.
    """

    failing: dict[TaskName, int] = field(default_factory=dict)
    durations_s: tuple[float, ...] = (1.0,)
    on_failed: Callable[[MemoryExecutor], None] = lambda _executor: None
    write_loss: str = ""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.queue = replace(QUEUE, max_attempts=2)

    def running_time(self, task: TaskName) -> float:
        if task not in self.failing:
            return super().running_time(task)
        return self.durations_s[min(len(self.starts[task]), len(self.durations_s)) - 1]

    def fails(self, task: TaskName, run: int) -> bool:
        return len(self.starts[task]) <= self.failing.get(task, 0)

    def judge_end(self, executor: MemoryExecutor, task: TaskName, run: int, kind: EndKind) -> None:
        super().judge_end(executor, task, run, kind)
        if task in self.failing and kind is EndKind.FAILED:
            self.on_failed(executor)

    def cut_off(self, executor: MemoryExecutor) -> None:
        """Cut an executor off from all hosts and from the store, where its entry expires."""
        self.record_fault()
        self.cuts |= {(name, executor.record.address) for name, _ in self.host_names()}
        later(ENTRY_EXPIRY_S, self.forget_registration, executor)

    def reconnect(self, executor: MemoryExecutor) -> None:
        """Reconnect a cut-off executor and restore its entry."""
        self.record_fault()
        self.cuts -= {(name, executor.record.address) for name, _ in self.host_names()}
        self.register(executor)

    def store_link(self, host: str) -> Store:
        return _LosingLink(self.store, host, self)

    def lose_writes(self, how: str) -> None:
        """Lose writes of progress; writes of other topics, such as ownership, are unaffected.

        Args:
            how: ``untaken`` if the store does not apply them, ``unanswered`` or ``late`` if it
                applies them at once or late without an answer; empty to end the loss.
        """
        self.write_loss = how
        self.store.late = how == "late"

    def executors_running(self, task: TaskName) -> list[MemoryExecutor]:
        """Return the live executors that run a task."""
        return [e for e in self.executors.values() if e.alive and task in e.running]


class _LosingLink(StoreLink):
    """One host's connection to the store, on which writes of progress may be lost."""

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
        if partition.topic != PROGRESS or not self._world.write_loss:
            return await super().append(partition, records, at=at, producer=producer)
        if self._world.write_loss != "untaken":
            await self._lose(partition, records, at, producer)
        await asyncio.sleep(TIMEOUT_S)
        raise StoreUnanswered("silence")


@dataclass
class ReturningOutcome:
    """The outcome of a scenario.

    Attributes:
        world: The deployment.
        task: The task that failed.
        state: Final state of its job.
        owners: Number of tenures.
    """

    world: ReturningWorld
    task: TaskName
    state: str
    owners: int


async def _begin(random: Random, failing: int) -> tuple[ReturningWorld, TaskName]:
    """Start a hall that runs a task whose first runs fail, and a wide job at the same time."""
    world = ReturningWorld(
        seed=random.randrange(1000), hosts_per_hall=2, lists_machines=random.random() < 0.5
    )
    await world.begin()
    # In a step of many tasks, a long run would be moved.
    width = random.randint(1, 2)
    spec = world.new_job(step(width, cpu=1_500, estimate_s=SECOND_RUN_S))
    task = TaskName(spec.job_id, 0, 0, random.randrange(width))
    world.failing[task] = failing
    assert await world.submit("east-host-0", world.new_job(step(12, estimate_s=2.0))) == 200
    assert await world.submit("east-host-0", spec) == 200
    return world, task


async def _outcome(world: ReturningWorld, task: TaskName) -> ReturningOutcome:
    state = await world.state(next(iter(world.hosts)), task.job_id)
    return ReturningOutcome(world, task, state, len(world.log.named("OWNER_CLAIMED")))


async def reported_twice(seed: int) -> ReturningOutcome:
    """Report a failed end twice to one owner, which lost the write of the first count.

    The executor is cut off before the end is acknowledged. The owner does not change.
    """
    random = Random(seed)
    world, task = await _begin(random, 1)
    world.durations_s = random.uniform(*FIRST_RUN_RANGE_S), LONG_S
    how = random.choice(("untaken", "unanswered", "late"))
    away_s = REMOVED_AFTER_S + random.uniform(0.0, 4.0)

    def on_failed(executor: MemoryExecutor) -> None:
        world.lose_writes(how)
        lost_s = random.uniform(*WRITE_LOSS_RANGE_S)
        later(lost_s, world.lose_writes, "")
        # The owner has received the end by then and has not acknowledged it yet.
        later(random.uniform(0.02, lost_s), world.cut_off, executor)
        later(lost_s + away_s, world.reconnect, executor)

    world.on_failed = on_failed
    await asyncio.sleep(FIRST_RUN_RANGE_S[1] + away_s + MAX_REPORT_DELAY_S)
    for executor in world.executors_running(task):
        executor.running[task].ends_at = world_time()
    await asyncio.sleep(SETTLED_S)
    return await _outcome(world, task)


async def reported_late(seed: int) -> ReturningOutcome:
    """Report a failed run only after its lease has expired and the next run has started.

    The owner may change between the two.
    """
    random = Random(seed)
    world, task = await _begin(random, 9)
    world.durations_s = random.uniform(*FIRST_RUN_RANGE_S), SECOND_RUN_S
    await asyncio.sleep(random.uniform(0.3, 0.9) * world.durations_s[0])
    (first,) = world.executors_running(task)
    world.cut_off(first)
    async with asyncio.timeout(60.0):
        while len(world.starts[task]) < 2:
            await asyncio.sleep(0.05)
    await asyncio.sleep(random.uniform(0.05, 2.0))
    await _change_owner(world, random.choice(("", "killed", "removed")))
    await asyncio.sleep(random.uniform(0.0, 3.0))
    world.reconnect(first)
    await asyncio.sleep(SECOND_RUN_S + SETTLED_S)
    return await _outcome(world, task)


async def renewed_after(back_s: float) -> bool:
    """Return whether the owner renews the lease of an executor that it had removed.

    Args:
        back_s: Time between the removal and the reconnection of the same incarnation.
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
    world.reconnect(executor)
    await asyncio.sleep(MAX_REPORT_DELAY_S)
    return executor.clock < executor.until


async def _change_owner(world: ReturningWorld, how: str) -> None:
    owner = world.owner()
    if not how or not owner:
        return
    world.record_fault()
    if how == "killed":
        world.kill_host(owner)
    else:
        await world.remove_host(owner)
