"""Keeps services within their latency targets: throttles batch tasks first, then evicts them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from linkspan.placement.interference import InterferenceModel

MIN_RELEASE_DELAY_S = 15.0
"""Minimum time between an action and a release: reports in between may predate the action."""

THROTTLED = 0.4
"""Speed of a throttled task, as a part of full speed."""

RELEASE_MARGIN = 0.06
"""Distance to the limit that predicted latency keeps when a throttled task is released."""

LOAD_RISE = 0.05
"""Rise of the load that predictions allow for until the next action is possible."""


class ServiceState(NamedTuple):
    """A service task on a worker.

    Attributes:
        kind: Kind of service.
        load: Current load, from 0 to 1.
        latency: Latest measured latency over target, 0 before the first one.
        measured: Time of that measurement, in seconds.
        bias: Excess of the measured latency on this worker over the prediction.
    """

    kind: str
    load: float
    latency: float
    measured: float
    bias: float = 0.0


class BatchState(NamedTuple):
    """A batch task on a worker.

    Attributes:
        key: The caller's identifier of the task.
        kind: Kind of work.
        at_risk_s: Work that an eviction would lose, in seconds.
        throttled: Whether the task currently runs at ``THROTTLED``.
    """

    key: object
    kind: str
    at_risk_s: float
    throttled: bool


class Measure(Enum):
    """Kind of action on a batch task."""

    THROTTLE = "throttle"
    RELEASE = "release"
    EVICT = "evict"


class Action(NamedTuple):
    """An action on a batch task, with the prediction behind it.

    Attributes:
        measure: Kind of action.
        key: The caller's identifier of the task.
        predicted: Predicted latency over target after the action.
    """

    measure: Measure
    key: object
    predicted: float


@dataclass(frozen=True, slots=True)
class GuardWeights:
    """A customer's trade-off between tail latency and batch throughput.

    Attributes:
        limit: Latency over target above which the guard acts.
        eviction_cost: Fixed cost of an eviction in seconds of work, in addition to
            the work that is lost.
        patience_s: Time in seconds for which throttling is tried before an eviction.
    """

    limit: float = 0.96
    eviction_cost: float = 30.0
    patience_s: float = 30.0


TAIL_FIRST = GuardWeights(limit=0.95, eviction_cost=10.0, patience_s=20.0)
THROUGHPUT_FIRST = GuardWeights(limit=0.97, eviction_cost=60.0, patience_s=45.0)


class Guard:
    """Decides on throttling and eviction on one worker.

    Args:
        model: The learned interference model.
        weights: The customer's trade-off.
    """

    def __init__(self, model: InterferenceModel, weights: GuardWeights | None = None) -> None:
        self._model = model
        self._weights = weights or GuardWeights()
        self._last_action_at = float("-inf")
        self._over_limit_since: float | None = None

    def __repr__(self) -> str:
        return f"Guard(acted={self._last_action_at}, over_limit_since={self._over_limit_since})"

    def decide(
        self, services: Sequence[ServiceState], batch: Sequence[BatchState], now: float
    ) -> list[Action]:
        """Return the actions to take now.

        Args:
            services: The service tasks on the worker.
            batch: The batch tasks on the worker.
            now: Time in seconds, on the clock of ``ServiceState.measured``.
        """
        if not services or not batch:
            return []
        worst = max(services, key=lambda s: self._expected_latency(s, batch))
        if self._expected_latency(worst, batch) > self._weights.limit:
            return self._reduce_latency(worst, list(batch), now)
        self._over_limit_since = None
        return self._release(services, batch, now)

    def _expected_latency(self, service: ServiceState, batch: Sequence[BatchState]) -> float:
        """Return the latency over target to expect until the next action.

        This is the higher of the prediction and the latest measurement, if the latter
        is newer than the last action. Older measurements count only through the model.
        """
        load = min(1.0, service.load + LOAD_RISE)
        predicted = self._model.predict(service.kind, load, count_by_kind(batch)) + service.bias
        if service.measured > self._last_action_at and service.latency:
            return max(service.latency, predicted)
        return predicted

    def _reduce_latency(
        self, service: ServiceState, batch: list[BatchState], now: float
    ) -> list[Action]:
        """Throttle tasks until the expected latency is within the limit.

        If throttling is exhausted and ``patience_s`` has passed since the last action and
        since the latency first exceeded the limit, evict a task instead.
        """
        if self._over_limit_since is None:
            self._over_limit_since = now
        actions: list[Action] = []
        latency = self._expected_latency(service, batch)
        while latency > self._weights.limit:
            unthrottled = [task for task in batch if not task.throttled]
            if not unthrottled:
                break
            chosen = max(unthrottled, key=lambda task: self._reduction(service, task))
            reduction = self._reduction(service, chosen) * (1.0 - THROTTLED)
            if reduction <= 0.0:
                break
            latency -= reduction
            batch[batch.index(chosen)] = chosen._replace(throttled=True)
            actions.append(Action(Measure.THROTTLE, chosen.key, latency))
        if (
            not actions
            and now - max(self._over_limit_since, self._last_action_at) >= self._weights.patience_s
        ):
            actions = self._evict(service, batch, latency)
        if actions:
            self._last_action_at = now
        return actions

    def _evict(
        self, service: ServiceState, batch: Sequence[BatchState], latency: float
    ) -> list[Action]:
        chosen = max(batch, key=lambda task: self._reduction_per_cost(service, task))
        reduction = self._reduction(service, chosen)
        return [Action(Measure.EVICT, chosen.key, latency - reduction)] if reduction > 0 else []

    def _reduction(self, service: ServiceState, task: BatchState) -> float:
        """Return the reduction of latency over target that removing the task would bring."""
        load = min(1.0, service.load + LOAD_RISE)
        effect = self._model.effect(service.kind, load, task.kind)
        speed = THROTTLED if task.throttled else 1.0
        return effect.mean * self._model.surge(service.kind) * speed

    def _reduction_per_cost(self, service: ServiceState, task: BatchState) -> float:
        cost = self._weights.eviction_cost + task.at_risk_s
        return self._reduction(service, task) / cost

    def _release(
        self, services: Sequence[ServiceState], batch: Sequence[BatchState], now: float
    ) -> list[Action]:
        throttled = [task for task in batch if task.throttled]
        if not throttled or now - self._last_action_at < MIN_RELEASE_DELAY_S:
            return []
        for task in throttled:
            after_release = [t._replace(throttled=False) if t is task else t for t in batch]
            worst = max(self._expected_latency(service, after_release) for service in services)
            if worst < self._weights.limit - RELEASE_MARGIN:
                self._last_action_at = now
                return [Action(Measure.RELEASE, task.key, worst)]
        return []


def count_by_kind(batch: Sequence[BatchState]) -> Mapping[str, float]:
    """Return the number of tasks by kind; a throttled task counts as ``THROTTLED``."""
    kinds: dict[str, float] = {}
    for task in batch:
        kinds[task.kind] = kinds.get(task.kind, 0.0) + (THROTTLED if task.throttled else 1.0)
    return kinds
