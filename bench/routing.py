"""Compares routing policies in virtual time.

Run as ``python -m bench.routing``. The modelled deployment has 24 executors of 8 slots in
3 halls with 8 gateways. Requests do not leave their hall, so one hall is simulated, with 8
executors and 3 gateways. Each gateway uses the product's pool with its share of the slots.
Two baselines have no limit per gateway: ``unlimited`` picks the least loaded executor by
the gateway's own count, and ``gossip`` picks the less loaded of two random executors by
counts that are up to one heartbeat old.
"""

from __future__ import annotations

import argparse
import heapq
import random
from collections import Counter
from itertools import count
from typing import NamedTuple

from linkspan.config.document import ServiceConfig
from linkspan.routing.pickers import PICKERS
from linkspan.routing.pool import Assigned, Queued, ServicePool
from linkspan.routing.shares import slot_owners

EXECUTORS = tuple(f"e{n}" for n in range(8))
GATEWAYS = ("g0", "g1", "g2")
SLOTS = 8
SERVICE_S = 0.05
DEADLINE_S = 0.5
SECONDS = 40.0
FREEZE = (10.0, 20.0)
POLICIES = ("round_robin", "two_choices", "least_loaded", "shortest_wait", "unlimited", "gossip")
LOADS = (0.5, 0.8, 1.0, 1.5)


class Figures(NamedTuple):
    """Results of one run, with times in milliseconds."""

    p50: float
    p99: float
    p999: float
    goodput: float
    most_in_flight: int
    refused_ms: float


class _Executor:
    """Serves as many requests at once as it has slots, and queues the others in order."""

    def __init__(self, slow: float) -> None:
        self.slow = slow
        self.busy = 0
        self.waiting: list[int] = []
        self.max_in_flight = 0


class Hall:
    """Simulation of one hall in virtual time.

    Args:
        policy: One of ``POLICIES``.
        load: Ratio of offered load to the hall's capacity, with all executors at full speed.
        slow: Number of executors that are three times slower.
        freeze: Whether one gateway freezes during ``FREEZE``.
        seed: Seed of the random number generator.
    """

    def __init__(self, policy: str, load: float, slow: int, freeze: bool, seed: int) -> None:
        self.random = random.Random(seed)
        self.policy = policy
        self.freeze = freeze
        self.rate = load * len(EXECUTORS) * SLOTS / SERVICE_S
        self.executors = {
            name: _Executor(3.0 if n < slow else 1.0) for n, name in enumerate(EXECUTORS)
        }
        self.events: list[tuple[float, int, str, int]] = []
        self.order = count()
        self.arrived: dict[int, tuple[float, str]] = {}
        self.executor_of: dict[int, str] = {}
        self.sent: dict[int, float] = {}
        self.latencies: list[float] = []
        self.refused: list[float] = []
        self.late = 0
        self.total = 0
        self.counts: dict[str, Counter[str]] = {g: Counter() for g in GATEWAYS}
        self.gossip: Counter[str] = Counter()
        service = ServiceConfig("finder-api", "borne-breizh", slots=SLOTS)
        self.pools = {g: self._pool(g, service) for g in GATEWAYS}

    def _pool(self, gateway: str, service: ServiceConfig) -> ServicePool:
        members = frozenset(GATEWAYS)

        def share(executor: str, slots: int, now: float) -> int:
            if self.policy in ("unlimited", "gossip"):
                return 10_000
            return slot_owners(executor, slots, members).count(gateway)

        picker = "least_loaded" if self.policy in ("unlimited", "gossip") else self.policy
        pool = ServicePool(
            service, share, picker=PICKERS.make(picker), rng=random.Random(self.random.random())
        )
        pool.set_executors({name: "127.0.0.1:1" for name in EXECUTORS}, frozenset())
        return pool

    def run(self) -> Figures:
        """Run the simulation and return its results."""
        self._push(0.0, "arrive", 0)
        self._push(0.0, "beat", 0)
        while self.events and self.events[0][0] < SECONDS:
            now, _, kind, ticket = heapq.heappop(self.events)
            getattr(self, f"_on_{kind}")(now, ticket)
        ordered = sorted(self.latencies) or [0.0]
        return Figures(
            *(ordered[int(part * (len(ordered) - 1))] * 1e3 for part in (0.5, 0.99, 0.999)),
            goodput=len(self.latencies) / max(1, self.total),
            most_in_flight=max(e.max_in_flight for e in self.executors.values()),
            refused_ms=max(self.refused, default=0.0) * 1e3,
        )

    def _push(self, when: float, kind: str, ticket: int) -> None:
        heapq.heappush(self.events, (when, next(self.order), kind, ticket))

    def _frozen(self, gateway: str, now: float) -> bool:
        return self.freeze and gateway == "g0" and FREEZE[0] <= now < FREEZE[1]

    def _on_arrive(self, now: float, ticket: int) -> None:
        self._push(now + self.random.expovariate(self.rate), "arrive", ticket + 1)
        # The load balancer detects a frozen gateway after two seconds.
        gateways = [g for g in GATEWAYS if not (self._frozen(g, now) and now > FREEZE[0] + 2)]
        gateway = self.random.choice(gateways)
        self.total += 1
        self.arrived[ticket] = (now, gateway)
        if self._frozen(gateway, now):
            self._push(FREEZE[1], "thaw", ticket)
        else:
            self._enter(now, ticket)

    def _on_thaw(self, now: float, ticket: int) -> None:
        self._enter(now, ticket)

    def _enter(self, now: float, ticket: int) -> None:
        arrived, gateway = self.arrived[ticket]
        if self.policy == "gossip":
            pair = self.random.sample(EXECUTORS, 2)
            self._send(now, ticket, min(pair, key=lambda e: self.gossip[e]))
            return
        result = self.pools[gateway].arrive(ticket, arrived + DEADLINE_S, now)
        if isinstance(result, Assigned):
            self._send(now, ticket, result.executor)
        elif isinstance(result, Queued):
            self._push(arrived + DEADLINE_S, "expire", ticket)
        else:
            self.refused.append(now - arrived)

    def _send(self, now: float, ticket: int, executor: str) -> None:
        self.executor_of[ticket] = executor
        self.sent[ticket] = now
        self.counts[self.arrived[ticket][1]][executor] += 1
        target = self.executors[executor]
        target.waiting.append(ticket)
        target.max_in_flight = max(target.max_in_flight, target.busy + len(target.waiting))
        self._serve(now, executor)

    def _serve(self, now: float, executor: str) -> None:
        target = self.executors[executor]
        while target.waiting and target.busy < SLOTS:
            ticket = target.waiting.pop(0)
            target.busy += 1
            duration_s = self.random.lognormvariate(0.0, 0.5) / 1.133 * SERVICE_S * target.slow
            self._push(now + duration_s, "done", ticket)

    def _on_done(self, now: float, ticket: int) -> None:
        executor, sent = self.executor_of.pop(ticket), self.sent.pop(ticket)
        arrived, gateway = self.arrived.pop(ticket)
        target = self.executors[executor]
        target.busy -= 1
        self._serve(now, executor)
        if now - arrived <= DEADLINE_S:
            self.latencies.append(now - arrived)
        else:
            self.late += 1
        self.counts[gateway][executor] -= 1
        if self.policy == "gossip":
            return
        self.pools[gateway].answered(executor, now - sent, now)
        self._drain(now, gateway)

    def _on_expire(self, now: float, ticket: int) -> None:
        if ticket in self.arrived:
            self._drain(now, self.arrived[ticket][1])

    def _drain(self, now: float, gateway: str) -> None:
        if self._frozen(gateway, now):
            return
        for result in self.pools[gateway].drain(now):
            if isinstance(result, Assigned):
                self._send(now, result.ticket, result.executor)
            else:
                self.refused.append(now - self.arrived[result.ticket][0])

    def _on_beat(self, now: float, ticket: int) -> None:
        self._push(now + 1.0, "beat", ticket)
        self.gossip = sum(self.counts.values(), Counter())


def run(policy: str, load: float, slow: int = 0, freeze: bool = False, seed: int = 1) -> Figures:
    """Simulate one hall and return the results."""
    return Hall(policy, load, slow, freeze, seed).run()


def main() -> None:
    """Print the results of all scenarios, loads and policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    scenarios = [("equal", 0, False), ("2 of 8 slow", 2, False), ("1 of 3 frozen", 0, True)]
    print(f"{'executors':<15}{'load':>5}  {'policy':<14}{'p50':>7}{'p99':>8}{'p99.9':>8}", end="")
    print(f"{'goodput':>9}{'most at one':>13}{'slowest no':>12}")
    for name, slow, freeze in scenarios:
        for load in LOADS:
            for policy in POLICIES:
                f = run(policy, load, slow, freeze, args.seed)
                print(
                    f"{name:<15}{load:>5}  {policy:<14}{f.p50:>7.0f}{f.p99:>8.0f}{f.p999:>8.0f}"
                    f"{f.goodput:>9.3f}{f.most_in_flight:>13}{f.refused_ms:>12.0f}"
                )


if __name__ == "__main__":
    main()
