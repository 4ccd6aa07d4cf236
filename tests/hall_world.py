"""Hosts, executors and a store of one deployment in virtual time, with a judge.

Everything of the product runs but its sockets; the judge sees what executors see.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Coroutine
from contextvars import Context, copy_context
from dataclasses import dataclass, field
from random import Random
from typing import Any

from aiohttp import web

from linkspan.host.front import Front
from linkspan.host.host import Adapter, Host
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from linkspan.metrics import HostMetrics
from linkspan.model.configuration import Configuration, Service
from linkspan.model.settings import Bounds, HostSettings, StoreLimits
from linkspan.platform.jobs import CallerBodies
from linkspan.platform.records import executor_from_wire
from linkspan.shard._context import Executors
from linkspan.shard.machines import MachineList, MachineRecord, MachineState
from linkspan.shard.messages import (
    ExecutorRecord,
    StartOutcome,
    TaskName,
)
from linkspan.shard.planning.advice import PolicyService
from linkspan.store.types import Partition, Store
from tests.job_builders import QUEUE, job_body, state_of
from tests.kept_lines import Lines
from tests.one_hall import OneHall
from tests.run_judge import RunJudge
from tests.standins.memory_executor import ExecutorLink, MemoryExecutor
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import HOST, virtual_loop

CONFIGURATION = Partition("operator", keyed=True)
EXECUTORS = Partition("executors", keyed=True)
HEARTBEAT_S = 1.5


@dataclass
class RunningHost:
    """A host's process."""

    host: Host
    task: asyncio.Task[None]
    context: Context

    @property
    def process(self) -> str:
        """Name of the process: the host's and its life's."""
        return self.context[HOST]


@dataclass
class HallWorld(RunJudge):
    """A deployment and what went wrong in it."""

    halls: tuple[str, ...] = ("east",)
    hosts_per_hall: int = 2
    executors_per_hall: int = 3
    seed: int = 0
    milli_cpu: int = 8_000
    max_lease_s: float = 10.0
    failing_share: float = 0.0
    late_share: float = 0.0
    late_most_s: float = 8.0
    lost_answer_share: float = 0.0
    lists_machines: bool = True
    guards_room: bool = True
    policy: PolicyService | None = None
    loaded_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.store = MemoryStore(self.seed)
        self.one_hall = OneHall(self.store)
        self.log = Lines()
        self.hosts: dict[str, RunningHost] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.accepted: set[str] = set()
        self.late_starts: Counter[StartOutcome] = Counter()
        self._lives = 0
        self._jobs = 0

    @property
    def problems(self) -> list[str]:
        """Promises broken, and errors that the product did not expect."""
        crashes = [f"CRASHED {fields}" for fields in self.log.named("CRASHED")]
        return self.broken + crashes

    # Building

    async def begin(self) -> None:
        """Start executors and hosts and let them settle."""
        configuration = Configuration(3, {QUEUE.name: QUEUE}, {"pool": Service("pool")})
        self.configuration = configuration
        self.publish()
        for hall in self.halls:
            for index in range(self.executors_per_hall):
                self.add_executor(hall, f"{hall}-{index}:1")
        self._beats = asyncio.create_task(self._beat())
        self._checks = asyncio.create_task(self.check_cancelled())
        for name, _ in self.host_names():
            self.start_host(name)
        await asyncio.sleep(2.0)

    def publish(self) -> None:
        """Write the configuration as the operator does."""
        version = str(self.configuration.version).encode()
        self.store.put(CONFIGURATION, b"config", version)

    def host_names(self) -> list[tuple[str, str]]:
        return [(f"{h}-host-{i}", h) for h in self.halls for i in range(self.hosts_per_hall)]

    def start_host(self, name: str) -> RunningHost:
        self._lives += 1
        hall = dict(self.host_names())[name]
        settings = HostSettings(
            name, hall, self.halls, "", "", StoreLimits(""), bounds=self.bounds()
        )
        adapter = Adapter(
            store=self.store_link(name),
            executors=lambda token: self.link(name, token),
            machines=self if self.lists_machines else None,
            policy=self.policy,
            bodies=CallerBodies(),
            configuration_records=CONFIGURATION,
            configuration_key=b"config",
            executor_records=EXECUTORS,
            decode_configuration=lambda _value: self.configuration,
            decode_executor=executor_from_wire,
        )
        host = Host(
            settings,
            adapter,
            incarnation=f"life-{self._lives}",
            log=self.log,
            metrics=HostMetrics(),
            loaded_s=self.loaded_s.get(name, 0.0),
        )
        context = copy_context()
        context.run(HOST.set, f"{name} {self._lives}")
        loop = asyncio.get_running_loop()
        running = RunningHost(host, loop.create_task(host.run(), context=context), context)
        self.hosts[name] = running
        return running

    def bounds(self) -> Bounds:
        return Bounds(max_lease_s=self.max_lease_s)

    def store_link(self, host: str) -> Store:
        """Return a host's way to the store."""
        return StoreLink(self.store, host)

    def link(self, host: str, token: int) -> Executors:
        """Return a tenure's way to all executors."""
        return ExecutorLink(self, host, token)

    def kill_host(self, name: str) -> None:
        self.hosts.pop(name).task.cancel()

    def freeze_host(self, name: str) -> None:
        """Let a host stand still, as a stopped process does; what it asked for goes on."""
        virtual_loop().freeze(self.hosts[name].process)
        self.troubled_until = float("inf")

    def thaw(self, running: RunningHost) -> None:
        """Let a process that stood still go on with all that came due meanwhile."""
        self.trouble()
        if running in self.hosts.values():
            virtual_loop().thaw(running.process)

    async def remove_host(self, name: str) -> None:
        """Stop a host as planned; it does not come back."""
        running = self.hosts[name]
        await running.host.drain(notice_s=0.2, limit_s=3.0)
        if self.hosts.get(name) is running:
            self.kill_host(name)

    def add_executor(self, hall: str, address: str) -> MemoryExecutor:
        self._lives += 1
        record = ExecutorRecord(
            f"life-{self._lives}",
            "pool",
            address,
            hall,
            Demand(self.milli_cpu, 32_000),
            frozenset(("kind", f"rack-{hall}")),
            f"rack-{hall}",
        )
        slow_clock = 1.0 - 0.02 * self.random.random()
        executor = MemoryExecutor(self, record, slow_clock=slow_clock)
        self.executors[address] = executor
        self.register(executor)
        return executor

    def register(self, executor: MemoryExecutor, *, draining: bool = False) -> None:
        entry = self.entry_fields(executor.record, draining=draining)
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

    def forget_registration(self, executor: MemoryExecutor) -> None:
        """Drop an executor's entry while it serves on."""
        self.store.put(EXECUTORS, executor.record.executor_id.encode(), b"")

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for executor in self.executors.values():
                executor.advance()

    def crash_executor(self, address: str, *, back: bool = True) -> None:
        executor = self.executors[address]
        executor.alive = False
        self.store.put(EXECUTORS, executor.record.executor_id.encode(), b"")
        if back:
            self.add_executor(executor.record.hall, address)

    async def machines(self) -> MachineList:
        """Answer as the machine service."""
        await asyncio.sleep(0.005)
        return tuple(
            MachineRecord(address, "pool", MachineState.UP, e.record.executor_id)
            for address, e in self.executors.items()
            if e.alive
        )

    # What executors ask

    def at(self, address: str) -> MemoryExecutor | None:
        return self.executors.get(address)

    def is_cut(self, host: str, executor: MemoryExecutor) -> bool:
        return (host, executor.record.address) in self.cuts

    def cut(self, host: str, hall: str) -> None:
        """Cut a host from a hall's executors."""
        self.cuts |= {(host, a) for a, e in self.executors.items() if e.record.hall == hall}

    def cuts_around(self, hall: str) -> set[tuple[str, str]]:
        """Return the pairs of host and executor that a cut around a hall separates."""
        return {
            (name, address)
            for name, own in self.host_names()
            for address, executor in self.executors.items()
            if (own == hall) != (executor.record.hall == hall)
        }

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

    # Callers

    def new_job(self, *steps: StepSpec) -> JobSpec:
        self._jobs += 1
        return JobSpec(f"{self._jobs:016x}", QUEUE.name, f"payload {self._jobs}", steps)

    async def submit(self, name: str, spec: JobSpec, *, patience_s: float = 3.0) -> int:
        """Submit a job at a host and return the status, 0 if no answer came in time."""
        self.specs[spec.job_id] = spec

        async def serve(front: Front) -> web.Response:
            # A host that stood still reads what came in meanwhile, also late.
            deadline = asyncio.get_running_loop().time() + patience_s
            return await front.submit(QUEUE, spec.job_id, job_body(spec), deadline)

        answer = await self._call(name, serve, patience_s)
        if answer is None:
            return 0
        if answer.status == 200:
            self.accepted.add(spec.job_id)
        return answer.status

    async def ask(self, name: str, job_id: str, *, patience_s: float = 3.0) -> str:
        """Return a job's state as a caller sees it, empty if no answer came in time."""
        answer = await self._call(name, lambda front: front.show(job_id), patience_s)
        return state_of(answer) if answer else ""

    async def _call(
        self,
        name: str,
        serve: Callable[[Front], Coroutine[Any, Any, web.Response]],
        patience_s: float,
    ) -> web.Response | None:
        """Have a host's process serve a call, and return its answer if it came in time."""
        running = self.hosts[name]
        loop = asyncio.get_running_loop()
        serving = loop.create_task(serve(running.host.front), context=running.context)
        done, _ = await asyncio.wait([serving], timeout=patience_s)
        if not done or self.hosts.get(name) is not running:
            return None
        return serving.result()

    async def cancel(self, name: str, job_id: str) -> int:
        """Cancel a job at a host and return the status."""
        deadline = asyncio.get_running_loop().time() + 3.0
        answer = await self._call(name, lambda front: front.cancel(job_id, deadline), 3.0)
        if answer is None:
            return 0
        if answer.status == 200:
            self.cancelled.setdefault(job_id, asyncio.get_running_loop().time())
        return answer.status

    async def state(self, name: str, job_id: str) -> str:
        answer = await self.hosts[name].host.front.show(job_id)
        return state_of(answer)

    async def wait_for(self, name: str, job_id: str, state: str, *, limit_s: float = 30.0) -> None:
        async with asyncio.timeout(limit_s):
            while await self.state(name, job_id) != state:
                await asyncio.sleep(0.1)

    def owner(self, shard: int = 0) -> str | None:
        """Return the host that runs a shard at present."""
        for name, running in self.hosts.items():
            if running.host.candidates[shard].tenure:
                return name
        return None
