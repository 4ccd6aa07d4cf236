"""Owns the service pools of a gateway and resolves the requests queued in them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from itertools import count
from typing import TYPE_CHECKING

from linkspan.config.document import ServiceConfig, parse_service
from linkspan.peer.messages import Heard
from linkspan.routing.pickers import PICKERS
from linkspan.routing.pool import Assigned, Queued, Refused, ServicePool
from linkspan.routing.shares import Division, ShareTable

if TYPE_CHECKING:
    from linkspan.config.store import ConfigState
    from linkspan.peer.messages import Heartbeat
    from linkspan.services.ports import Host

QUEUE_POLL_INTERVAL_S = 0.02
"""Interval at which queued requests are checked; bounds the delay of a refusal."""

IDLE_POLL_INTERVAL_S = 0.25
"""Interval of :meth:`Router.run` without queued requests.

Well below ``fresh_s`` of the share table, which treats longer gaps as a freeze."""

DEFAULT_PICKER = "shortest_wait"


class Router:
    """Owns the service pools of one gateway.

    Args:
        name: Name of this gateway.
        address: ``ip:port`` of the gateway's peer listener.
        hall: Hall of the gateway; only executors of this hall are used.
        takeover_s: Time for which a gateway must be silent and missing from the
            host list before its slots are redistributed.
        start_delay_s: Time for which this gateway collects heartbeats when it starts.
    """

    def __init__(
        self,
        name: str,
        address: str,
        hall: str,
        *,
        takeover_s: float = 15.0,
        start_delay_s: float = 3.0,
    ) -> None:
        self.shares = ShareTable(name, start_delay_s=start_delay_s)
        self.pools: dict[str, ServicePool] = {}
        self._name = name
        self._address = address
        self._refused_at: dict[str, float] = {}
        self._hall = hall
        self._takeover_s = takeover_s
        self._tickets = count(1)
        self._has_queued = asyncio.Event()
        self._waiters: dict[int, asyncio.Future[Assigned | Refused]] = {}
        self._heartbeats: dict[str, tuple[Heartbeat, float]] = {}
        self._hosts: tuple[Host, ...] = ()

    def __repr__(self) -> str:
        return f"Router({self._name!r}, pools={sorted(self.pools)}, {self.shares!r})"

    @property
    def in_flight(self) -> int:
        """Number of requests of all services in flight at executors."""
        return sum(pool.in_flight for pool in self.pools.values())

    @property
    def served_services(self) -> tuple[str, ...]:
        """Names of the services with at least one executor that is not leaving."""
        return tuple(sorted(name for name, pool in self.pools.items() if pool.has_executor))

    async def assign(self, pool: ServicePool, timeout_s: float) -> Assigned | Refused:
        """Assign a request to an executor or refuse it; wait in the queue while no slot is free."""
        now = time.monotonic()
        ticket = next(self._tickets)
        result = pool.arrive(ticket, now + timeout_s, now)
        if not isinstance(result, Queued):
            return result
        assignment: asyncio.Future[Assigned | Refused] = asyncio.get_running_loop().create_future()
        self._waiters[ticket] = assignment
        self._has_queued.set()
        try:
            return await assignment
        except asyncio.CancelledError:
            self._cancel_assignment(pool, ticket, assignment)
            raise
        finally:
            self._waiters.pop(ticket, None)

    def _cancel_assignment(
        self, pool: ServicePool, ticket: int, assignment: asyncio.Future[Assigned | Refused]
    ) -> None:
        pool.remove_queued(ticket)
        if assignment.done() and not assignment.cancelled():
            result = assignment.result()
            if isinstance(result, Assigned):
                pool.dropped(result.executor, time.monotonic())

    def process_queue(self, pool: ServicePool) -> None:
        """Assign free slots to queued requests, and refuse requests past their deadline."""
        for result in pool.drain(time.monotonic()):
            assignment = self._waiters.get(result.ticket)
            if assignment is not None and not assignment.done():
                assignment.set_result(result)
            elif isinstance(result, Assigned):
                pool.dropped(result.executor, time.monotonic())

    async def run(self) -> None:
        """Process the queues and tick the share table until cancelled."""
        while True:
            self.shares.tick(time.monotonic())
            for pool in self.pools.values():
                self.process_queue(pool)
            if any(pool.queued for pool in self.pools.values()):
                await asyncio.sleep(QUEUE_POLL_INTERVAL_S)
                continue
            self._has_queued.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._has_queued.wait(), IDLE_POLL_INTERVAL_S)

    # Updates from the configuration, the host list and peers.

    def on_config(self, state: ConfigState) -> None:
        """Apply the services of a configuration."""
        document = state.document
        services: dict[str, ServiceConfig] = {
            name: parse_service(name, value)
            for key, value in document.items()
            for section, _, name in [key.partition("/")]
            if section == "services"
        }
        for name, service in services.items():
            picker = PICKERS.make(document.get(f"routing/{name}", DEFAULT_PICKER))
            if name in self.pools:
                self.pools[name].configure(service, picker)
            else:
                self.pools[name] = ServicePool(
                    service, self.shares.share, picker=picker, rng=random.Random()
                )
        for name in self.pools.keys() - services.keys():
            if not self.pools[name].in_flight:
                del self.pools[name]
        self._set_executors()

    def on_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Apply the platform's host list; an empty list is ignored."""
        if not hosts:
            return
        self._hosts = hosts
        self._set_executors()
        self._set_members(time.monotonic())

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat of a gateway in this hall."""
        if heartbeat.role != "gateway" or heartbeat.hall != self._hall:
            return
        now = time.monotonic()
        self._heartbeats[heartbeat.name] = (heartbeat, now)
        self._refused_at.pop(heartbeat.address, None)
        self._set_members(now)
        confirmed = {name: digest for name, digest in heartbeat.heard}
        self.shares.hear(heartbeat.name, Division(frozenset(heartbeat.members), confirmed))

    def on_connection_refused(self, address: str) -> None:
        """Remove the gateway whose address refuses connections from the division."""
        now = time.monotonic()
        self._refused_at[address] = now
        self._heartbeats = {
            name: entry for name, entry in self._heartbeats.items() if entry[0].address != address
        }
        self._set_members(now)

    def describe_division(self) -> tuple[tuple[str, ...], tuple[Heard, ...]]:
        """Return this gateway's members and the divisions it confirms, for its heartbeat."""
        now = time.monotonic()
        fits = all(pool.fits_shares(now) for pool in self.pools.values())
        heard = tuple(Heard(name, digest) for name, digest in self.shares.heard(fits=fits).items())
        return tuple(sorted(self.shares.members)), heard

    def _set_executors(self) -> None:
        for name, pool in self.pools.items():
            own_hall_executors = [
                host
                for host in self._hosts
                if host.role == "executor" and host.service == name and host.hall == self._hall
            ]
            leaving = frozenset(host.name for host in own_hall_executors if host.leaving)
            pool.set_executors({host.name: host.address for host in own_hall_executors}, leaving)

    def _set_members(self, now: float) -> None:
        """Divide the slots among the gateways known by heartbeat or host list.

        Gateways whose address recently refused a connection are left out. A listed
        gateway without a heartbeat has no known name; its address takes its place, so
        that no other gateway uses its slots before its first heartbeat.
        """
        listed = {
            host.address
            for host in self._hosts
            if host.role == "gateway" and host.hall == self._hall
        }
        for name, (heartbeat, heard_at) in list(self._heartbeats.items()):
            if heartbeat.address not in listed and now - heard_at > self._takeover_s:
                del self._heartbeats[name]
        known = {heartbeat.address for heartbeat, _ in self._heartbeats.values()} | {self._address}
        refused = {
            address
            for address, refused_at in self._refused_at.items()
            if now - refused_at <= self._takeover_s
        }
        if self._hosts or self._heartbeats:
            self.shares.set_members([*self._heartbeats, *(listed - known - refused)])
