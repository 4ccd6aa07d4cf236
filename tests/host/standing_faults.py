"""Faults that keep standing tasks from running, for a scenario that injects them in series."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from tests.hall_executors import ENTRY_EXPIRY_S
from tests.host.later import later
from tests.virtual_time import world_time

if TYPE_CHECKING:
    from tests.hall_world import HallWorld
    from tests.host.standing_faults_day import StandingFaultsDay
    from tests.standins.memory_executor import MemoryExecutor

DOWN_DURATIONS_S = 0.01, 0.5, 1.2, 3.0
"""Times between a crash and the restart under the same id: shorter and longer than it takes to
detect the crash by a poll and by the machine list."""

LATE_SHARE = 0.15
"""Share of orders that are executed late, possibly by the next incarnation."""

LOST_ANSWER_SHARE = 0.1
"""Share of orders that are executed but not answered."""

MAX_ORDER_DELAY_S = 4.0
"""Maximum delay of a late order."""

SHRUNK_MILLI_CPU = 1_000
"""Capacity of a shrunk executor: less than most standing tasks need."""

NOTICE_RANGE_S = 0.5, 2.0
"""Range of times between the announcement of a departure and the end of the executor."""

LATE_NOTICE_S = 0.05
"""Time between a late announcement and the end of the executor: shorter than any poll."""

REPLACEMENT_DELAYS_S = 0.0, 0.5, 2.5
"""Times between the end of an executor that leaves and the start of the one that replaces it."""

MAX_HANDOVER_WAIT_S = 3.0
"""Longest time for which a fault waits for the next handover."""

HANDOVER_POLL_S = 0.002
"""Interval between searches for a handover: shorter than the store takes to record it."""

MAX_RECORDING_S = 0.03
"""Longest delay from a handover's decision to the crash of an owner: the record of the handover
is under way, stored, or read by the other hall by then."""

StandingFault = Callable[["StandingFaultsDay"], Awaitable[None]]
STANDING_FAULTS: dict[str, StandingFault] = {}
"""Kinds of faults by the name of their function; a seed draws from the sorted names, so that
renaming a function changes the scenarios of all seeds."""


def standing_fault(function: StandingFault) -> StandingFault:
    """Register a kind of fault under the name of its function."""
    STANDING_FAULTS[function.__name__] = function
    return function


def _delay_orders(world: HallWorld) -> None:
    world.late_to_next_incarnation = True
    world.late_share, world.lost_answer_share = LATE_SHARE, LOST_ANSWER_SHARE
    world.max_order_delay_s = MAX_ORDER_DELAY_S


def _deliver_orders(world: HallWorld) -> None:
    world.late_share = world.lost_answer_share = 0.0


def _restart_some(day: StandingFaultsDay) -> None:
    for address in day.some_addresses():
        day.world.restart_executor(address, down_s=day.random.choice(DOWN_DURATIONS_S))


@standing_fault
async def restart(day: StandingFaultsDay) -> None:
    """Restart executors under their ids."""
    _restart_some(day)
    await day.last(1.0, 3.0)


@standing_fault
async def late(day: StandingFaultsDay) -> None:
    """Make executors leave orders unanswered, and they or the next incarnation execute them."""
    _delay_orders(day.world)
    await day.last(1.0, 3.0)
    _deliver_orders(day.world)


@standing_fault
async def restart_late(day: StandingFaultsDay) -> None:
    """Restart executors under their ids while orders are delayed."""
    _delay_orders(day.world)
    _restart_some(day)
    await day.last(1.0, 3.0)
    _deliver_orders(day.world)


@standing_fault
async def replace(day: StandingFaultsDay) -> None:
    """Crash executors and start others at their addresses at once."""
    for address in day.some_addresses():
        day.world.crash_executor(address)
    await day.last(1.0, 3.0)


@standing_fault
async def shrink(day: StandingFaultsDay) -> None:
    """Reduce the capacity of executors for seconds."""
    addresses = day.some_addresses()
    _resize(day.world, addresses, SHRUNK_MILLI_CPU)
    await day.last(2.0, 5.0)
    _resize(day.world, addresses, day.world.milli_cpu)


@standing_fault
async def shrink_and_grow(day: StandingFaultsDay) -> None:
    """Reduce and restore the capacity of executors in turn."""
    addresses = day.some_addresses()
    for _ in range(day.random.randint(2, 3)):
        _resize(day.world, addresses, SHRUNK_MILLI_CPU)
        await day.last(0.3, 1.0)
        _resize(day.world, addresses, day.world.milli_cpu)
        await day.last(0.1, 0.6)


def _resize(world: HallWorld, addresses: list[str], milli_cpu: int) -> None:
    for address in addresses:
        if world.executors[address].alive:
            world.resize(address, milli_cpu)


@standing_fault
async def drain(day: StandingFaultsDay) -> None:
    """Replace executors one after the other; some announce their departure late or never."""
    async with asyncio.TaskGroup() as group:
        for address in day.some_addresses():
            group.create_task(_leave(day, day.world.executors[address]))
            await day.last(0.2, 0.8)


async def _leave(day: StandingFaultsDay, executor: MemoryExecutor) -> None:
    """End an executor, announced in time, late or never, and start the one that replaces it."""
    world = day.world
    address, hall = executor.record.address, executor.record.hall
    announced = day.random.choice(("in time", "late", "never"))
    if not executor.alive:
        return
    if announced != "never":
        world.register(executor, draining=True)
        low, high = NOTICE_RANGE_S if announced == "in time" else (LATE_NOTICE_S, LATE_NOTICE_S)
        await day.last(low, high)
    if world.executors[address] is not executor or not executor.alive:
        return
    world.crash_executor(address, back=False)
    if announced == "never":
        # Its entry stays until it expires.
        world.register(executor)
        later(ENTRY_EXPIRY_S, world.forget_registration, executor)
    await asyncio.sleep(day.random.choice(REPLACEMENT_DELAYS_S))
    if world.executors[address] is executor:
        world.add_executor(hall, address)


@standing_fault
async def kill_owner(day: StandingFaultsDay) -> None:
    """Kill the owner of a hall and restart the host."""
    await kill_and_restart(day, day.some_owner())


@standing_fault
async def kill_owner_in_handover(day: StandingFaultsDay) -> None:
    """Kill the owner that hands work over, or the one that takes it, while this is recorded."""
    world = day.world
    first = len(world.log.lines)
    until = world_time() + MAX_HANDOVER_WAIT_S
    while world_time() < until:
        await asyncio.sleep(HANDOVER_POLL_S)
        for index in range(first, len(world.log.lines)):
            _, event, fields = world.log.lines[index]
            if event == "WORK_HANDED_OVER":
                giver, taker = world.log.writers[index], world.owner(fields["to_shard"])
                await day.last(0.0, MAX_RECORDING_S)
                await kill_and_restart(day, day.random.choice((giver, taker)))
                return
        first = len(world.log.lines)


async def kill_and_restart(day: StandingFaultsDay, name: str | None) -> None:
    """Kill a host, if it runs, and restart it."""
    world = day.world
    if name not in world.hosts:
        return
    world.kill_host(name)
    await day.last(0.2, 1.5)
    if name not in world.hosts:
        world.start_host(name)


@standing_fault
async def freeze_owner(day: StandingFaultsDay) -> None:
    """Freeze the owner of a hall and resume it."""
    owner = day.some_owner()
    if owner is None:
        return
    running = day.world.hosts[owner]
    day.world.freeze_host(owner)
    await day.last(1.0, 5.0)
    day.world.thaw(running)


@standing_fault
async def slow_store(day: StandingFaultsDay) -> None:
    """Make the store answer all reads of some hosts late."""
    durations = day.world.store.read_duration_s
    topics = sorted({partition.topic for partition in day.world.store.partitions})
    read_s = day.random.uniform(0.2, 1.5)
    slow = dict.fromkeys(((h, t) for h in day.some_hosts() for t in topics), read_s)
    durations.update(slow)
    await day.last(1.0, 4.0)
    for key in slow:
        durations.pop(key, None)


@standing_fault
async def store_away(day: StandingFaultsDay) -> None:
    """Make the store leave all calls unanswered, or refuse them."""
    store = day.world.store
    excluded = day.random.choice((store.silent, store.refusing))
    names = {name for name, _ in day.world.host_names()}
    excluded |= names
    await day.last(1.0, 4.0)
    excluded -= names
