"""Hosts, executors and a store of one deployment in virtual time, with a judge.

Everything of the product runs but its sockets; the judge sees what executors see.
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
from linkspan.platform.records import executor_from_wire
from linkspan.shard._context import Executors
from linkspan.shard.planning.advice import PolicyService
from linkspan.store.types import Partition, Store
from tests.hall_callers import HallCallers
from tests.hall_executors import EXECUTORS, HallExecutors
from tests.kept_lines import Lines
from tests.running_host import RunningHost
from tests.standins.memory_executor import ExecutorLink
from tests.standins.memory_store import StoreLink
from tests.virtual_time import HOST, virtual_loop

CONFIGURATION = Partition("operator", keyed=True)


@dataclass
class HallWorld(HallCallers, HallExecutors):
    """A deployment and what went wrong in it."""

    halls: tuple[str, ...] = ("east",)
    hosts_per_hall: int = 2
    executors_per_hall: int = 3
    lists_machines: bool = True
    policy: PolicyService | None = None
    loaded_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.log = Lines()

    @property
    def problems(self) -> list[str]:
        """Promises broken, and errors that the product did not expect."""
        self.look_at_records()
        crashes = [f"CRASHED {fields}" for fields in self.log.named("CRASHED")]
        return self.violations + crashes

    def look_at_records(self) -> None:
        """Judge the final states that are on record since the last look."""
        self.violations += self.failed_jobs.look(self.store.log(JOBS).entries)

    async def begin(self) -> None:
        """Start executors and hosts and let them settle."""
        configuration = Configuration(3, {self.queue.name: self.queue}, {"pool": Service("pool")})
        self.configuration = configuration
        self.publish()
        for hall in self.halls:
            for index in range(self.executors_per_hall):
                self.add_executor(hall, f"{hall}-{index}:1")
        self._beats = asyncio.create_task(self.beat())
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
        life = self.next_life()
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
            configuration_records=CONFIGURATION,
            configuration_key=b"config",
            executor_records=EXECUTORS,
            decode_configuration=lambda _value: self.configuration,
            decode_executor=executor_from_wire,
        )
        host = Host(
            settings,
            adapter,
            incarnation=f"life-{life}",
            log=self.log,
            metrics=HostMetrics(),
            loaded_s=self.loaded_s.get(name, 0.0),
        )
        context = copy_context()
        context.run(HOST.set, f"{name} {life}")
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

    def suspend_host(self, name: str) -> None:
        """Suspend a host's machine: unlike a freeze, its steady clock and timers stand, too."""
        virtual_loop().suspend(self.hosts[name].process)
        self.troubled_until = float("inf")

    def resume(self, running: RunningHost) -> None:
        """Let a machine that was suspended go on."""
        self.trouble()
        if running in self.hosts.values():
            virtual_loop().resume(running.process)

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

    def cuts_around(self, hall: str) -> set[tuple[str, str]]:
        """Return the pairs of host and executor that a cut around a hall separates."""
        return {
            (name, address)
            for name, own in self.host_names()
            for address, executor in self.executors.items()
            if (own == hall) != (executor.record.hall == hall)
        }

    def owner(self, shard: int = 0) -> str | None:
        """Return the host that runs a shard at present."""
        for name, running in self.hosts.items():
            if running.host.candidates[shard].tenure:
                return name
        return None
