"""Executors, queue and admission limits of one service at one gateway.

The pool does no I/O: the caller passes in the time and carries out the assignments.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from linkspan.routing.breaker import Breaker
from linkspan.routing.budget import RetryBudget
from linkspan.routing.drain_rate import DrainRate
from linkspan.routing.pickers import Candidate, LeastLoaded, Picker

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from linkspan.config.document import ServiceConfig

LATENCY_WEIGHT = 0.1
"""Weight of the latest answer in an executor's exponentially smoothed latency."""

MAX_EJECTED_FRACTION = 0.5
"""Limits the fraction of executors that circuit breakers may exclude at the same time.

Beyond this fraction all executors are used, because so many failures at once are no
reliable sign that the executors themselves are at fault."""

MIN_LATENCY_SAMPLES = 4
"""Answers required before the expected latency may cause a request to be refused.

The first answer over a new connection takes up to three times as long as later ones. A
mean over four answers is then about 50 % too high, which the deadline check tolerates."""

SERVICE_TIME_FACTOR = 2.5
"""Multiplier of the mean latency in the deadline check; leaves time for slow answers."""

QUEUE_WAIT_FACTOR = 1.25
"""Multiplier of the expected queueing time in the deadline check."""

MAX_RETRY_AFTER_S = 30
"""Limits the retry delay that a refused caller receives."""


class Refusal(Enum):
    """Reason for refusing a request that was never sent to an executor.

    Names and values are part of the HTTP answer to the caller.
    """

    QUEUE_FULL = "the queue is full"
    TOO_LATE = "it could not be answered before its deadline"
    NO_EXECUTOR = "no executor of the service can be used"


class Assigned(NamedTuple):
    """The request is assigned to an executor and occupies one of its slots."""

    ticket: int
    executor: str


class Refused(NamedTuple):
    """The request is refused; the caller may retry after ``retry_after_s`` seconds."""

    ticket: int
    reason: Refusal
    retry_after_s: int


class Queued(NamedTuple):
    """The request is queued until a slot is free."""

    ticket: int


@dataclass(slots=True)
class Executor:
    """State of an executor as this gateway sees it.

    Attributes:
        name: Name of the executor.
        address: ``ip:port`` at which the executor serves requests.
        leaving: Whether the executor gets no new requests.
        in_flight: Requests that this gateway has in flight at the executor.
        answer_count: Complete answers received from the executor.
        latency_s: Smoothed latency in seconds, 0 before the first answer.
        breaker: Excludes the executor for a time after repeated failures.
    """

    name: str
    address: str
    leaving: bool = False
    in_flight: int = 0
    answer_count: int = 0
    latency_s: float = 0.0
    breaker: Breaker = field(default_factory=Breaker)

    def record_latency(self, latency_s: float) -> None:
        """Update the smoothed latency: a plain mean at first, then with a fixed weight."""
        self.answer_count += 1
        weight = max(LATENCY_WEIGHT, 1 / self.answer_count)
        self.latency_s += weight * (latency_s - self.latency_s)


class ServicePool:
    """Assigns requests to executors within this gateway's share of slots.

    Args:
        service: The service's limits.
        share: Takes an executor's name, its slot count and the time, and returns
            how many of the slots this gateway may use.
        picker: Policy that picks among executors with a free slot.
        rng: Random number generator; tests pass a seeded one.
    """

    def __init__(
        self,
        service: ServiceConfig,
        share: Callable[[str, int, float], int],
        *,
        picker: Picker | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.service = service
        self.retries = RetryBudget()
        self.executors: dict[str, Executor] = {}
        self._share = share
        self._picker: Picker = picker or LeastLoaded()
        self._random = rng or random.Random()
        self._drain_meter = DrainRate()
        self._queue: OrderedDict[int, float] = OrderedDict()

    def __repr__(self) -> str:
        return (
            f"ServicePool({self.service.name!r}, executors={len(self.executors)}, "
            f"in_flight={self.in_flight}, queued={len(self._queue)})"
        )

    @property
    def in_flight(self) -> int:
        """Number of requests in flight at executors."""
        return sum(executor.in_flight for executor in self.executors.values())

    @property
    def queued(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def has_executor(self) -> bool:
        """Whether at least one executor is not leaving."""
        return any(not executor.leaving for executor in self.executors.values())

    def configure(self, service: ServiceConfig, picker: Picker) -> None:
        """Apply a changed configuration."""
        self.service = service
        self._picker = picker

    def set_executors(self, addresses: Mapping[str, str], leaving: frozenset[str]) -> None:
        """Replace the list of executors.

        An executor that is no longer listed gets no new requests and is removed
        once it has no requests in flight.

        Args:
            addresses: ``ip:port`` by executor name.
            leaving: Names of executors that get no new requests.
        """
        for name, address in addresses.items():
            known = self.executors.get(name)
            if known is None or known.address != address:
                breaker = Breaker(jitter=lambda: self._random.uniform(0.5, 1.5))
                self.executors[name] = Executor(name, address, breaker=breaker)
            self.executors[name].leaving = name in leaving
        for name in self.executors.keys() - addresses.keys():
            self.executors[name].leaving = True
            if not self.executors[name].in_flight:
                del self.executors[name]

    def fits_shares(self, now: float) -> bool:
        """Return whether this gateway's requests fit its share at every executor."""
        slots = self.service.slots
        return all(e.in_flight <= self._share(e.name, slots, now) for e in self.executors.values())

    def arrive(self, ticket: int, deadline: float, now: float) -> Assigned | Queued | Refused:
        """Assign, queue or refuse a new request.

        Args:
            ticket: Number that identifies the request in this pool.
            deadline: Time in seconds until which the caller can use an answer.
            now: Time in seconds.
        """
        if not self._queue:
            executor = self._pick(now)
            if executor is not None:
                return self._assign(ticket, executor)
        if not self.has_executor:
            return self._refuse(ticket, Refusal.NO_EXECUTOR, now)
        if len(self._queue) >= self.service.queue:
            return self._refuse(ticket, Refusal.QUEUE_FULL, now)
        if now + self.expected_wait(now) > deadline:
            return self._refuse(ticket, Refusal.TOO_LATE, now)
        self._queue[ticket] = deadline
        return Queued(ticket)

    def again(self, avoid: str, now: float) -> str | None:
        """Assign a retry or hedged request to another executor.

        Returns None if requests are queued, no other executor has a free slot, or
        the retry budget is exhausted.

        Args:
            avoid: The executor that must not be used again.
            now: Time in seconds.
        """
        if self._queue:
            return None
        executor = self._pick(now, avoid=avoid)
        if executor is None or not self.retries.try_withdraw():
            return None
        return self._assign(0, executor).executor

    def expected_wait(self, now: float) -> float:
        """Return the expected queueing and service time of a new request, in seconds.

        Returns 0 while too few answers are known to refuse a request on their basis.
        """
        if 0 < sum(e.answer_count for e in self.executors.values()) < MIN_LATENCY_SAMPLES:
            return 0.0
        latencies = [e.latency_s for e in self.executors.values() if e.latency_s]
        service_s = SERVICE_TIME_FACTOR * sum(latencies) / len(latencies) if latencies else 0.0
        rate = self._drain_rate(now, latencies)
        return QUEUE_WAIT_FACTOR * (len(self._queue) + 1) / rate + service_s if rate else service_s

    def _drain_rate(self, now: float, latencies: list[float]) -> float:
        """Return the expected completions per second, or 0 if unknown.

        Answers that arrive in a burst make the measured rate too high. The rate is
        therefore limited to the throughput that this gateway's slots reach at the
        smoothed latencies (Little, 1961).
        """
        measured = self._drain_meter.per_second(now)
        if not latencies:
            return measured
        usable_slots = sum(self._share(e.name, self.service.slots, now) for e in self._usable(now))
        limit = usable_slots * len(latencies) / sum(latencies)
        return min(measured, limit) if measured else limit

    def remove_queued(self, ticket: int) -> None:
        """Remove a queued request whose caller has disconnected."""
        self._queue.pop(ticket, None)

    def answered(self, executor: str, latency_s: float, now: float) -> None:
        """Record a complete answer after ``latency_s`` seconds and release the slot."""
        executor_state = self._release_slot(executor, now)
        if executor_state is None:
            return
        executor_state.breaker.record_success()
        executor_state.record_latency(latency_s)

    def failed(self, executor: str, now: float) -> bool:
        """Record a failed request and release the slot.

        Returns:
            Whether the failure opened the executor's circuit breaker.
        """
        executor_state = self._release_slot(executor, now)
        return executor_state is not None and executor_state.breaker.record_failure(now)

    def dropped(self, executor: str, now: float) -> None:
        """Record a request without a result, for example after a disconnect; release the slot."""
        executor_state = self._release_slot(executor, now)
        if executor_state is not None:
            executor_state.breaker.record_abandoned()

    def drain(self, now: float) -> Iterator[Assigned | Refused]:
        """Refuse queued requests past their deadline, then assign the others to free slots.

        Args:
            now: Time in seconds.
        """
        late = [ticket for ticket, deadline in self._queue.items() if deadline <= now]
        for ticket in late:
            del self._queue[ticket]
            yield self._refuse(ticket, Refusal.TOO_LATE, now)
        while self._queue:
            executor = self._pick(now)
            if executor is None:
                return
            ticket, _ = self._queue.popitem(last=False)
            yield self._assign(ticket, executor)

    def retry_after(self, now: float) -> int:
        """Return the seconds after which a refused caller should retry."""
        latencies = [e.latency_s for e in self.executors.values() if e.latency_s]
        rate = self._drain_rate(now, latencies)
        wait = (len(self._queue) + 1) / rate if rate else 0.0
        return min(max(1, math.ceil(wait + min(latencies, default=0.0))), MAX_RETRY_AFTER_S)

    def _refuse(self, ticket: int, reason: Refusal, now: float) -> Refused:
        return Refused(ticket, reason, self.retry_after(now))

    def _assign(self, ticket: int, executor: Executor) -> Assigned:
        executor.in_flight += 1
        executor.breaker.record_start()
        return Assigned(ticket, executor.name)

    def _release_slot(self, name: str, now: float) -> Executor | None:
        self._drain_meter.record(now)
        executor = self.executors.get(name)
        if executor is None:
            return None
        executor.in_flight -= 1
        if not self.in_flight and not self._queue:
            # Completions before an idle period reflect the low demand, not the capacity.
            self._drain_meter.reset()
        return executor

    def _pick(self, now: float, avoid: str = "") -> Executor | None:
        usable = self._usable(now)
        slots = self.service.slots
        candidates = [
            Candidate(e.name, e.in_flight, share, e.latency_s)
            for e in usable
            if e.name != avoid and e.in_flight < (share := self._share(e.name, slots, now))
        ]
        if not candidates:
            return None
        return self.executors[self._picker.pick(candidates, self._random).name]

    def _usable(self, now: float) -> list[Executor]:
        """Return the executors that may get requests.

        All executors that stay are returned if their circuit breakers exclude more than
        ``MAX_EJECTED_FRACTION`` of them.
        """
        staying = [e for e in self.executors.values() if not e.leaving]
        allowed = [e for e in staying if e.breaker.allows(now)]
        if len(staying) - len(allowed) > MAX_EJECTED_FRACTION * len(staying):
            return staying
        return allowed
