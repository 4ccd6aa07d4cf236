"""The executors of one deployment in virtual time: entries, links, and how runs go."""

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
from tests.one_hall import OneHall
from tests.run_judge import CONTACT_S, RunJudge
from tests.standins.memory_executor import MemoryExecutor
from tests.standins.memory_store import MemoryStore
from tests.virtual_time import world_time

EXECUTORS = Partition("executors", keyed=True)
HEARTBEAT_S = 1.5

ENTRY_GOES_S = 3 * HEARTBEAT_S
"""Silence after which an executor's entry goes."""

FIRST_BIRTH_MS = 1_700_000_000_000
"""Time of day, in milliseconds, at which the world begins."""


@dataclass
class HallExecutors(RunJudge):
    """Executors that begin, crash, leave, and are cut from hosts.

    Attributes:
        resets: Whether a crash resets the executor's connections, and calls to its address are
            refused, so that it is found at once and not after a time-out.
        crash_back_s: Seconds after which an executor is back that a task crashed.
        entry_after_s: Seconds after which an executor that started again tells of its next life.
        late_to_next_life: Whether an order that is carried out late is carried out by the life that
            has the executor's id by then, and not only by the one that it was sent to.
        shrunk_counts_s: Seconds after which starts are judged by a room that shrank.
    """

    seed: int = 0
    milli_cpu: int = 8_000
    max_lease_s: float = 10.0
    failing_share: float = 0.0
    late_share: float = 0.0
    late_most_s: float = 8.0
    lost_answer_share: float = 0.0
    guards_room: bool = True
    resets: bool = False
    crash_back_s: float = 1.5
    entry_after_s: float = 0.0
    late_to_next_life: bool = False
    shrunk_counts_s: float = CONTACT_S + HEARTBEAT_S

    def __post_init__(self) -> None:
        super().__post_init__()
        self.random = Random(self.seed)
        self.store = MemoryStore(self.seed)
        self.one_hall = OneHall(self.store)
        self.cuts: set[tuple[str, str]] = set()
        self.late_starts: Counter[StartOutcome] = Counter()
        self._lives = 0
        self._assembled: set[tuple[TaskName, int]] = set()

    def next_life(self) -> int:
        """Return the number of the next process, an executor's or a host's."""
        self._lives += 1
        return self._lives

    def add_executor(
        self, hall: str, address: str, *, executor_id: str = "", clock_s: float | None = None
    ) -> MemoryExecutor:
        """Begin an executor.

        Args:
            hall: Its hall.
            address: Where it takes orders.
            executor_id: Id of an executor before it that it has again; by default a new one.
            clock_s: What its clock shows at first; by default the time since the world began.
        """
        record = ExecutorRecord(
            executor_id or f"life-{self.next_life()}",
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
            started_at_ms=FIRST_BIRTH_MS + int(now * 1000),
            clock_ahead_s=0.0 if clock_s is None else clock_s - now * slow_clock,
        )
        self.executors[address] = executor
        if executor_id and self.entry_after_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.entry_after_s, self._tell, executor, context=Context())
        else:
            self.register(executor)
        return executor

    def _tell(self, executor: MemoryExecutor) -> None:
        if executor.alive:
            self.register(executor)

    def register(self, executor: MemoryExecutor, *, draining: bool = False) -> None:
        entry = self.entry_fields(executor.record, draining=draining, born=executor.started_at_ms)
        self.enter(executor.record.executor_id, json.dumps(entry).encode())

    def entry_fields(
        self, record: ExecutorRecord, *, draining: bool = False, **changes: object
    ) -> dict[str, object]:
        """Return the fields of an executor's entry."""
        fields: dict[str, object] = {
            "service": record.service,
            "address": record.address,
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
        """Write an executor's entry, whoever it comes from."""
        self.enter_under(executor_id.encode(), entry)

    def enter_under(self, key: bytes, entry: bytes) -> None:
        """Write an entry under a key that may be no executor's id."""
        self.store.put(EXECUTORS, key, entry)

    def resize(self, address: str, milli_cpu: int, memory_mb: int = 32_000) -> None:
        """Let an executor's room shrink or grow while it runs, as its entry then tells."""
        executor = self.executors[address]
        known_by = executor.now + self.shrunk_counts_s
        executor.resize(Demand(milli_cpu, memory_mb), known_by=known_by)
        self.register(executor)

    def forget_registration(self, executor: MemoryExecutor) -> None:
        """Drop an executor's entry while it serves on."""
        self.store.put(EXECUTORS, executor.record.executor_id.encode(), b"")

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for executor in self.executors.values():
                executor.advance()

    def crash_executor(self, address: str, *, back: bool = True) -> None:
        executor = self.executors[address]
        self._fall(executor)
        self.forget_registration(executor)
        if back:
            self.add_executor(executor.record.hall, address)

    def restart_executor(
        self, address: str, *, down_s: float = 0.5, clock_s: float | None = 0.0
    ) -> None:
        """Let an executor fall and start again under its id, with all counts anew.

        Args:
            address: Where it is.
            down_s: Time for which it is away. Its entry stays unless that is long.
            clock_s: What its clock shows then; ``None`` for one that went on.
        """
        executor = self.executors[address]
        self._fall(executor)
        if down_s >= ENTRY_GOES_S:
            self.forget_registration(executor)
        loop = asyncio.get_running_loop()
        loop.call_later(down_s, self._start_again, executor, clock_s, context=Context())

    def _start_again(self, fallen: MemoryExecutor, clock_s: float | None) -> None:
        record = fallen.record
        if self.executors[record.address] is fallen:
            self.add_executor(
                record.hall, record.address, executor_id=record.executor_id, clock_s=clock_s
            )

    def _fall(self, executor: MemoryExecutor) -> None:
        self.look_at_records()
        executor.alive = False
        self.crashing.under.update(executor.running.keys())
        self._break_gangs(executor)
        if self.resets:
            executor.changed.set()

    def assembled(self, member: TaskName, run: int) -> bool:
        """Whether all members of a gang's run were there at once, now or before."""
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
        """Whether a run works: a member of a gang does once all of them are there."""
        return not self.step_of(task).gang or self.assembled(task, run)

    def _break_gangs(self, fallen: MemoryExecutor) -> None:
        """End the other members of the gangs that lost one with an executor."""
        members = [r for r in fallen.running.values() if self.step_of(r.task).gang]
        for other in self.executors.values():
            for member in members if other.alive else ():
                other.break_member(member.task, member.run)

    def crash_after_start(self, executor: MemoryExecutor, task: TaskName, run: int) -> None:
        """Let an executor fall some time after the begin of a run, if its task does that."""
        after_s = self.crashing.after_s.get(task)
        if after_s is None:
            return
        loop = asyncio.get_running_loop()
        # Whatever becomes of the host that ordered it.
        loop.call_later(after_s, self._crash_under, executor, task, run, context=Context())

    def _crash_under(self, executor: MemoryExecutor, task: TaskName, run: int) -> None:
        present = executor.running.get(task)
        if not executor.alive or present is None or present.run != run:
            return
        self.crashing.on_crash(task, set(executor.running))
        address, hall = executor.record.address, executor.record.hall
        self.crash_executor(address, back=False)
        loop = asyncio.get_running_loop()
        loop.call_later(self.crash_back_s, self._come_back, hall, address, context=Context())

    def _come_back(self, hall: str, address: str) -> None:
        if not self.executors[address].alive:
            self.add_executor(hall, address)

    async def machines(self) -> MachineList:
        """Answer as the machine service."""
        await asyncio.sleep(0.005)
        return tuple(
            MachineRecord(address, "pool", MachineState.UP, e.record.executor_id)
            for address, e in self.executors.items()
            if e.alive
        )

    # What executors and their links ask

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
        """Return what executors tell of a run's latency or use, nothing here."""
        return None

    def fails(self, task: TaskName, run: int) -> bool:
        return self.random.random() < self.failing_share

    def late_by(self) -> float:
        if self.late_share and self.random.random() < self.late_share:
            return 2.0 + (self.late_most_s - 2.0) * self.random.random()
        return 0.0

    def loses_answer(self) -> bool:
        return bool(self.lost_answer_share) and self.random.random() < self.lost_answer_share
