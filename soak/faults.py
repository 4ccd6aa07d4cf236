"""Faults of hosts, links, the store and executors.

Each fault undoes itself. A run plays several series of random faults concurrently. Series choose
faults by their sorted names, so a renamed or an additional fault changes the runs of all seeds.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from random import Random

from tests.standins.fault_proxy import FaultProxy

from soak.processes import HostProcess
from soak.world import EXECUTOR_SHARES, World

Fault = Callable[[World, Random], Awaitable[None]]

FAULTS: dict[str, Fault] = {}
"""Faults by name, registered by :func:`fault`."""

CAPACITY_FAULTS: dict[str, Fault] = {}
"""Faults of executors' capacities, in a separate series: the faults that seeds draw in the other
series stay the same."""

RESTART_FAULTS: dict[str, Fault] = {}
"""Restarts of executors with the same id, in a separate series for the same reason."""

SERIES_COUNT = 3
"""Number of concurrent series of the faults in ``FAULTS``."""

FULL_CAPACITY_MILLI_CPU = 8_000
"""Initial capacity of an executor, in thousandths of a core."""

REDUCED_CAPACITY_MILLI_CPU = 4_000
"""Final capacity of some executors; any task still fits."""

MAX_PAUSE_S = 1.5
"""Longest pause between two faults of a series."""

MAX_FAULT_S = 5.0
"""Longest duration of a fault. It exceeds the 2 s after which a shard's owner is replaced, and is
close to the longest lease."""


def fault(function: Fault) -> Fault:
    """Register a fault under its function's name."""
    FAULTS[function.__name__] = function
    return function


async def run_series(
    world: World,
    number: int,
    until: float,
    log_fault: Callable[[str], None],
    faults: dict[str, Fault] = FAULTS,
) -> None:
    """Run random faults one after the other until a steady time."""
    draw = Random(f"{world.plan.seed} {number}")
    names = sorted(faults)
    while time.monotonic() < until:
        name = draw.choice(names)
        log_fault(f"{name} begins")
        await faults[name](world, Random(draw.getrandbits(32)))
        log_fault(f"{name} is over")
        await asyncio.sleep(draw.uniform(0.0, MAX_PAUSE_S))


def _host(world: World, draw: Random) -> HostProcess:
    return draw.choice(list(world.hosts.values()))


async def _claiming_host(world: World, draw: Random) -> HostProcess:
    """Return the host that last made a conditional append, which is how hosts claim shards."""
    name = await world.store.send_command("last_conditional")
    return world.hosts.get(name) or _host(world, draw)


def _sample_links(links: dict[str, FaultProxy], draw: Random) -> list[FaultProxy]:
    """Return one link, half of the links or all of them."""
    proxies = list(links.values())
    return draw.sample(proxies, draw.choice((1, (len(proxies) + 1) // 2, len(proxies))))


def _any_links(world: World, draw: Random) -> list[FaultProxy]:
    return _sample_links(
        draw.choice((world.store_links, world.executor_links, world.callers)), draw
    )


async def _hold_fault(draw: Random, *, min_s: float = 0.5) -> None:
    await asyncio.sleep(draw.uniform(min_s, MAX_FAULT_S))


# Hosts


async def _kill(hosts: list[HostProcess], draw: Random) -> None:
    await asyncio.gather(*(host.kill() for host in hosts))
    await asyncio.sleep(draw.uniform(0.0, 3.0))
    await asyncio.gather(*(host.start() for host in hosts))


@fault
async def kill_one(world: World, draw: Random) -> None:
    """Kill a host and restart it."""
    await _kill([_host(world, draw)], draw)


@fault
async def kill_the_writer(world: World, draw: Random) -> None:
    """Kill the host that last claimed a shard."""
    await _kill([await _claiming_host(world, draw)], draw)


@fault
async def kill_all_but_one(world: World, draw: Random) -> None:
    """Kill all hosts except one."""
    hosts = list(world.hosts.values())
    hosts.remove(draw.choice(hosts))
    await _kill(hosts, draw)


@fault
async def kill_all(world: World, draw: Random) -> None:
    """Kill all hosts at once."""
    await _kill(list(world.hosts.values()), draw)


@fault
async def stop_in_turn(world: World, draw: Random) -> None:
    """Stop hosts as planned and restart them, each before the previous one is back."""
    hosts = list(world.hosts.values())
    hosts = draw.sample(hosts, draw.randint(1, min(len(hosts), 4)))

    async def restart(host: HostProcess, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await world.stop(host)
        await host.start()

    gap_s = draw.uniform(0.3, 2.0)
    await asyncio.gather(*(restart(host, n * gap_s) for n, host in enumerate(hosts)))


@fault
async def stop_twice(world: World, draw: Random) -> None:
    """Stop a host, and send SIGTERM again while it drains."""
    host = _host(world, draw)
    stopping = asyncio.create_task(world.stop(host))
    await asyncio.sleep(draw.uniform(0.1, 2.0))
    host.send(signal.SIGTERM)
    await stopping
    await host.start()


@fault
async def stop_the_writer(world: World, draw: Random) -> None:
    """Stop the host that last claimed a shard, and then the host that claims it next."""
    for _ in range(2):
        host = await _claiming_host(world, draw)
        await world.stop(host)
        await host.start()


@fault
async def pause_one(world: World, draw: Random) -> None:
    """Pause a host."""
    await _host(world, draw).pause(draw.uniform(0.5, MAX_FAULT_S))


@fault
async def pause_the_writer(world: World, draw: Random) -> None:
    """Pause the host that last claimed a shard twice, with a short interval in between."""
    host = await _claiming_host(world, draw)
    for _ in range(2):
        await host.pause(draw.uniform(0.5, MAX_FAULT_S))
        await asyncio.sleep(draw.uniform(0.0, 0.5))


@fault
async def pause_many(world: World, draw: Random) -> None:
    """Pause half of the hosts, each for a different time."""
    hosts = list(world.hosts.values())
    hosts = draw.sample(hosts, (len(hosts) + 1) // 2)
    await asyncio.gather(*(host.pause(draw.uniform(0.5, MAX_FAULT_S)) for host in hosts))


@fault
async def reload(world: World, draw: Random) -> None:
    """Make hosts reload their settings, in quick succession.

    This affects only hosts that have started; a separate test covers a host that is starting.
    """
    for _ in range(draw.randint(3, 10)):
        host = _host(world, draw)
        if await world.ready(host):
            host.send(signal.SIGHUP)
        await asyncio.sleep(draw.uniform(0.0, 0.2))


@fault
async def configure(world: World, draw: Random) -> None:
    """Publish configurations in quick succession, which add and remove routes."""
    for _ in range(draw.randint(1, 8)):
        await world.configure(draw.choice((0, 1, 5, 200)))
        await asyncio.sleep(draw.uniform(0.0, 0.5))


# Links


@fault
async def delay_links(world: World, draw: Random) -> None:
    """Delay the traffic of some links."""
    proxies = _any_links(world, draw)
    for proxy in proxies:
        proxy.delay_s = draw.choice((0.02, 0.2, 0.8))
    await _hold_fault(draw)
    for proxy in proxies:
        proxy.delay_s = 0.0


@fault
async def reset_links(world: World, draw: Random) -> None:
    """Reset open connections, several times."""
    proxies = _any_links(world, draw)
    for _ in range(draw.randint(1, 5)):
        for proxy in proxies:
            proxy.reset()
        await asyncio.sleep(draw.uniform(0.05, 0.5))


@fault
async def cut_links(world: World, draw: Random) -> None:
    """Drop the traffic of some links in one direction or in both."""
    proxies = _any_links(world, draw)
    ways = draw.choice((("there",), ("back",), ("there", "back")))
    for proxy in proxies:
        proxy.cut = frozenset(ways)
    await _hold_fault(draw)
    for proxy in proxies:
        proxy.cut = frozenset()


@fault
async def silence_links(world: World, draw: Random) -> None:
    """Drop all traffic of open connections until they are closed; new connections work."""
    for proxy in _any_links(world, draw):
        proxy.silence()


@fault
async def cut_a_hall(world: World, draw: Random) -> None:
    """Disconnect the executors of a hall from all hosts."""
    hall = world.plan.hall(draw.randrange(world.plan.halls))
    proxies = [p for a, p in world.executor_links.items() if world.hall_of(a) == hall]
    for proxy in proxies:
        proxy.cut = frozenset(("there", "back"))
    await _hold_fault(draw, min_s=2.0)
    for proxy in proxies:
        proxy.cut = frozenset()


# The store


@fault
async def store_down(world: World, draw: Random) -> None:
    """Make the store refuse all calls."""
    await world.store.send_command("server", {"status": 503})
    await _hold_fault(draw)
    await world.store.send_command("server", {"status": None})


@fault
async def store_slow(world: World, draw: Random) -> None:
    """Delay responses of the store, by up to nearly the time-out of hosts."""
    await world.store.send_command("server", {"delay_s": draw.choice((0.1, 0.4, 0.9))})
    await _hold_fault(draw)
    await world.store.send_command("server", {"delay_s": 0.0})


@fault
async def store_turns_away(world: World, draw: Random) -> None:
    """Make the store refuse the calls of some hosts, or not respond to them."""
    names = draw.sample(list(world.hosts), draw.randint(1, len(world.hosts)))
    how = draw.choice(("refusing", "silent"))
    await world.store.send_command("turn_away", {how: names})
    await _hold_fault(draw)
    await world.store.send_command("turn_away", {how: []})


@fault
async def store_loses_answers(world: World, draw: Random) -> None:
    """Make the store apply appends without a response, either at once or seconds later."""
    values = {"lost_answer_share": draw.choice((0.1, 0.4)), "late": draw.random() < 0.5}
    await world.store.send_command("store", values)
    await _hold_fault(draw)
    await world.store.send_command("store", {"lost_answer_share": 0.0})


@fault
async def store_forgets(world: World, draw: Random) -> None:
    """Make the store drop its history, twice."""
    for _ in range(2):
        await world.store.send_command("forget")
        await asyncio.sleep(draw.uniform(0.0, 1.0))


# Executors


@fault
async def crash_executors(world: World, draw: Random) -> None:
    """Crash some executors; some are replaced at once, the others later."""
    addresses = world.executor_addresses
    addresses = draw.sample(addresses, draw.randint(1, (len(addresses) + 1) // 2))
    crashed = []
    for address in addresses:
        back = draw.random() < 0.5
        await world.executors.send_command("crash", {"address": address, "back": back})
        if not back:
            crashed.append(address)
    await _hold_fault(draw)
    for address in crashed:
        await world.replace_executor(address)


@fault
async def drain_executors(world: World, draw: Random) -> None:
    """Drain some executors and replace them by new ones at the same addresses."""
    addresses = world.executor_addresses
    for address in draw.sample(addresses, draw.randint(1, (len(addresses) + 1) // 2)):
        await world.executors.send_command("drain", {"address": address})
        await asyncio.sleep(draw.uniform(2.0, 3.0))
        await world.executors.send_command("crash", {"address": address, "back": True})


@fault
async def executors_misbehave(world: World, draw: Random) -> None:
    """Make executors fail runs, execute orders late or lose responses."""
    name = draw.choice(EXECUTOR_SHARES)
    await world.executors.send_command("world", {name: draw.choice((0.05, 0.3))})
    await _hold_fault(draw)
    await world.executors.send_command("world", {name: 0.0})


# Capacities


def capacity_fault(function: Fault) -> Fault:
    """Register a fault of executors' capacities under its function's name."""
    CAPACITY_FAULTS[function.__name__] = function
    return function


@capacity_fault
async def shrink_rooms(world: World, draw: Random) -> None:
    """Reduce the capacities of executors, some to zero, and restore most of them in full."""
    addresses = world.executor_addresses
    addresses = draw.sample(addresses, draw.randint(1, (len(addresses) + 1) // 2))
    for address in addresses:
        capacity = {
            "address": address,
            "milli_cpu": draw.choice((0, 1_000, REDUCED_CAPACITY_MILLI_CPU)),
        }
        await world.executors.send_command("resize", capacity)
    await _hold_fault(draw)
    for address in addresses:
        capacity = {
            "address": address,
            "milli_cpu": draw.choice(
                (REDUCED_CAPACITY_MILLI_CPU, FULL_CAPACITY_MILLI_CPU, FULL_CAPACITY_MILLI_CPU)
            ),
        }
        await world.executors.send_command("resize", capacity)


def restart_fault(function: Fault) -> Fault:
    """Register a restart fault under its function's name."""
    RESTART_FAULTS[function.__name__] = function
    return function


@restart_fault
async def restart_executors(world: World, draw: Random) -> None:
    """Restart some executors with the same id, up to three times in a row."""
    addresses = world.executor_addresses
    addresses = draw.sample(addresses, draw.randint(1, (len(addresses) + 1) // 2))
    clock_s = draw.choice((0.0, None, 1e5))
    for _ in range(draw.randint(1, 3)):
        for address in addresses:
            restart = {"address": address, "down_s": draw.choice((0.01, 0.5, 2.0, 6.0))}
            await world.executors.send_command("restart", {**restart, "clock_s": clock_s})
        await asyncio.sleep(draw.uniform(0.1, MAX_PAUSE_S))
    await _hold_fault(draw)
