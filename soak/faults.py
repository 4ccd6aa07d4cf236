"""Faults, each undone by itself; a run draws several series of them that overlap."""

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
"""Faults by name, filled by :func:`fault`."""

ROOM_FAULTS: dict[str, Fault] = {}
"""Faults of executors' rooms, which have a series of their own: what seeds draw in the others
stays as it was."""

RESTART_FAULTS: dict[str, Fault] = {}
"""Executors that start again under their id, in a series of their own for the same reason."""

SERIES = 3
"""Series of faults that run beside each other."""

FULL_ROOM = 8_000
"""Thousandths of a core of an executor when it begins."""

LEFT_ROOM = 4_000
"""What some have left at the end, when starts are judged by it: any task fits."""

PAUSE_S = 1.5
"""Longest pause between two faults of a series, in seconds."""

MAX_S = 5.0
"""Longest time for which a fault lasts: past the 2 s after which a shard's owner is
replaced, and near the longest lease."""


def fault(function: Fault) -> Fault:
    """Enter a fault under its function's name."""
    FAULTS[function.__name__] = function
    return function


async def run_series(
    world: World,
    number: int,
    until: float,
    note: Callable[[str], None],
    faults: dict[str, Fault] = FAULTS,
) -> None:
    """Run one fault after the other until a steady time."""
    draw = Random(f"{world.plan.seed} {number}")
    names = sorted(faults)
    while time.monotonic() < until:
        name = draw.choice(names)
        note(f"{name} begins")
        await faults[name](world, Random(draw.getrandbits(32)))
        note(f"{name} is over")
        await asyncio.sleep(draw.uniform(0.0, PAUSE_S))


def _host(world: World, draw: Random) -> HostProcess:
    return draw.choice(list(world.hosts.values()))


async def _writer(world: World, draw: Random) -> HostProcess:
    """Return the host that last wrote under a condition: the one that claimed a shard."""
    name = await world.store.tell("last_conditional")
    return world.hosts.get(name) or _host(world, draw)


def _some(links: dict[str, FaultProxy], draw: Random) -> list[FaultProxy]:
    """Return one link, half of them, or all."""
    proxies = list(links.values())
    return draw.sample(proxies, draw.choice((1, (len(proxies) + 1) // 2, len(proxies))))


def _any_links(world: World, draw: Random) -> list[FaultProxy]:
    return _some(draw.choice((world.store_links, world.executor_links, world.callers)), draw)


async def _last(draw: Random, *, least_s: float = 0.5) -> None:
    await asyncio.sleep(draw.uniform(least_s, MAX_S))


# Hosts


async def _kill(hosts: list[HostProcess], draw: Random) -> None:
    await asyncio.gather(*(host.kill() for host in hosts))
    await asyncio.sleep(draw.uniform(0.0, 3.0))
    await asyncio.gather(*(host.start() for host in hosts))


@fault
async def kill_one(world: World, draw: Random) -> None:
    """Kill a host and start it again."""
    await _kill([_host(world, draw)], draw)


@fault
async def kill_the_writer(world: World, draw: Random) -> None:
    """Kill the host that last claimed a shard."""
    await _kill([await _writer(world, draw)], draw)


@fault
async def kill_all_but_one(world: World, draw: Random) -> None:
    """Kill all hosts but one."""
    hosts = list(world.hosts.values())
    hosts.remove(draw.choice(hosts))
    await _kill(hosts, draw)


@fault
async def kill_all(world: World, draw: Random) -> None:
    """Kill all hosts at once."""
    await _kill(list(world.hosts.values()), draw)


@fault
async def stop_in_turn(world: World, draw: Random) -> None:
    """Stop hosts as planned and start them again, the next before the last is back."""
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
    """Stop a host, and say so once more while it drains."""
    host = _host(world, draw)
    stopping = asyncio.create_task(world.stop(host))
    await asyncio.sleep(draw.uniform(0.1, 2.0))
    host.send(signal.SIGTERM)
    await stopping
    await host.start()


@fault
async def stop_the_writer(world: World, draw: Random) -> None:
    """Stop the host that last claimed a shard, and its successor at once after it."""
    for _ in range(2):
        host = await _writer(world, draw)
        await world.stop(host)
        await host.start()


@fault
async def pause_one(world: World, draw: Random) -> None:
    """Pause a host."""
    await _host(world, draw).pause(draw.uniform(0.5, MAX_S))


@fault
async def pause_the_writer(world: World, draw: Random) -> None:
    """Pause the host that last claimed a shard, twice with a short life between."""
    host = await _writer(world, draw)
    for _ in range(2):
        await host.pause(draw.uniform(0.5, MAX_S))
        await asyncio.sleep(draw.uniform(0.0, 0.5))


@fault
async def pause_many(world: World, draw: Random) -> None:
    """Pause half of the hosts, each for a time of its own."""
    hosts = list(world.hosts.values())
    hosts = draw.sample(hosts, (len(hosts) + 1) // 2)
    await asyncio.gather(*(host.pause(draw.uniform(0.5, MAX_S)) for host in hosts))


@fault
async def reload(world: World, draw: Random) -> None:
    """Have hosts read their settings again, in quick succession.

    Only hosts that have started: a test of its own sends it to one that starts.
    """
    for _ in range(draw.randint(3, 10)):
        host = _host(world, draw)
        if await world.ready(host):
            host.send(signal.SIGHUP)
        await asyncio.sleep(draw.uniform(0.0, 0.2))


@fault
async def configure(world: World, draw: Random) -> None:
    """Publish configurations in quick succession; routes come and go."""
    for _ in range(draw.randint(1, 8)):
        await world.configure(draw.choice((0, 1, 5, 200)))
        await asyncio.sleep(draw.uniform(0.0, 0.5))


# Links


@fault
async def delay_links(world: World, draw: Random) -> None:
    """Hold up what passes some links."""
    proxies = _any_links(world, draw)
    for proxy in proxies:
        proxy.delay_s = draw.choice((0.02, 0.2, 0.8))
    await _last(draw)
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
    """Let nothing pass one way, or either way."""
    proxies = _any_links(world, draw)
    ways = draw.choice((("there",), ("back",), ("there", "back")))
    for proxy in proxies:
        proxy.cut = frozenset(ways)
    await _last(draw)
    for proxy in proxies:
        proxy.cut = frozenset()


@fault
async def silence_links(world: World, draw: Random) -> None:
    """Silence open connections for good; new ones work."""
    for proxy in _any_links(world, draw):
        proxy.silence()


@fault
async def cut_a_hall(world: World, draw: Random) -> None:
    """Cut the executors of a hall from all hosts."""
    hall = world.plan.hall(draw.randrange(world.plan.halls))
    proxies = [p for a, p in world.executor_links.items() if world.hall_of(a) == hall]
    for proxy in proxies:
        proxy.cut = frozenset(("there", "back"))
    await _last(draw, least_s=2.0)
    for proxy in proxies:
        proxy.cut = frozenset()


# The store


@fault
async def store_down(world: World, draw: Random) -> None:
    """Have the store refuse all calls."""
    await world.store.tell("server", {"status": 503})
    await _last(draw)
    await world.store.tell("server", {"status": None})


@fault
async def store_slow(world: World, draw: Random) -> None:
    """Slow the store down, up to the time that hosts wait for it."""
    await world.store.tell("server", {"delay_s": draw.choice((0.1, 0.4, 0.9))})
    await _last(draw)
    await world.store.tell("server", {"delay_s": 0.0})


@fault
async def store_turns_away(world: World, draw: Random) -> None:
    """Have the store refuse some hosts, or say nothing to them."""
    names = draw.sample(list(world.hosts), draw.randint(1, len(world.hosts)))
    how = draw.choice(("refusing", "silent"))
    await world.store.tell("turn_away", {how: names})
    await _last(draw)
    await world.store.tell("turn_away", {how: []})


@fault
async def store_loses_answers(world: World, draw: Random) -> None:
    """Have the store apply appends without an answer, at once or seconds later."""
    values = {"losing": draw.choice((0.1, 0.4)), "late": draw.random() < 0.5}
    await world.store.tell("store", values)
    await _last(draw)
    await world.store.tell("store", {"losing": 0.0})


@fault
async def store_forgets(world: World, draw: Random) -> None:
    """Have the store forget its history, twice."""
    for _ in range(2):
        await world.store.tell("forget")
        await asyncio.sleep(draw.uniform(0.0, 1.0))


# Executors


@fault
async def crash_executors(world: World, draw: Random) -> None:
    """End some executors at once; some are back at once, the others later."""
    addresses = world.executor_addresses
    addresses = draw.sample(addresses, draw.randint(1, (len(addresses) + 1) // 2))
    gone = []
    for address in addresses:
        back = draw.random() < 0.5
        await world.executors.tell("crash", {"address": address, "back": back})
        if not back:
            gone.append(address)
    await _last(draw)
    for address in gone:
        await world.renew_executor(address)


@fault
async def drain_executors(world: World, draw: Random) -> None:
    """Have executors leave as planned, and new ones come at their addresses."""
    addresses = world.executor_addresses
    for address in draw.sample(addresses, draw.randint(1, (len(addresses) + 1) // 2)):
        await world.executors.tell("drain", {"address": address})
        await asyncio.sleep(draw.uniform(2.0, 3.0))
        await world.executors.tell("crash", {"address": address, "back": True})


@fault
async def executors_misbehave(world: World, draw: Random) -> None:
    """Have executors fail runs, do orders late, or lose answers."""
    name = draw.choice(EXECUTOR_SHARES)
    await world.executors.tell("world", {name: draw.choice((0.05, 0.3))})
    await _last(draw)
    await world.executors.tell("world", {name: 0.0})


# Rooms


def room_fault(function: Fault) -> Fault:
    """Enter a fault of executors' rooms under its function's name."""
    ROOM_FAULTS[function.__name__] = function
    return function


@room_fault
async def shrink_rooms(world: World, draw: Random) -> None:
    """Have the rooms of executors shrink, some to nothing, and grow again, a few not wholly."""
    addresses = world.executor_addresses
    addresses = draw.sample(addresses, draw.randint(1, (len(addresses) + 1) // 2))
    for address in addresses:
        room = {"address": address, "milli_cpu": draw.choice((0, 1_000, LEFT_ROOM))}
        await world.executors.tell("resize", room)
    await _last(draw)
    for address in addresses:
        room = {"address": address, "milli_cpu": draw.choice((LEFT_ROOM, FULL_ROOM, FULL_ROOM))}
        await world.executors.tell("resize", room)


def restart_fault(function: Fault) -> Fault:
    """Enter a fault of executors that start again under its function's name."""
    RESTART_FAULTS[function.__name__] = function
    return function


@restart_fault
async def restart_executors(world: World, draw: Random) -> None:
    """Have some executors start again under their id, up to three times in a row."""
    addresses = world.executor_addresses
    addresses = draw.sample(addresses, draw.randint(1, (len(addresses) + 1) // 2))
    clock_s = draw.choice((0.0, None, 1e5))
    for _ in range(draw.randint(1, 3)):
        for address in addresses:
            again = {"address": address, "down_s": draw.choice((0.01, 0.5, 2.0, 6.0))}
            await world.executors.tell("restart", {**again, "clock_s": clock_s})
        await asyncio.sleep(draw.uniform(0.1, PAUSE_S))
    await _last(draw)
