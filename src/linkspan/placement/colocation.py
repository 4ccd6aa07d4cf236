"""What shares each worker, how services fare there, and what to do about it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.placement.company_history import CompanyHistory
from linkspan.placement.guard import (
    RISE,
    THROUGHPUT_FIRST,
    BatchState,
    Guard,
    GuardWeights,
    ServiceState,
    kinds_beside,
)
from linkspan.placement.interference import InterferenceModel

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from linkspan.placement.guard import Action

ADMIT_MARGIN = 0.04
"""How far below the guard's limit a placement must leave the services."""

UNSEEN = 2.0
"""An effect seen less than this is a guess."""

BIAS_RATE = 0.15
"""Weight of a new measurement in a worker's bias."""

LOAD_WINDOW_S = 3.0
"""Measurements this far apart count as of one moment."""

MAX_BIAS = 0.1
"""Most that a worker's bias adds to a prediction."""

TRIALS = 3
"""Tasks of a kind that may run at once while its effect is a guess."""


class ServiceLoad:
    """A service's load now, from reports of all its tasks that come late.

    The gateways spread a service's requests evenly, so the freshest report of
    any task tells the load of all.
    """

    def __init__(self) -> None:
        self.latest = 0.5
        self._measured = float("-inf")

    def __repr__(self) -> str:
        return f"ServiceLoad(latest={self.latest:.2f}, measured={self._measured})"

    def note(self, load: float, measured: float) -> None:
        """Take in a task's load, measured at this time in seconds."""
        if measured < self._measured - LOAD_WINDOW_S:
            return
        weight = 0.5 if measured <= self._measured + LOAD_WINDOW_S else 1.0
        self.latest += weight * (load - self.latest)
        self._measured = max(self._measured, measured)


@dataclass(slots=True)
class _Site:
    """One worker."""

    guard: Guard
    history: CompanyHistory = field(default_factory=CompanyHistory)
    services: dict[object, ServiceState] = field(default_factory=dict)
    batch: Sequence[BatchState] = ()


class Colocation:
    """Admits batch work beside services, and relieves those that suffer.

    Args:
        weights: The customer's weights of tails against batch work.
        explores: Whether unknown pairs are tried one at a time on a worker.
    """

    def __init__(self, weights: GuardWeights = THROUGHPUT_FIRST, *, explores: bool = True) -> None:
        self.model = InterferenceModel()
        self._weights = weights
        self._explores = explores
        self._sites: dict[str, _Site] = {}
        self._running: Counter[str] = Counter()
        self._loads: dict[str, ServiceLoad] = {}

    def __repr__(self) -> str:
        return f"Colocation(workers={len(self._sites)}, model={self.model!r})"

    def note_company(
        self,
        worker: str,
        when: float,
        services: Mapping[object, str],
        batch: Sequence[BatchState],
    ) -> None:
        """Take in what runs on a worker from a moment on.

        Args:
            worker: The worker.
            when: The moment, in seconds on the worker's clock.
            services: Kind of each service's task on it.
            batch: The batch tasks on it.
        """
        site = self._site(worker)
        self._running.subtract(task.kind for task in site.batch)
        self._running.update(task.kind for task in batch)
        site.batch = batch
        site.history.note(when, kinds_beside(batch))
        site.services = {
            key: site.services.get(key, ServiceState(kind, 0.5, 0.0, float("-inf")))
            for key, kind in services.items()
        }

    def note_measured(
        self, worker: str, key: object, load: float, latency: float, when: float
    ) -> None:
        """Take in a late measurement of a service's task.

        Args:
            worker: The worker.
            key: The service's task there.
            load: Its load when measured, from 0 to 1.
            latency: Its latency over target.
            when: When it was measured, in seconds on the worker's clock.
        """
        site = self._site(worker)
        known = site.services.get(key)
        if known is None or when <= known.measured:
            return
        kinds = site.history.at(when)
        bias = known.bias
        if kinds is not None:
            self.model.learn(known.kind, load, kinds, latency)
            error = latency - self.model.predict(known.kind, load, kinds)
            bias = min(MAX_BIAS, max(0.0, bias + BIAS_RATE * (error - bias)))
        site.services[key] = ServiceState(known.kind, load, latency, when, bias)
        self._loads.setdefault(known.kind, ServiceLoad()).note(load, when)

    def _states(self, site: _Site) -> list[ServiceState]:
        """Return the worker's services at the newest load known of each anywhere."""
        return [
            state._replace(load=self._loads[state.kind].latest)
            if state.kind in self._loads
            else state
            for state in site.services.values()
        ]

    def predicted_with(
        self, worker: str, kind: str, *, company: Mapping[str, float] | None = None
    ) -> float | None:
        """Return the worst latency over target with one more task of a kind.

        Args:
            worker: The worker.
            kind: Kind of the task.
            company: Number of tasks by kind that are or will be on the worker,
                services among them; without it, what was last noted.

        Returns:
            None when that is too much, or would try too many unknown pairs.
        """
        site = self._site(worker)
        if not site.services:
            return 0.0
        beside = dict(kinds_beside(site.batch) if company is None else company)
        for state in site.services.values():
            beside.pop(state.kind, None)
        if self._explores and self._would_guess_too_much(site, kind, beside):
            return None
        beside[kind] = beside.get(kind, 0.0) + 1.0
        worst = max(
            self.model.predict(s.kind, min(1.0, s.load + RISE), beside) + s.bias
            for s in self._states(site)
        )
        return worst if worst <= self._weights.limit - ADMIT_MARGIN else None

    def _would_guess_too_much(self, site: _Site, kind: str, beside: Mapping[str, float]) -> bool:
        states = self._states(site)
        if not self._is_guess(states, kind):
            return False
        if self._running[kind] >= TRIALS:
            return True
        return any(self._is_guess(states, other) for other in beside)

    def _is_guess(self, states: Sequence[ServiceState], kind: str) -> bool:
        return any(self.model.kept_effect(s.kind, s.load, kind).seen < UNSEEN for s in states)

    def decide(self, worker: str, now: float) -> list[Action]:
        """Return what to do on a worker.

        Args:
            worker: The worker.
            now: Time in seconds on the worker's clock.
        """
        site = self._site(worker)
        return site.guard.decide(self._states(site), site.batch, now)

    def _site(self, worker: str) -> _Site:
        if worker not in self._sites:
            self._sites[worker] = _Site(Guard(self.model, self._weights))
        return self._sites[worker]
