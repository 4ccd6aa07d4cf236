"""Signals, restarts and configurations in series of their own, which overlap."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from random import Random

from soak.faults import Fault, reload
from soak.processes import HostProcess
from soak.world import World

MAX_GAP_S = 2.0
"""Longest time between two signals of a sequence: less than a planned stop may take."""

MAX_DOWN_S = 1.0
"""Longest time for which a host stays down."""

MAX_HOSTS_AT_A_TIME = 4
"""Maximum number of hosts that one fault signals."""

ROUTE_COUNTS = (0, 1, 5, 50)

SIGNAL_SERIES: tuple[dict[str, Fault], ...] = ({}, {}, {}, {})
"""Stops, kills, reloads and configurations: each a series that runs beside the others, and only in
some runs. Faults of all other runs stay the same."""

_STOPS, _KILLS, _RELOADS, _CONFIGURATIONS = SIGNAL_SERIES


def _register(series: dict[str, Fault]) -> Callable[[Fault], Fault]:
    def register(function: Fault) -> Fault:
        series[function.__name__] = function
        return function

    return register


async def _signal_some(
    world: World, draw: Random, sequence: Callable[[HostProcess, Random], Awaitable[None]]
) -> None:
    """Send a sequence of signals to some hosts, which begins at each a little later."""
    hosts = draw.sample(
        list(world.hosts.values()), draw.randint(1, min(MAX_HOSTS_AT_A_TIME, len(world.hosts)))
    )

    async def begin(number: int, host: HostProcess, own: Random) -> None:
        await asyncio.sleep(number * own.uniform(0.0, MAX_GAP_S / 2))
        await sequence(host, own)
        await asyncio.sleep(own.uniform(0.0, MAX_DOWN_S))
        await host.start()

    draws = [Random(draw.getrandbits(32)) for _ in hosts]
    await asyncio.gather(
        *(begin(n, *pair) for n, pair in enumerate(zip(hosts, draws, strict=True)))
    )


@_register(_STOPS)
async def stop_some(world: World, draw: Random) -> None:
    """Stop hosts as planned and restart them."""

    async def stop(host: HostProcess, _draw: Random) -> None:
        await world.stop(host)

    await _signal_some(world, draw, stop)


@_register(_STOPS)
async def reload_while_stopping(world: World, draw: Random) -> None:
    """Send SIGHUP, and SIGTERM again, to hosts that drain.

    Only hosts that were ready get SIGHUP, as it ends a process that has not set its handler.
    """

    async def stop(host: HostProcess, own: Random) -> None:
        has_handler = await world.ready(host)
        incarnation = host.start_count
        stopping = asyncio.create_task(world.stop(host))
        for number in own.sample((signal.SIGHUP, signal.SIGTERM, signal.SIGHUP), 3):
            await asyncio.sleep(own.uniform(0.0, MAX_GAP_S / 3))
            if has_handler and host.start_count == incarnation:
                host.send(number)
        await stopping

    await _signal_some(world, draw, stop)


@_register(_KILLS)
async def kill_some(world: World, draw: Random) -> None:
    """Kill hosts, whatever they are doing."""

    async def kill(host: HostProcess, _draw: Random) -> None:
        await host.kill()

    await _signal_some(world, draw, kill)


@_register(_KILLS)
async def kill_while_stopping(world: World, draw: Random) -> None:
    """Kill hosts that drain."""

    async def stop_and_kill(host: HostProcess, own: Random) -> None:
        stopping = asyncio.create_task(world.stop(host))
        await asyncio.sleep(own.uniform(0.0, MAX_GAP_S))
        await host.kill()
        await stopping

    await _signal_some(world, draw, stop_and_kill)


@_register(_KILLS)
async def kill_while_starting(world: World, draw: Random) -> None:
    """Kill hosts and kill their next incarnations before these are ready."""

    async def kill_twice(host: HostProcess, own: Random) -> None:
        await host.kill()
        await host.start()
        await asyncio.sleep(own.uniform(0.0, MAX_GAP_S))
        await host.kill()

    await _signal_some(world, draw, kill_twice)


_register(_RELOADS)(reload)


@_register(_CONFIGURATIONS)
async def configure_often(world: World, draw: Random) -> None:
    """Publish configurations in quick succession for some seconds."""
    for _ in range(draw.randint(5, 20)):
        await world.configure(draw.choice(ROUTE_COUNTS))
        await asyncio.sleep(draw.uniform(0.0, MAX_GAP_S / 4))
