"""A deployment of hosts, executors and a store in virtual time, with a judge of its runs.

The hosts run the complete product except for its sockets. The judge observes the executors.
"""

from __future__ import annotations

import asyncio
from contextvars import copy_context
from dataclasses import dataclass, field

from linkspan.host.host import Adapter, Host
from linkspan.jobs.job_registry import JOBS
from linkspan.metrics import HostMetrics
from linkspan.model.configuration import Configuration, Service
from linkspan.model.settings import Bounds, HostSettings, StoreLimits
from linkspan.platform.jobs import JsonCallerFormat
from linkspan.platform.records import evacuated_hall_from_wire
from linkspan.shard._context import Executors
from linkspan.shard.messages import TaskName
from linkspan.shard.operator.records import OperatorFormat
from linkspan.shard.planning.advice import PolicyService
from linkspan.store.types import Partition, Store
from tests.evacuations import Evacuations
from tests.event_recorder import EventRecorder
from tests.hall_callers import HallCallers
from tests.hall_executors import EXECUTORS, HallExecutors
from tests.running_host import RunningHost
from tests.standins.memory_executor import ExecutorLink, MemoryExecutor
from tests.standins.memory_store import StoreLink
from tests.virtual_time import HOST, virtual_loop, world_time
from tests.wire_addresses import decode_executor

CONFIGURATION = Partition("operator", keyed=True)


@dataclass
class HallWorld(HallCallers, HallExecutors):
    """A deployment and the promises that it broke."""

    halls: tuple[str, ...] = ("east",)
    hosts_per_hall: int = 2
    executors_per_hall: int = 3
    lists_machines: bool = True
    policy: PolicyService | None = None
    loaded_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.log = EventRecorder()
        self.evacuations = Evacuations(self)

    @property
    def problems(self) -> list[str]:
        """Broken promises, and errors that the product did not handle."""
        self.look_at_records()
        crashes = [f"CRASHED {fields}" for fields in self.log.named("CRASHED")]
        return self.violations + crashes

    def look_at_records(self) -> None:
        """Judge the final job states written to the store since the last call."""
        entries = self.store.log(JOBS).entries
        self.violations += self.failed_jobs.judge_records(entries)
        self.violations += self.succeeded_jobs.judge_records(entries)

    async def begin(self) -> None:
        """Start executors and hosts, and wait 2 s for the hosts to claim their shards."""
        configuration = Configuration(3, {self.queue.name: self.queue}, {"pool": Service("pool")})
        self.configuration = configuration
        self.publish()
        for hall in self.halls:
            for index in range(self.executors_per_hall):
                self.add_executor(hall, f"{hall}-{index}:1")
        self._beats = asyncio.create_task(self.beat())
        self._checks = asyncio.create_task(self.check_cancelled())
        self._samples = asyncio.create_task(self.evacuations.sample_faults())
        for name, _ in self.host_names():
            self.start_host(name)
        await asyncio.sleep(2.0)

    def publish(self) -> None:
        """Write the operator's configuration record."""
        version = str(self.configuration.version).encode()
        self.store.put(CONFIGURATION, b"config", version)

    def evacuate(self, hall: str, value: bytes = b"{}") -> None:
        """Write the operator's record that evacuates a hall."""
        self.store.put(CONFIGURATION, f"evacuate/{hall}".encode(), value)
        self.evacuations.begin(hall)

    def reopen(self, hall: str) -> None:
        """Withdraw the evacuation of a hall."""
        self.store.put(CONFIGURATION, f"evacuate/{hall}".encode(), b"")
        self.evacuations.end(hall)

    def judge_prompt_start(self, executor: MemoryExecutor, task: TaskName) -> None:
        """Judge a start that was carried out without delay."""
        super().judge_prompt_start(executor, task)
        broken = self.evacuations.on_start(executor)
        self.violations += [f"{world_time():.2f} {line} of {task}" for line in broken]

    def host_names(self) -> list[tuple[str, str]]:
        return [(f"{h}-host-{i}", h) for h in self.halls for i in range(self.hosts_per_hall)]

    def start_host(self, name: str) -> RunningHost:
        incarnation = self.next_incarnation()
        hall = dict(self.host_names())[name]
        settings = HostSettings(
            name, hall, self.halls, "", "", StoreLimits(""), bounds=self.bounds()
        )
        adapter = Adapter(
            store=self.store_link(name),
            executors=lambda token: self.link(name, token),
            machines=self if self.lists_machines else None,
            policy=self.policy,
            caller_format=JsonCallerFormat(),
            operator_format=OperatorFormat(
                CONFIGURATION,
                b"config",
                lambda _value: self.configuration,
                evacuated_hall_from_wire,
            ),
            executor_records=EXECUTORS,
            decode_executor=decode_executor,
        )
        host = Host(
            settings,
            adapter,
            incarnation=f"life-{incarnation}",
            log=self.log,
            metrics=HostMetrics(),
            loaded_s=self.loaded_s.get(name, 0.0),
        )
        context = copy_context()
        context.run(HOST.set, f"{name} {incarnation}")
        loop = asyncio.get_running_loop()
        running = RunningHost(host, loop.create_task(host.run(), context=context), context)
        self.hosts[name] = running
        return running

    def bounds(self) -> Bounds:
        return Bounds(max_lease_s=self.max_lease_s)

    def store_link(self, host: str) -> Store:
        """Return a host's link to the store."""
        return StoreLink(self.store, host)

    def link(self, host: str, token: int) -> Executors:
        """Return the link of a host's tenure to all executors."""
        return ExecutorLink(self, host, token)

    def kill_host(self, name: str) -> None:
        self.hosts.pop(name).task.cancel()

    def freeze_host(self, name: str) -> None:
        """Freeze a host like a stopped process. Its pending calls to others proceed."""
        virtual_loop().freeze(self.hosts[name].process)
        self.faulty_until = float("inf")

    def suspend_host(self, name: str) -> None:
        """Suspend a host's machine: this stops its steady clock and timers, too."""
        virtual_loop().suspend(self.hosts[name].process)
        self.faulty_until = float("inf")

    def resume(self, running: RunningHost) -> None:
        """Resume a suspended machine."""
        self.record_fault()
        if running in self.hosts.values():
            virtual_loop().resume(running.process)

    def thaw(self, running: RunningHost) -> None:
        """End the freeze of a process. It runs all callbacks that came due during the freeze."""
        self.record_fault()
        if running in self.hosts.values():
            virtual_loop().thaw(running.process)

    async def remove_host(self, name: str) -> None:
        """Drain and stop a host for good."""
        running = self.hosts[name]
        await running.host.drain(notice_s=0.2, limit_s=3.0)
        if self.hosts.get(name) is running:
            self.kill_host(name)

    def cuts_around(self, hall: str) -> set[tuple[str, str]]:
        """Return the pairs of host and executor that the isolation of a hall separates."""
        return {
            (name, address)
            for name, own in self.host_names()
            for address, executor in self.executors.items()
            if (own == hall) != (executor.record.hall == hall)
        }

    def owner(self, shard: int = 0) -> str | None:
        """Return the host that currently owns a shard."""
        for name, running in self.hosts.items():
            if running.host.candidates[shard].tenure:
                return name
        return None
