"""Crowds of callers outside the limits beside the faults."""

from __future__ import annotations

from random import Random

from tests.hostile.crowd import Crowd
from tests.hostile.framing import KINDS
from tests.hostile.machine import resident_mb

from soak.faults import Fault
from soak.processes import HostProcess
from soak.world import World

CROWD_SIZES = (20, 100, 300)
"""Connections of a crowd: one that fits into the limits of a host, and ones that do not."""

MAX_KINDS = 4
"""Maximum number of kinds in one crowd."""

CROWD_FAULTS: dict[str, Fault] = {}
"""Crowds, in a separate series that only some runs have: those of all other runs stay the same."""


def crowd_fault(function: Fault) -> Fault:
    """Register a kind of crowd under its function's name."""
    CROWD_FAULTS[function.__name__] = function
    return function


@crowd_fault
async def crowd(world: World, draw: Random) -> None:
    """Let a crowd of some kinds come to one host, whatever else befalls it."""
    host = draw.choice(list(world.hosts.values()))
    kinds = draw.sample(list(KINDS), draw.randint(1, MAX_KINDS))
    await Crowd(host.address, kinds, draw.choice(CROWD_SIZES)).play()


def check_memory(hosts: list[HostProcess], memory_mb: int) -> list[str]:
    """Return a violation for each running host that ever had more memory than its machine has."""
    peaks = {host.name: resident_mb(host.pid)[1] for host in hosts if host.alive}
    return [
        f"MEMORY {name} had {peak:.0f} MB of {memory_mb}"
        for name, peak in peaks.items()
        if peak > memory_mb
    ]
