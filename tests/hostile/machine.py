"""One host on a small machine, and what it uses there."""

from __future__ import annotations

import asyncio
import os
import resource
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from soak.deployment import CALLERS_PORT, Plan
from soak.processes import HostProcess
from soak.world import World

MEMORY_MB = 120
"""Memory of the machine: three fifths of the users' smallest, so that a small crowd suffices."""

MAX_FDS = 700
"""Descriptors of the machine, of which its platform reserves 200 for files."""

START_LIMIT_S = 30.0
SAMPLE_INTERVAL_S = 0.05
MB = 1 << 20


@dataclass
class Usage:
    """What a process has used so far.

    Attributes:
        memory_mb: Largest memory of the process with the bytes that its sockets had not read.
        descriptors: Largest number of open descriptors.
    """

    memory_mb: float = 0.0
    descriptors: int = 0


@dataclass
class Machine:
    """A machine with one host process.

    Attributes:
        world: Processes beside it.
        host: The host process.
        usage: What it has used while it was watched.
    """

    world: World
    host: HostProcess
    usage: Usage = field(default_factory=Usage)

    async def watch(self) -> None:
        """Record what the process uses, until cancelled or until the process has ended."""
        while self.host.alive:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Record what the process uses now, and the most memory that it ever had."""
        try:
            unread = unread_mb(self.host.address)
            resident, peak = resident_mb(self.host.pid)
            descriptors = len(os.listdir(f"/proc/{self.host.pid}/fd"))
        except (OSError, KeyError):
            return
        self.usage.memory_mb = max(self.usage.memory_mb, peak, resident + unread)
        self.usage.descriptors = max(self.usage.descriptors, descriptors)

    def broken_bounds(self) -> list[str]:
        """Return which bounds of the machine were broken."""
        broken = []
        if not self.host.alive or self.host.unexpected_exits:
            broken.append(f"the process has ended {self.host.unexpected_exits}")
        if self.usage.memory_mb > self.world.plan.memory_mb:
            broken.append(f"memory {self.usage.memory_mb:.0f} MB of {self.world.plan.memory_mb}")
        if self.usage.descriptors > self.world.plan.max_fds:
            broken.append(f"{self.usage.descriptors} descriptors of {self.world.plan.max_fds}")
        return broken


@asynccontextmanager
async def small_machine(
    folder: Path, *, hosts: int = 1, limits: dict[str, int] | None = None
) -> AsyncIterator[Machine]:
    """Start a hall whose machines are small, and watch its first host within the context.

    Args:
        folder: Folder for settings and logs.
        hosts: Number of hosts in the hall.
        limits: Operator's limits on requests by their name in the configuration.
    """
    _raise_own_limit()
    plan = Plan(
        7,
        0.0,
        hosts=hosts,
        executors=1,
        halls=1,
        jobs_per_s=0.0,
        memory_mb=MEMORY_MB,
        max_fds=MAX_FDS,
    )
    world = World(plan, folder)
    world.limits = limits or {}
    async with world:
        await world.await_ready(START_LIMIT_S)
        machine = Machine(world, world.hosts["host-0"])
        resource.prlimit(machine.host.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        watch = asyncio.create_task(machine.watch())
        try:
            yield machine
        finally:
            watch.cancel()


def unread_mb(address: str) -> float:
    """Return the megabytes that have arrived for callers' listener and are not read yet."""
    local = "".join(f"{int(part):02X}" for part in reversed(address.split(".")))
    rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    listening = "0A"
    return (
        sum(
            int(row[4].split(":")[1], 16)
            for row in rows
            if row[1] == f"{local}:{CALLERS_PORT:04X}" and row[3] != listening
        )
        / MB
    )


def resident_mb(pid: int) -> tuple[float, float]:
    """Return the memory of a process now, and the most that it has had, in megabytes."""
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(row.split(":", 1) for row in rows)
    return int(fields["VmRSS"].split()[0]) / 1024, int(fields["VmHWM"].split()[0]) / 1024


def _raise_own_limit() -> None:
    """Let this process have the descriptors of a crowd."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8_192, most), most))
