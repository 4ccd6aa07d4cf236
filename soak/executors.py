"""Process of all executors, which checks each order: ``python -m soak.executors SEED``."""

from __future__ import annotations

import asyncio
import json
import sys
from collections import defaultdict
from dataclasses import asdict, dataclass, field
from typing import Any

import aiohttp
from tests.hall_executors import EXECUTORS, HallExecutors
from tests.job_builders import QUEUE
from tests.standins.memory_executor import MemoryExecutor

from linkspan.platform.executors import task_to_wire
from linkspan.platform.jobs import job_from_wire
from linkspan.shard.messages import EndedTask, EndKind, StartOrder, TaskName
from linkspan.store.types import Partition
from soak.refusing_front import RefusingFront
from soak.standin import listen, serve

SHRUNK_CAPACITY_GRACE_S = 12.0
"""Time after a reduction of an executor's capacity from which starts must respect it. An owner
without a response of the store continues for 10 s, and an executor registers its capacity within
one more heartbeat."""


NESTED_MARK = "nested"
"""Value of an overwritten entry's field that stands for deeply nested lists."""

_NESTED = "[" * 1_000 + "]" * 1_000


class Registrations:
    """Replaces the store of the world; forwards its entries to the store's process in order."""

    def __init__(self, control: str) -> None:
        self._url = f"http://{control}/put"
        self._queue: asyncio.Queue[dict[str, str]] = asyncio.Queue()

    def put(self, partition: Partition, key: bytes, value: bytes) -> None:
        """Queue an entry; an empty value removes it."""
        record = {"topic": "servers", "key": key.decode(), "value": value.decode()}
        assert partition == EXECUTORS
        self._queue.put_nowait(record)

    async def run(self) -> None:
        """Write queued entries until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                record = await self._queue.get()
                async with session.post(self._url, json=record) as response:
                    response.raise_for_status()


@dataclass
class ExecutorWorld(HallExecutors):
    """Executors with sockets, with the same checks as in virtual time.

    Attributes:
        done_at: When each task was first done.
        run_done_at: When each run was done.
        started_at: When runs of each job started.
        started_in_hall: When runs started in each hall.
        lease_expired_at: When the lease of each executor was last expired, by incarnation.
    """

    done_at: dict[TaskName, float] = field(default_factory=dict)
    run_done_at: dict[tuple[str, TaskName, int], float] = field(default_factory=dict)
    started_at: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    started_in_hall: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    lease_expired_at: dict[str, float] = field(default_factory=dict)

    def judge_start(self, executor: MemoryExecutor, order: StartOrder) -> None:
        """Record a start and check it; a job that was never registered has no steps to check."""
        self.started_at[order.task.job_id].append(executor.now)
        self.started_in_hall[executor.record.hall].append(executor.now)
        super().judge_start(executor, order)

    def judge_end(self, executor: MemoryExecutor, task: TaskName, run: int, kind: EndKind) -> None:
        """Record when tasks were done."""
        super().judge_end(executor, task, run, kind)
        if kind is EndKind.DONE:
            self.done_at.setdefault(task, executor.now)
            self.run_done_at[executor.incarnation_name, task, run] = executor.now

    def judge_acknowledged(self, executor: MemoryExecutor, end: EndedTask) -> None:
        """Check that a task was not started between its end and the end's acknowledgement.

        If the lease expired in between, the owner may have given up on the executor before it
        learned of the end, so a further start is allowed.
        """
        incarnation = executor.incarnation_name
        done_at = self.run_done_at.get((incarnation, end.task, end.run), 0.0)
        if end.kind is EndKind.DONE and self.lease_expired_at.get(incarnation, 0.0) > done_at:
            return
        super().judge_acknowledged(executor, end)
        if end.kind is EndKind.DONE and self.starts[end.task][-1] > done_at:
            self.violations.append(f"TWICE {end.task} started after run {end.run} was done")

    def record_lease_expiry(self, address: str) -> None:
        """Record the time if the lease of the executor at an address is expired."""
        executor = self.executors.get(address)
        if executor and executor.clock >= executor.until:
            self.lease_expired_at[executor.incarnation_name] = executor.now


class ExecutorControl:
    """Commands that the parent process sends to the executors."""

    def __init__(self, world: ExecutorWorld, front: RefusingFront) -> None:
        self._world = world
        self._front = front

    def job(self, job: dict[str, str]) -> None:
        """Register a job before it is first submitted.

        With ``crash_after_s``, the job's first task crashes each executor that starts it.
        """
        self._world.specs[job["id"]] = job_from_wire(job["id"], QUEUE.name, job["body"].encode())
        if "crash_after_s" in job:
            first = TaskName(job["id"], 0, 0, 0)
            self._world.crashing.after_s[first] = float(job["crash_after_s"])

    def executor(self, command: dict[str, str]) -> None:
        """Start a new executor at a local ``port`` that hosts reach at an ``address``."""
        self._front.addresses[int(command["port"])] = command["address"]
        self._world.add_executor(command["hall"], command["address"])

    def crash(self, command: dict[str, Any]) -> list[str]:
        """Crash an executor and return the tasks that ran there; ``back`` replaces it at once."""
        executor = self._world.executors[command["address"]]
        if not executor.alive:
            return []
        self._world.crash_executor(command["address"], back=command["back"])
        return list(map(task_to_wire, executor.running))

    def restart(self, command: dict[str, Any]) -> None:
        """Crash an executor and restart it with the same id but without its previous state."""
        if self._world.executors[command["address"]].alive:
            self._world.restart_executor(**command)

    def resize(self, command: dict[str, Any]) -> None:
        """Change the capacity of a running executor."""
        if self._world.executors[command["address"]].alive:
            self._world.resize(command["address"], command["milli_cpu"])

    def refuse(self, command: dict[str, Any]) -> None:
        """Let an executor carry out no start; without ``answers``, end that again."""
        self._front.refusing.pop(command["address"], None)
        if "answers" in command:
            self._front.refusing[command["address"]] = command["answers"]

    def begun(self, job_ids: list[str]) -> list[str]:
        """Return those of some jobs of which a task has started."""
        return [job_id for job_id in job_ids if job_id in self._world.started_at]

    def drain(self, command: dict[str, str]) -> None:
        """Register an executor as draining."""
        executor = self._world.executors[command["address"]]
        if executor.alive:
            self._world.register(executor, draining=True)

    def overwrite(self, command: dict[str, Any]) -> None:
        """Put an entry with changed fields in the place of a running executor's."""
        executor = self._world.executors[command["address"]]
        if not executor.alive:
            return
        fields = {"born": executor.started_at_ms, **command["changes"]}
        entry = json.dumps(self._world.entry_fields(executor.record, **fields))
        entry = entry.replace(json.dumps(NESTED_MARK), _NESTED)
        self._world.enter(executor.record.executor_id, entry.encode())

    def register(self, command: dict[str, str]) -> None:
        """Let a running executor write its own entry."""
        executor = self._world.executors[command["address"]]
        if executor.alive:
            self._world.register(executor)

    def world(self, values: dict[str, Any]) -> None:
        """Set attributes of the world: ``failing_share``, ``late_share``, ..."""
        for name, value in values.items():
            setattr(self._world, name, value)

    def observed(self, _argument: None) -> dict[str, Any]:
        """Return what the executors have observed so far."""
        world = self._world
        alive = [executor for executor in world.executors.values() if executor.alive]
        for executor in alive:
            executor.advance()
        return asdict(
            Observed(
                broken=world.violations,
                done_at={task_to_wire(task): at for task, at in world.done_at.items()},
                started_at=dict(world.started_at),
                started_in_hall=dict(world.started_in_hall),
                running=[task_to_wire(task) for e in alive for task in e.running],
                failed={task_to_wire(task): count for task, count in world.failed.items()},
                listed_ends=sum(len(executor.ended) for executor in alive),
                crashes={
                    task_to_wire(task): n for task, n in world.crashing.crashes_during_run.items()
                },
            )
        )


@dataclass(frozen=True, slots=True)
class Observed:
    """What the executors have observed.

    Attributes:
        broken: Violations by orders.
        done_at: Steady time at which each task was first done.
        started_at: Steady times at which runs of each job started.
        running: Tasks that currently run.
        failed: Number of acknowledged failed ends, by task.
        listed_ends: Number of ends that executors report and no owner has acknowledged.
        crashes: Number of executors that crashed while a task ran there, by task.
        started_in_hall: Steady times at which runs started in each hall.
    """

    broken: list[str]
    done_at: dict[str, float]
    started_at: dict[str, list[float]]
    running: list[str]
    failed: dict[str, int]
    listed_ends: int
    crashes: dict[str, int] = field(default_factory=dict)
    started_in_hall: dict[str, list[float]] = field(default_factory=dict)


async def main(seed: int, executors: int, store_control: str) -> None:
    """Serve until standard input is closed."""
    world = ExecutorWorld(seed=seed, reduced_capacity_applies_after_s=SHRUNK_CAPACITY_GRACE_S)
    registrations = Registrations(store_control)
    world.store = registrations  # type: ignore[assignment]
    writing = asyncio.create_task(registrations.run())
    front = RefusingFront(world)
    front.on_order = world.record_lease_expiry
    addresses = {}
    for number in range(executors):
        addresses[f"executor-{number}"] = await listen(front.handle)
    control = ExecutorControl(world, front)
    await serve(control, addresses)
    writing.cancel()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]))
