"""One service's executors, queue and limits at one gateway; pure of sockets."""

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
from linkspan.routing.pickers import Choice, LeastLoaded, Picker

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from linkspan.config.document import ServiceConfig

SMOOTHING = 0.1
"""Weight of the latest latency in an executor's learnt one."""

MAX_EJECTED = 0.5
"""Part of the executors that may be set aside at once."""

MIN_ANSWERS = 4
"""Answers before the learnt latency may refuse a request. The first answer of a fresh
connection took up to three times as long as the next ones (326 and 108 ms, measured beside
busy processes); in a mean of four that leaves half too much, which the margins bear."""

SERVICE_MARGIN = 2.5
"""Mean latencies that are reckoned for an answer, so that slow ones make it too."""

WAIT_MARGIN = 1.25
"""What the reckoned wait for a slot is multiplied by."""

MAX_RETRY_AFTER_S = 30
"""Longest time that a refused caller is told to wait."""


class Refusal(Enum):
    """Why a request was refused; none of these ever reached an executor."""

    QUEUE_FULL = "the queue is full"
    TOO_LATE = "it could not be answered before its deadline"
    NO_EXECUTOR = "no executor of the service can be used"


class Assigned(NamedTuple):
    """The request goes to this executor now."""

    ticket: int
    executor: str


class Refused(NamedTuple):
    """The request is given up, with the seconds after which to come back."""

    ticket: int
    why: Refusal
    retry_after_s: int


class Queued(NamedTuple):
    """The request waits for a slot."""

    ticket: int


@dataclass(slots=True)
class Executor:
    """What this gateway knows of an executor.

    Attributes:
        name: The executor.
        address: ``ip:port`` where it serves.
        leaving: Whether it is to get no new requests.
        in_flight: This gateway's requests at it.
        answers: Whole answers that it gave.
        latency_s: Learnt latency in seconds, 0 before the first answer.
        breaker: Sets it aside after failures.
    """

    name: str
    address: str
    leaving: bool = False
    in_flight: int = 0
    answers: int = 0
    latency_s: float = 0.0
    breaker: Breaker = field(default_factory=Breaker)

    def learn(self, latency_s: float) -> None:
        """Take in an answer's latency: the mean at first, then with a fixed weight."""
        self.answers += 1
        weight = max(SMOOTHING, 1 / self.answers)
        self.latency_s += weight * (latency_s - self.latency_s)


class ServicePool:
    """Assigns requests to executors within this gateway's share of slots.

    Args:
        service: The service's limits.
        share: Returns how many slots of an executor may be used now, by the
            executor's name, its slots and the time.
        picker: Picks among executors with a free slot.
        rng: Source of chance, seeded in tests.
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
        self._drain = DrainRate()
        self._queue: OrderedDict[int, float] = OrderedDict()

    def __repr__(self) -> str:
        return (
            f"ServicePool({self.service.name!r}, executors={len(self.executors)}, "
            f"in_flight={self.in_flight}, queued={len(self._queue)})"
        )

    @property
    def in_flight(self) -> int:
        """Requests that are at executors."""
        return sum(executor.in_flight for executor in self.executors.values())

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    @property
    def has_executor(self) -> bool:
        """Whether an executor is there that is not leaving."""
        return any(not executor.leaving for executor in self.executors.values())

    def configure(self, service: ServiceConfig, picker: Picker) -> None:
        """Take over a changed configuration."""
        self.service = service
        self._picker = picker

    def set_executors(self, addresses: Mapping[str, str], leaving: frozenset[str]) -> None:
        """Take over the list of executors.

        One that is not listed any more gets nothing new, and is dropped once
        its requests are done.

        Args:
            addresses: ``ip:port`` by executor.
            leaving: Executors that are to get nothing new.
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
        """Return whether no executor has more of our requests than our share."""
        slots = self.service.slots
        return all(e.in_flight <= self._share(e.name, slots, now) for e in self.executors.values())

    def arrive(self, ticket: int, deadline: float, now: float) -> Assigned | Queued | Refused:
        """Take in a request.

        Args:
            ticket: Number that names it here.
            deadline: Time in seconds by which its answer is of use.
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
        """Return an executor for a retry or hedge, if one is free and allowed.

        Args:
            avoid: The executor that it must differ from.
            now: Time in seconds.
        """
        if self._queue:
            return None
        executor = self._pick(now, avoid=avoid)
        if executor is None or not self.retries.spend():
            return None
        return self._assign(0, executor).executor

    def expected_wait(self, now: float) -> float:
        """Return the seconds that a request arriving now should wait and be served.

        0 while too little is known to refuse anybody.
        """
        if 0 < sum(e.answers for e in self.executors.values()) < MIN_ANSWERS:
            return 0.0
        latencies = [e.latency_s for e in self.executors.values() if e.latency_s]
        service_s = SERVICE_MARGIN * sum(latencies) / len(latencies) if latencies else 0.0
        rate = self._drain_rate(now, latencies)
        return WAIT_MARGIN * (len(self._queue) + 1) / rate + service_s if rate else service_s

    def _drain_rate(self, now: float, latencies: list[float]) -> float:
        """Return requests a second, 0 when not known.

        Answers that came in a burst make the measured rate too high, so it is
        bounded by what our slots can do at the learnt latencies (Little, 1961).
        """
        measured = self._drain.per_second(now)
        if not latencies:
            return measured
        slots = sum(self._share(e.name, self.service.slots, now) for e in self._usable(now))
        limit = slots * len(latencies) / sum(latencies)
        return min(measured, limit) if measured else limit

    def abandon(self, ticket: int) -> None:
        """Drop a waiting request whose caller went away."""
        self._queue.pop(ticket, None)

    def answered(self, executor: str, latency_s: float, now: float) -> None:
        """Note a whole answer after ``latency_s`` seconds, freeing the slot."""
        found = self._free(executor, now)
        if found is None:
            return
        found.breaker.succeed()
        found.learn(latency_s)

    def failed(self, executor: str, now: float) -> bool:
        """Note a failure of the executor, freeing the slot.

        Returns:
            Whether the executor is set aside from now on.
        """
        found = self._free(executor, now)
        return found is not None and found.breaker.fail(now)

    def dropped(self, executor: str, now: float) -> None:
        """Note that the caller gave up, freeing the slot."""
        found = self._free(executor, now)
        if found is not None:
            found.breaker.abandon()

    def drain(self, now: float) -> Iterator[Assigned | Refused]:
        """Yield what becomes of waiting requests at this time, in seconds."""
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
        """Return the seconds after which a refused caller should come back."""
        latencies = [e.latency_s for e in self.executors.values() if e.latency_s]
        rate = self._drain_rate(now, latencies)
        wait = (len(self._queue) + 1) / rate if rate else 0.0
        return min(max(1, math.ceil(wait + min(latencies, default=0.0))), MAX_RETRY_AFTER_S)

    def _refuse(self, ticket: int, why: Refusal, now: float) -> Refused:
        return Refused(ticket, why, self.retry_after(now))

    def _assign(self, ticket: int, executor: Executor) -> Assigned:
        executor.in_flight += 1
        executor.breaker.begin()
        return Assigned(ticket, executor.name)

    def _free(self, name: str, now: float) -> Executor | None:
        self._drain.note(now)
        executor = self.executors.get(name)
        if executor is None:
            return None
        executor.in_flight -= 1
        if not self.in_flight and not self._queue:
            # Answers before a lull are as few as the requests were.
            self._drain.forget()
        return executor

    def _pick(self, now: float, avoid: str = "") -> Executor | None:
        usable = self._usable(now)
        slots = self.service.slots
        choices = [
            Choice(e.name, e.in_flight, share, e.latency_s)
            for e in usable
            if e.name != avoid and e.in_flight < (share := self._share(e.name, slots, now))
        ]
        if not choices:
            return None
        return self.executors[self._picker.pick(choices, self._random).name]

    def _usable(self, now: float) -> list[Executor]:
        """Return executors not set aside; too many set aside means a bad signal."""
        staying = [e for e in self.executors.values() if not e.leaving]
        allowed = [e for e in staying if e.breaker.allows(now)]
        if len(staying) - len(allowed) > MAX_EJECTED * len(staying):
            return staying
        return allowed
