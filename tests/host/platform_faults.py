"""Changes and faults of executors and hosts as the platform makes them, for days on it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.host.standing_faults import STANDING_FAULTS, StandingFault, kill_and_restart
from tests.virtual_time import virtual_loop, world_time

if TYPE_CHECKING:
    from tests.hall_world import HallWorld
    from tests.host.standing_faults_day import StandingFaultsDay
    from tests.standins.memory_executor import MemoryExecutor

DARK_S = 4.4
"""Time from an executor's death without a sign until the next incarnation starts."""

MUTE_S = 5.5
"""Time for which a mute executor answers nothing."""

NOTICE_RANGE_S = 0.5, 2.5
"""Range of times between the announcement of a departure and the end of the executor: shorter and
longer than the discovery takes to tell of it."""

OVERLAP_RANGE_S = 0.5, 1.0
"""Range of times from the start of a new executor until the one that it replaces drains."""

MAX_OWNER_LOSS_S = 1.5
"""Longest time between the loss of an owner, or its return, and a fault of its executors."""

SLICE_RANGE_S = 0.1, 0.4
"""Range of periods in which a slow host gets a part of its processor time."""

TAKEN_RANGE = 0.3, 0.7
"""Range of the share of that time that it does not get."""

PLATFORM_FAULTS: dict[str, StandingFault] = {}
"""Kinds of faults by the name of their function; see ``STANDING_FAULTS``."""


def platform_fault(function: StandingFault) -> StandingFault:
    """Register a kind of fault under the name of its function."""
    PLATFORM_FAULTS[function.__name__] = function
    return function


def start_executor(world: HallWorld, hall: str) -> None:
    """Start an executor of a hall at an address that no other one has had."""
    count = sum(executor.record.hall == hall for executor in world.executors.values())
    world.add_executor(hall, f"{hall}-{count}:1")


async def depart(day: StandingFaultsDay, executor: MemoryExecutor) -> None:
    """Drain an executor, and end it for good."""
    address = executor.record.address
    if not executor.alive:
        return
    day.world.register(executor, draining=True)
    await day.last(*NOTICE_RANGE_S)
    if day.world.executors[address] is executor and executor.alive:
        day.world.departed.add(address)
        day.world.crash_executor(address, back=False)


async def starve(
    world: HallWorld, hosts: list[str], duration_s: float, *, slice_s: float, taken: float
) -> None:
    """Take a part of the processor time of some hosts, again and again.

    Args:
        world: The deployment.
        hosts: Names of the hosts.
        duration_s: Duration in seconds.
        slice_s: Length of a period in seconds, in which they first stand still and then run.
        taken: Share of each period in which they stand still.
    """
    until = world_time() + duration_s
    while world_time() < until:
        present = [world.hosts[name] for name in hosts if name in world.hosts]
        stopped = [host for host in present if not virtual_loop().is_frozen(host.process)]
        for host in stopped:
            virtual_loop().freeze(host.process)
        await asyncio.sleep(slice_s * taken)
        for host in stopped:
            if host in world.hosts.values():
                virtual_loop().thaw(host.process)
        await asyncio.sleep(slice_s * (1 - taken))


@platform_fault
async def join(day: StandingFaultsDay) -> None:
    """Start new executors in one or more halls."""
    halls = day.world.halls
    for hall in day.random.sample(halls, day.random.randint(1, len(halls))):
        start_executor(day.world, hall)
        await day.last(0.0, 1.0)


@platform_fault
async def replace_in_turn(day: StandingFaultsDay) -> None:
    """Replace executors one after the other: the new one starts before the old one drains."""
    for address in day.some_addresses()[:2]:
        executor = day.world.executors[address]
        start_executor(day.world, executor.record.hall)
        await day.last(*OVERLAP_RANGE_S)
        await depart(day, executor)


@platform_fault
async def depart_as_owner_is_killed(day: StandingFaultsDay) -> None:
    """Have executors of a hall leave for good while its owner is killed."""
    owner = day.some_owner()
    async with asyncio.TaskGroup() as group:
        for executor in _executors_beside(day, owner):
            group.create_task(depart(day, executor))
        await day.last(0.0, MAX_OWNER_LOSS_S)
        group.create_task(kill_and_restart(day, owner))


@platform_fault
async def depart_after_owner_is_back(day: StandingFaultsDay) -> None:
    """Have executors of a hall leave for good right after its owner was killed and restarted."""
    owner = day.some_owner()
    await kill_and_restart(day, owner)
    await day.last(0.0, MAX_OWNER_LOSS_S)
    async with asyncio.TaskGroup() as group:
        for executor in _executors_beside(day, owner):
            group.create_task(depart(day, executor))


def _executors_beside(day: StandingFaultsDay, host: str | None) -> list[MemoryExecutor]:
    """Return one or two running executors of a host's hall, none without a host."""
    hall = dict(day.world.host_names()).get(host or "")
    present = [e for e in day.world.executors.values() if e.alive and e.record.hall == hall]
    return day.random.sample(present, min(day.random.randint(1, 2), len(present)))


@platform_fault
async def dark(day: StandingFaultsDay) -> None:
    """Have executors die without a sign: their entries stay until others start."""
    for address in day.some_addresses():
        day.world.restart_executor(address, down_s=DARK_S, clock_s=None)
    await asyncio.sleep(DARK_S)


@platform_fault
async def mute(day: StandingFaultsDay) -> None:
    """Have executors answer nothing: no host reaches them."""
    world = day.world
    cuts = {(name, a) for a in day.some_addresses() for name, _ in world.host_names()}
    world.cuts |= cuts
    world.record_fault()
    await asyncio.sleep(MUTE_S)
    world.cuts -= cuts
    world.record_fault()


@platform_fault
async def drain_and_lose(day: StandingFaultsDay) -> None:
    """Drain executors while others die or are mute, and the owner is killed."""
    lose = day.random.choice((dark, mute))
    owner = day.some_owner()
    async with asyncio.TaskGroup() as group:
        group.create_task(STANDING_FAULTS["drain"](day))
        group.create_task(lose(day))
        await day.last(0.0, MAX_OWNER_LOSS_S)
        group.create_task(kill_and_restart(day, owner))


@platform_fault
async def slow_hosts(day: StandingFaultsDay) -> None:
    """Leave some hosts short of processor time."""
    duration_s = day.random.uniform(2.0, 5.0)
    slice_s, taken = day.random.uniform(*SLICE_RANGE_S), day.random.uniform(*TAKEN_RANGE)
    await starve(day.world, day.some_hosts(), duration_s, slice_s=slice_s, taken=taken)
