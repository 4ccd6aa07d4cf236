"""Executors of a deployment in virtual time: entries, links, crashes and run outcomes."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from contextvars import Context
from dataclasses import dataclass
from random import Random

from linkspan.jobs.spec import Demand
from linkspan.shard.machines import MachineList, MachineRecord, MachineState
from linkspan.shard.messages import ExecutorRecord, StartOutcome, TaskName
from linkspan.store.types import Partition
from tests.discovery import Discovery
from tests.one_hall import OneHall
from tests.run_judge import CONTACT_S, RunJudge
from tests.standins.memory_executor import MemoryExecutor
from tests.standins.memory_store import MemoryStore
from tests.virtual_time import world_time
from tests.wire_addresses import wire_address

EXECUTORS = Partition("executors", keyed=True)
HEARTBEAT_S = 1.5

ENTRY_EXPIRY_S = 3 * HEARTBEAT_S
"""Time without a heartbeat after which the platform removes an executor's entry."""

WORLD_START_MS = 1_700_000_000_000
"""Time of day, in milliseconds, at which the world begins."""


@dataclass
class HallExecutors(RunJudge):
    """Executors that start, crash, leave, and are cut off from hosts.

    Attributes:
        resets: Whether a crash resets the executor's connections and later calls to its address
            are refused, so that hosts detect the crash at once and not after a timeout.
        crash_restart_s: Seconds after which an executor restarts that a task crashed.
        entry_after_s: Seconds from a restart until the next incarnation writes its entry.
        late_to_next_incarnation: Whether an order that arrives late is carried out by the
            incarnation that has the executor's id then, and not only by the addressed one.
        plain_ids: Whether executors tell no start time, and return from a crash under a new id.
        reduced_capacity_applies_after_s: Seconds after which starts are judged by a reduced
            capacity.
        slow_poll_addresses: Executors that polls may reach late, as over a delayed link. Whichever
            incarnation has the id then carries the poll out, also if its caller has given up or
            has been killed.
        max_poll_delay_s: Longest delay of such a poll.
        discovery: Writes the entries to the store, by default at once.
        departed: Addresses of executors that have left for good.
        slowdowns: Factors by which runs take longer that start on an executor, by its address.
    """

    seed: int = 0
    milli_cpu: int = 8_000
    max_lease_s: float = 10.0
    failing_share: float = 0.0
    late_share: float = 0.0
    max_order_delay_s: float = 8.0
    lost_answer_share: float = 0.0
    guards_room: bool = True
    resets: bool = False
    crash_restart_s: float = 1.5
    entry_after_s: float = 0.0
    late_to_next_incarnation: bool = False
    plain_ids: bool = False
    reduced_capacity_applies_after_s: float = CONTACT_S + HEARTBEAT_S
    max_poll_delay_s: float = 0.0

    def __post_init__(self) -> None:
        super().__post_init__()
        self.random = Random(self.seed)
        # Polls draw from a generator of their own, so that they do not change the other draws.
        self.poll_random = Random(self.seed + 1)
        self.slow_poll_addresses: set[str] = set()
        self.slowdowns: dict[str, float] = {}
        self.discovery = Discovery()
        self.departed: set[str] = set()
        self.store = MemoryStore(self.seed)
        self.one_hall = OneHall(self.store)
        self.cuts: set[tuple[str, str]] = set()
        self.late_starts: Counter[StartOutcome] = Counter()
        self._incarnations = 0
        self._assembled: set[tuple[TaskName, int]] = set()

    def next_incarnation(self) -> int:
        """Return the number of the next incarnation of an executor or a host."""
        self._incarnations += 1
        return self._incarnations

    def add_executor(
        self,
        hall: str,
        address: str,
        *,
        executor_id: str = "",
        clock_s: float | None = None,
        entry_after_s: float = 0.0,
    ) -> MemoryExecutor:
        """Start an executor.

        Args:
            hall: Hall of the executor.
            address: Address at which it receives orders.
            executor_id: Id of a previous incarnation to reuse. By default a new id.
            clock_s: Initial reading of its clock. By default the time since the world's start.
            entry_after_s: Seconds until its entry is in the store; at a restart under a previous id
                by default those of the world.
        """
        if executor_id and not entry_after_s:
            entry_after_s = self.entry_after_s
        record = ExecutorRecord(
            executor_id or f"life-{self.next_incarnation()}",
            "pool",
            address,
            hall,
            Demand(self.milli_cpu, 32_000),
            frozenset(("kind", f"rack-{hall}")),
            f"rack-{hall}",
        )
        slow_clock = 1.0 - 0.02 * self.random.random()
        now = world_time()
        executor = MemoryExecutor(
            self,
            record,
            slow_clock=slow_clock,
            started_at_ms=None if self.plain_ids else WORLD_START_MS + int(now * 1000),
            clock_ahead_s=0.0 if clock_s is None else clock_s - now * slow_clock,
        )
        self.executors[address] = executor
        if entry_after_s:
            loop = asyncio.get_running_loop()
            loop.call_later(entry_after_s, self._register_if_alive, executor, context=Context())
        else:
            self.register(executor)
        return executor

    def _register_if_alive(self, executor: MemoryExecutor) -> None:
        if executor.alive:
            self.register(executor)

    def register(self, executor: MemoryExecutor, *, draining: bool = False) -> None:
        born = executor.started_at_ms
        started = {} if born is None else {"born": born}
        entry = self.entry_fields(executor.record, draining=draining, **started)
        self.enter(executor.record.executor_id, json.dumps(entry).encode())

    def entry_fields(
        self, record: ExecutorRecord, *, draining: bool = False, **changes: object
    ) -> dict[str, object]:
        """Return the fields of an executor's entry."""
        fields: dict[str, object] = {
            "service": record.service,
            "address": wire_address(record.address),
            "zone": record.hall,
            "version": "v1",
            "slots": 8,
            "state": "draining" if draining else "ready",
            "remainingMs": 2000 if draining else 0,
            "coldRemainingMs": 0,
            "callSeq": 1,
            "capacity": {
                "cpu": record.capacity.milli_cpu,
                "memMb": record.capacity.memory_mb,
                "gpu": record.capacity.gpus,
            },
            "labels": ["kind", record.rack],
        }
        return {**fields, **changes}

    def enter(self, executor_id: str, entry: bytes) -> None:
        """Write an executor's entry, of any content."""
        self.enter_under(executor_id.encode(), entry)

    def enter_under(self, key: bytes, entry: bytes) -> None:
        """Write an entry under any key, also one that is not an executor id."""
        self.discovery.write(lambda: self.store.put(EXECUTORS, key, entry))

    def resize(self, address: str, milli_cpu: int, memory_mb: int = 32_000) -> None:
        """Change the capacity of a running executor and publish it in its entry."""
        executor = self.executors[address]
        enforced_from = executor.now + self.reduced_capacity_applies_after_s
        executor.resize(Demand(milli_cpu, memory_mb), enforced_from=enforced_from)
        self.register(executor)

    def forget_registration(self, executor: MemoryExecutor) -> None:
        """Remove an executor's entry while the executor continues to run."""
        self.enter(executor.record.executor_id, b"")

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for executor in self.executors.values():
                executor.advance()

    def crash_executor(self, address: str, *, back: bool = True) -> None:
        executor = self.executors[address]
        self._crash(executor)
        self.forget_registration(executor)
        if back:
            self.add_executor(executor.record.hall, address)

    def restart_executor(
        self, address: str, *, down_s: float = 0.5, clock_s: float | None = 0.0
    ) -> None:
        """Crash an executor and restart it with all counters reset.

        It returns under the same id, or under a new one in a world of plain ids.

        Args:
            address: Address of the executor.
            down_s: Time until the restart. The entry stays if this is below ``ENTRY_EXPIRY_S``.
            clock_s: Clock reading after the restart. ``None`` for a clock that kept running.
        """
        executor = self.executors[address]
        self._crash(executor)
        if down_s >= ENTRY_EXPIRY_S:
            self.forget_registration(executor)
        loop = asyncio.get_running_loop()
        loop.call_later(down_s, self._restart_crashed, executor, clock_s, context=Context())

    def _restart_crashed(self, crashed: MemoryExecutor, clock_s: float | None) -> None:
        record = crashed.record
        if self.executors[record.address] is not crashed:
            return
        executor_id = record.executor_id
        if self.plain_ids:
            self.forget_registration(crashed)
            executor_id = ""
        self.add_executor(record.hall, record.address, executor_id=executor_id, clock_s=clock_s)

    def _crash(self, executor: MemoryExecutor) -> None:
        self.look_at_records()
        executor.alive = False
        self.crashing.crashes_during_run.update(executor.running.keys())
        self._break_gangs(executor)
        if self.resets:
            executor.changed.set()

    def assembled(self, member: TaskName, run: int) -> bool:
        """Whether all members of a gang's run have run at the same time, now or before."""
        gang = member._replace(index=0), run
        if gang not in self._assembled:
            present = {
                task
                for executor in self.executors.values()
                if executor.alive
                for task, other in executor.running.items()
                if task[:3] == member[:3] and other.run == run
            }
            if len(present) == self.step_of(member).count:
                self._assembled.add(gang)
        return gang in self._assembled

    def may_end(self, task: TaskName, run: int) -> bool:
        """Whether a run may finish: a gang member only after all members ran together."""
        return not self.step_of(task).gang or self.assembled(task, run)

    def _break_gangs(self, crashed: MemoryExecutor) -> None:
        """End the remaining members of gangs that lost a member in an executor's crash."""
        members = [r for r in crashed.running.values() if self.step_of(r.task).gang]
        for other in self.executors.values():
            for member in members if other.alive else ():
                other.break_member(member.task, member.run)

    def crash_after_start(self, executor: MemoryExecutor, task: TaskName, run: int) -> None:
        """Schedule the executor's crash after a start of a task that crashes executors."""
        after_s = self.crashing.after_s.get(task)
        if after_s is None:
            return
        loop = asyncio.get_running_loop()
        # An empty context: the crash happens even if the host that sent the order stops.
        loop.call_later(after_s, self._crash_under, executor, task, run, context=Context())

    def _crash_under(self, executor: MemoryExecutor, task: TaskName, run: int) -> None:
        present = executor.running.get(task)
        if not executor.alive or present is None or present.run != run:
            return
        self.crashing.on_crash(task, set(executor.running))
        address, hall = executor.record.address, executor.record.hall
        self.crash_executor(address, back=False)
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.crash_restart_s, self._restart_if_down, hall, address, context=Context()
        )

    def _restart_if_down(self, hall: str, address: str) -> None:
        if not self.executors[address].alive:
            self.add_executor(hall, address)

    async def machines(self) -> MachineList:
        """Return the machine list as the platform's machine service does."""
        await asyncio.sleep(0.005)
        return tuple(
            MachineRecord(address, "pool", MachineState.UP, e.record.executor_id)
            for address, e in self.executors.items()
            if e.alive
        )

    # Callbacks of executors and their links

    def at(self, address: str) -> MemoryExecutor | None:
        return self.executors.get(address)

    def is_cut(self, host: str, executor: MemoryExecutor) -> bool:
        return (host, executor.record.address) in self.cuts

    def cut(self, host: str, hall: str) -> None:
        """Cut a host from a hall's executors."""
        self.cuts |= {(host, a) for a, e in self.executors.items() if e.record.hall == hall}

    def running_time(self, task: TaskName) -> float:
        step = self.step_of(task)
        return 1e6 if step.standing else step.estimate_s * (0.8 + 0.4 * self.random.random())

    def figure(self, task: TaskName) -> float | None:
        """Return the latency or usage that executors report of a run; here always none."""
        return None

    def fails(self, task: TaskName, run: int) -> bool:
        return self.random.random() < self.failing_share

    def late_by(self) -> float:
        if self.late_share and self.random.random() < self.late_share:
            return 2.0 + (self.max_order_delay_s - 2.0) * self.random.random()
        return 0.0

    def poll_late_by(self, address: str) -> float:
        """Return how late a poll reaches an executor, in seconds."""
        if address not in self.slow_poll_addresses:
            return 0.0
        return self.max_poll_delay_s * self.poll_random.random()

    def loses_answer(self) -> bool:
        return bool(self.lost_answer_share) and self.random.random() < self.lost_answer_share
