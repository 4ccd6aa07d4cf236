"""The processes and network links of one run."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
from tests.standins.fault_proxy import FaultProxy

from soak.deployment import (
    CALLERS_PORT,
    GRACE_S,
    READINESS_PORT,
    Plan,
    configuration,
    host_address,
    write_settings,
)
from soak.executors import Observed
from soak.processes import HostProcess, StandIn

READINESS_TIMEOUT_S = 1.0

MAX_STARTING_HOSTS = 25
"""Maximum number of hosts that start at a time. While more of them take the processor, their calls
time out and are sent again, until the proxies have no files left."""

GROUP_START_LIMIT_S = 60.0
"""Longest time until these are ready."""

VERSION_STEP = 3
"""Increment of the configuration version, as versions increase but need not be consecutive."""


class World:
    """Starts and stops all processes and proxies of a run.

    Args:
        plan: Size and seed of the run.
        folder: Folder for settings and logs.

    Attributes:
        hosts: Hosts by name.
        callers: Proxy in front of each host's listener for callers, by name of the host.
        store_links: Proxy between each host and the store, by name of the host.
        executor_links: Proxy in front of each executor, by the address that it registers.
        callers_at: Address of each proxy in ``callers``, by name of the host.
        violations: Violations by the host processes themselves.
        rate_factor: Factor on the rate at which callers submit jobs.
        limits: Limits on callers' requests in the configurations to come, by their name there.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self._folder = folder
        self._stack = AsyncExitStack()
        self._executor_ports: dict[str, int] = {}
        self._executor_halls: dict[str, str] = {}
        self.hosts: dict[str, HostProcess] = {}
        self.callers: dict[str, FaultProxy] = {}
        self.store_links: dict[str, FaultProxy] = {}
        self.executor_links: dict[str, FaultProxy] = {}
        self.callers_at: dict[str, str] = {}
        self.violations: list[str] = []
        self.version = 0
        self.extra_routes = 0
        self.rate_factor = 1.0
        self.limits: dict[str, int] = {}

    @property
    def executor_addresses(self) -> list[str]:
        """Addresses of all executors."""
        return list(self._executor_ports)

    def hall_of(self, executor: str) -> str:
        """Return the hall of the executor at an address."""
        return self._executor_halls[executor]

    async def __aenter__(self) -> World:
        """Start the stand-ins, the proxies and the hosts."""
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stop everything that was started."""
        await self._stack.aclose()

    async def _start(self) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=connector)
        )
        names = [f"host-{number}" for number in range(self.plan.hosts)]
        self.store = await self._start_stand_in("soak.store", *names)
        self.executors = await self._start_stand_in(
            "soak.executors", str(self.plan.seed), str(self.plan.executors), self.store.control
        )
        await self.executors.send_command("world", {"guards_room": self.plan.guards_room})
        await self.configure(0)
        for number in range(self.plan.executors):
            await self._add_executor(number)
        for number, name in enumerate(names):
            await self._add_host(number, name)
        await self._start_hosts(list(self.hosts.values()))

    async def _start_hosts(self, hosts: list[HostProcess]) -> None:
        """Start hosts, a group after the other, and wait for all groups but the last."""
        while hosts:
            group, hosts = hosts[:MAX_STARTING_HOSTS], hosts[MAX_STARTING_HOSTS:]
            await asyncio.gather(*(host.start() for host in group))
            if hosts:
                await self.await_ready(GROUP_START_LIMIT_S, group)

    async def _start_stand_in(self, module: str, *arguments: str) -> StandIn:
        stand_in = StandIn(module, self._folder / f"{module}.log", self.session)
        await stand_in.start(*arguments)
        self._stack.push_async_callback(stand_in.end)
        return stand_in

    async def _start_proxy(self, target: str) -> tuple[FaultProxy, str]:
        proxy = FaultProxy(target)
        address = await proxy.listen()
        self._stack.push_async_callback(proxy.close)
        return proxy, address

    async def _add_executor(self, number: int) -> None:
        target = self.executors.addresses[f"executor-{number}"]
        proxy, address = await self._start_proxy(target)
        self.executor_links[address] = proxy
        self._executor_ports[address] = int(target.rpartition(":")[2])
        self._executor_halls[address] = self.plan.hall(number)
        await self.replace_executor(address)

    def executor_addresses_of(self, hall: str) -> list[str]:
        """Return the addresses of the executors of a hall."""
        return [address for address, of in self._executor_halls.items() if of == hall]

    async def replace_executor(self, address: str) -> None:
        """Start a new executor at an address."""
        location = {
            "hall": self._executor_halls[address],
            "address": address,
            "port": self._executor_ports[address],
        }
        await self.executors.send_command("executor", location)

    async def _add_host(self, number: int, name: str) -> None:
        address = host_address(number)
        self.store_links[name], store = await self._start_proxy(self.store.addresses[name])
        settings = self._folder / f"{name}.yaml"
        write_settings(settings, self.plan, number, address, store)
        host = HostProcess(name, address, settings, self._folder / f"{name}.log")
        self.hosts[name] = host
        self._stack.push_async_callback(host.kill)
        self.callers[name], self.callers_at[name] = await self._start_proxy(
            f"{address}:{CALLERS_PORT}"
        )

    async def configure(self, extra_routes: int) -> None:
        """Publish a configuration with additional routes besides the one for all jobs."""
        self.version += VERSION_STEP
        self.extra_routes = extra_routes
        guards_room = self.plan.guards_room
        value = configuration(
            self.version, extra_routes, guards_room=guards_room, limits=self.limits
        )
        await self.store.send_command("put", {"topic": "op", "key": "config", "value": value})

    async def evacuate(self, hall: str) -> None:
        """Publish the operator's record that evacuates a hall."""
        await self.store.send_command("put", _evacuation(hall, "{}"))

    async def reopen(self, hall: str) -> None:
        """Withdraw the evacuation of a hall."""
        await self.store.send_command("put", _evacuation(hall, ""))

    async def stop(self, host: HostProcess) -> None:
        """Stop a host as planned; a host that exceeds its grace time is a violation."""
        if not await host.stop(GRACE_S) and host.disrupted_at < time.monotonic() - 2 * GRACE_S:
            self.violations.append(f"STOP {host.name} had not ended {GRACE_S:.0f} s after SIGTERM")

    async def ready(self, host: HostProcess) -> bool:
        """Return whether a host reports that it is ready."""
        url = f"http://{host.address}:{READINESS_PORT}/api/readiness"
        timeout = aiohttp.ClientTimeout(total=READINESS_TIMEOUT_S)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def await_ready(self, limit_s: float, hosts: list[HostProcess] | None = None) -> None:
        """Wait until some hosts are ready, by default all.

        Raises:
            TimeoutError: A host is not ready within ``limit_s`` seconds.
        """
        async with asyncio.timeout(limit_s):
            for host in hosts or self.hosts.values():
                while not await self.ready(host):
                    await asyncio.sleep(0.1)

    async def clear_faults(self) -> None:
        """End all faults of links and stand-ins, and start all hosts that are down."""
        links = (self.callers, self.store_links, self.executor_links)
        for proxy in (proxy for group in links for proxy in group.values()):
            proxy.cut = frozenset()
            proxy.delay_s = 0.0
        await self.store.send_command("server", {"status": None, "delay_s": 0.0})
        await self.store.send_command("store", {"lost_answer_share": 0.0, "late": False})
        await self.store.send_command("turn_away", {"refusing": [], "silent": []})
        for hall in set(self._executor_halls.values()):
            await self.reopen(hall)
        await self.executors.send_command("world", dict.fromkeys(EXECUTOR_SHARES, 0.0))
        await asyncio.gather(*(host.start() for host in self.hosts.values()))

    async def observed(self) -> Observed:
        """Return what the executors have observed so far."""
        return Observed(**await self.executors.send_command("observed"))


def _evacuation(hall: str, value: str) -> dict[str, str]:
    return {"topic": "op", "key": f"evacuate/{hall}", "value": value}


EXECUTOR_SHARES = ("failing_share", "late_share", "lost_answer_share")
"""Attributes with the fraction of runs that fail, of late orders and of lost responses."""
