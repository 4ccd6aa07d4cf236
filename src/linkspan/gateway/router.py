"""The pools of all services, and the requests that wait in them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from itertools import count
from typing import TYPE_CHECKING

from linkspan.config.document import ServiceConfig, service_of
from linkspan.peer.messages import Heard
from linkspan.routing.pickers import PICKERS
from linkspan.routing.pool import Assigned, Queued, Refused, ServicePool
from linkspan.routing.shares import Division, ShareTable

if TYPE_CHECKING:
    from linkspan.config.store import ConfigState
    from linkspan.peer.messages import Heartbeat
    from linkspan.services.ports import Host

DRAIN_TICK_S = 0.02
"""Longest time that an expired request waits for its refusal."""

IDLE_TICK_S = 0.25
"""Time between looks while nothing waits; well under the shares' freshness."""

DEFAULT_PICKER = "shortest_wait"


class Router:
    """Owns the service pools of one gateway.

    Args:
        name: This gateway.
        address: ``ip:port`` of its inner listener.
        hall: Its hall; only executors of the hall are used.
        takeover_s: Time for which a gateway must be silent and off the host
            list before its slots are divided anew.
    """

    def __init__(self, name: str, address: str, hall: str, *, takeover_s: float = 15.0) -> None:
        self.shares = ShareTable(name)
        self.pools: dict[str, ServicePool] = {}
        self._name = name
        self._address = address
        self._refused: dict[str, float] = {}
        self._hall = hall
        self._takeover_s = takeover_s
        self._tickets = count(1)
        self._has_queued = asyncio.Event()
        self._waiting: dict[int, asyncio.Future[Assigned | Refused]] = {}
        self._heard: dict[str, tuple[Heartbeat, float]] = {}
        self._hosts: tuple[Host, ...] = ()

    def __repr__(self) -> str:
        return f"Router({self._name!r}, pools={sorted(self.pools)}, {self.shares!r})"

    @property
    def in_flight(self) -> int:
        """Requests of all services that are at executors."""
        return sum(pool.in_flight for pool in self.pools.values())

    @property
    def served(self) -> tuple[str, ...]:
        """The services that have an executor here that takes requests."""
        return tuple(sorted(name for name, pool in self.pools.items() if pool.has_executor))

    async def enter(self, pool: ServicePool, budget_s: float) -> Assigned | Refused:
        """Return the executor for a request, waiting for a slot if need be."""
        now = time.monotonic()
        ticket = next(self._tickets)
        result = pool.arrive(ticket, now + budget_s, now)
        if not isinstance(result, Queued):
            return result
        turn: asyncio.Future[Assigned | Refused] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = turn
        self._has_queued.set()
        try:
            return await turn
        except asyncio.CancelledError:
            self._give_back(pool, ticket, turn)
            raise
        finally:
            self._waiting.pop(ticket, None)

    def _give_back(
        self, pool: ServicePool, ticket: int, turn: asyncio.Future[Assigned | Refused]
    ) -> None:
        pool.remove_queued(ticket)
        if turn.done() and not turn.cancelled():
            result = turn.result()
            if isinstance(result, Assigned):
                pool.dropped(result.executor, time.monotonic())

    def wake(self, pool: ServicePool) -> None:
        """Hand free slots to waiting requests, and refuse those past their time."""
        for result in pool.drain(time.monotonic()):
            turn = self._waiting.get(result.ticket)
            if turn is not None and not turn.done():
                turn.set_result(result)
            elif isinstance(result, Assigned):
                pool.dropped(result.executor, time.monotonic())

    async def run(self) -> None:
        """Refuse requests whose time is over, and keep the shares awake."""
        while True:
            self.shares.tick(time.monotonic())
            for pool in self.pools.values():
                self.wake(pool)
            if any(pool.queued for pool in self.pools.values()):
                await asyncio.sleep(DRAIN_TICK_S)
                continue
            self._has_queued.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._has_queued.wait(), IDLE_TICK_S)

    # What peers, the platform and operators say.

    def on_config(self, state: ConfigState) -> None:
        """Take over the services of a configuration."""
        document = state.document
        wanted: dict[str, ServiceConfig] = {
            name: service_of(name, value)
            for key, value in document.items()
            for section, _, name in [key.partition("/")]
            if section == "services"
        }
        for name, service in wanted.items():
            picker = PICKERS.make(document.get(f"routing/{name}", DEFAULT_PICKER))
            if name in self.pools:
                self.pools[name].configure(service, picker)
            else:
                self.pools[name] = ServicePool(
                    service, self.shares.share, picker=picker, rng=random.Random()
                )
        for name in self.pools.keys() - wanted.keys():
            if not self.pools[name].in_flight:
                del self.pools[name]
        self._set_executors()

    def on_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Take over the platform's host list."""
        if not hosts:
            return
        self._hosts = hosts
        self._set_executors()
        self._set_members(time.monotonic())

    def on_beat(self, beat: Heartbeat) -> None:
        """Take in a gateway's heartbeat."""
        if beat.role != "gateway" or beat.hall != self._hall:
            return
        now = time.monotonic()
        self._heard[beat.name] = (beat, now)
        self._refused.pop(beat.address, None)
        self._set_members(now)
        heard = {name: division for name, division in beat.heard}
        self.shares.hear(beat.name, Division(frozenset(beat.members), heard))

    def on_gone(self, address: str) -> None:
        """Divide without the gateway at an address where nothing listens any more."""
        now = time.monotonic()
        self._refused[address] = now
        self._heard = {n: h for n, h in self._heard.items() if h[0].address != address}
        self._set_members(now)

    def describe(self) -> tuple[tuple[str, ...], tuple[Heard, ...]]:
        """Return our members and the divisions that we confirm, for heartbeats."""
        now = time.monotonic()
        fits = all(pool.fits_shares(now) for pool in self.pools.values())
        heard = tuple(Heard(n, d) for n, d in self.shares.heard(fits=fits).items())
        return tuple(sorted(self.shares.members)), heard

    def _set_executors(self) -> None:
        for name, pool in self.pools.items():
            mine = [
                h
                for h in self._hosts
                if h.role == "executor" and h.service == name and h.hall == self._hall
            ]
            leaving = frozenset(host.name for host in mine if host.leaving)
            pool.set_executors({host.name: host.address for host in mine}, leaving)

    def _set_members(self, now: float) -> None:
        """Divide among those heard of and those listed, but for the proven gone.

        One that is listed but was never heard of has no name yet; its address
        stands for it, so that nobody uses its slots until it speaks.
        """
        listed = {h.address for h in self._hosts if h.role == "gateway" and h.hall == self._hall}
        for name, (beat, heard) in list(self._heard.items()):
            if beat.address not in listed and now - heard > self._takeover_s:
                del self._heard[name]
        known = {beat.address for beat, _ in self._heard.values()} | {self._address}
        gone = {a for a, at in self._refused.items() if now - at <= self._takeover_s}
        if self._hosts or self._heard:
            self.shares.set_members([*self._heard, *(listed - known - gone)])
