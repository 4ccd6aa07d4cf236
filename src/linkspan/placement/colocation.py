"""Colocation of batch tasks with services: tracks their interference and limits it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.placement.colocation_history import ColocationHistory
from linkspan.placement.guard import (
    LOAD_RISE,
    THROUGHPUT_FIRST,
    BatchState,
    Guard,
    GuardWeights,
    ServiceState,
    count_by_kind,
)
from linkspan.placement.interference import InterferenceModel

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from linkspan.placement.guard import Action

ADMISSION_MARGIN = 0.04
"""Distance to the guard's limit that the predicted latency keeps when a task is admitted."""

MIN_SAMPLES = 2.0
"""Samples below which a learned effect counts as unknown."""

BIAS_WEIGHT = 0.15
"""Weight of a new measurement in the moving average of a worker's bias."""

LOAD_WINDOW_S = 3.0
"""Time within which measurements of a load count as simultaneous and are averaged."""

MAX_BIAS = 0.1
"""Limit on the bias that a worker adds to a predicted latency over target."""

MAX_TRIALS = 3
"""Limit on the concurrent tasks of a kind whose effect is unknown."""


class ServiceLoad:
    """Estimates a service's current load from delayed reports of all its tasks.

    The gateways spread a service's requests evenly, so that the latest report of any
    task gives the load of all its tasks.
    """

    def __init__(self) -> None:
        self.latest = 0.5
        self._measured = float("-inf")

    def __repr__(self) -> str:
        return f"ServiceLoad(latest={self.latest:.2f}, measured={self._measured})"

    def note(self, load: float, measured: float) -> None:
        """Add a task's load that was measured at ``measured``, in seconds."""
        if measured < self._measured - LOAD_WINDOW_S:
            return
        weight = 0.5 if measured <= self._measured + LOAD_WINDOW_S else 1.0
        self.latest += weight * (load - self.latest)
        self._measured = max(self._measured, measured)


@dataclass(slots=True)
class _WorkerState:
    """State of one worker."""

    guard: Guard
    history: ColocationHistory = field(default_factory=ColocationHistory)
    services: dict[object, ServiceState] = field(default_factory=dict)
    batch: Sequence[BatchState] = ()


class Colocation:
    """Admits batch tasks to workers with services, and protects services from interference.

    Args:
        weights: The customer's trade-off between tail latency and batch throughput.
        explores: Whether tasks with unknown effects are tried in limited numbers:
            at most ``MAX_TRIALS`` of a kind in all, and one per worker. Otherwise
            they are admitted by their prior effect alone.
    """

    def __init__(self, weights: GuardWeights = THROUGHPUT_FIRST, *, explores: bool = True) -> None:
        self.model = InterferenceModel()
        self._weights = weights
        self._explores = explores
        self._worker_states: dict[str, _WorkerState] = {}
        self._running_by_kind: Counter[str] = Counter()
        self._loads: dict[str, ServiceLoad] = {}

    def __repr__(self) -> str:
        return f"Colocation(workers={len(self._worker_states)}, model={self.model!r})"

    def record_tasks(
        self,
        worker: str,
        when: float,
        services: Mapping[object, str],
        batch: Sequence[BatchState],
    ) -> None:
        """Record the tasks that run on a worker from a point in time on.

        Args:
            worker: Name of the worker.
            when: The time in seconds, on the clock of the measurements.
            services: Kinds of the service tasks on the worker, by task key.
            batch: The batch tasks on the worker.
        """
        worker_state = self._state_of(worker)
        self._running_by_kind.subtract(task.kind for task in worker_state.batch)
        self._running_by_kind.update(task.kind for task in batch)
        worker_state.batch = batch
        worker_state.history.note(when, count_by_kind(batch))
        worker_state.services = {
            key: worker_state.services.get(key, ServiceState(kind, 0.5, 0.0, float("-inf")))
            for key, kind in services.items()
        }

    def record_measurement(
        self, worker: str, key: object, load: float, latency: float, when: float
    ) -> None:
        """Learn from a delayed measurement of a service task.

        Args:
            worker: Name of the worker.
            key: Key of the service task.
            load: Load at the time of the measurement, from 0 to 1.
            latency: Latency over target.
            when: Time of the measurement in seconds, on the clock of :meth:`record_tasks`.
        """
        worker_state = self._state_of(worker)
        known = worker_state.services.get(key)
        if known is None or when <= known.measured:
            return
        kinds = worker_state.history.at(when)
        bias = known.bias
        if kinds is not None:
            self.model.learn(known.kind, load, kinds, latency)
            error = latency - self.model.predict(known.kind, load, kinds)
            bias = min(MAX_BIAS, max(0.0, bias + BIAS_WEIGHT * (error - bias)))
        worker_state.services[key] = ServiceState(known.kind, load, latency, when, bias)
        self._loads.setdefault(known.kind, ServiceLoad()).note(load, when)

    def _services_at_latest_load(self, worker_state: _WorkerState) -> list[ServiceState]:
        """Return the worker's service tasks, with the latest known loads of their services."""
        return [
            state._replace(load=self._loads[state.kind].latest)
            if state.kind in self._loads
            else state
            for state in worker_state.services.values()
        ]

    def predict_with(
        self, worker: str, kind: str, *, counts: Mapping[str, float] | None = None
    ) -> float | None:
        """Predict the highest latency over target with one more task of a kind on the worker.

        Args:
            worker: Name of the worker.
            kind: Kind of the task.
            counts: Number of tasks by kind that are or will be on the worker,
                including services. Defaults to the batch tasks last recorded.

        Returns:
            The prediction, or None if it is above the limit for admission or the
            task would exceed the limits on trials of unknown kinds.
        """
        worker_state = self._state_of(worker)
        if not worker_state.services:
            return 0.0
        colocated = dict(count_by_kind(worker_state.batch) if counts is None else counts)
        for state in worker_state.services.values():
            colocated.pop(state.kind, None)
        if self._explores and self._exceeds_trial_limits(worker_state, kind, colocated):
            return None
        colocated[kind] = colocated.get(kind, 0.0) + 1.0
        highest = max(
            self.model.predict(s.kind, min(1.0, s.load + LOAD_RISE), colocated) + s.bias
            for s in self._services_at_latest_load(worker_state)
        )
        return highest if highest <= self._weights.limit - ADMISSION_MARGIN else None

    def _exceeds_trial_limits(
        self, worker_state: _WorkerState, kind: str, colocated: Mapping[str, float]
    ) -> bool:
        services = self._services_at_latest_load(worker_state)
        if not self._is_unknown(services, kind):
            return False
        if self._running_by_kind[kind] >= MAX_TRIALS:
            return True
        return any(self._is_unknown(services, other) for other in colocated)

    def _is_unknown(self, services: Sequence[ServiceState], kind: str) -> bool:
        return any(
            self.model.cached_effect(s.kind, s.load, kind).samples < MIN_SAMPLES for s in services
        )

    def decide(self, worker: str, now: float) -> list[Action]:
        """Return the actions that the guard takes on a worker now.

        Args:
            worker: Name of the worker.
            now: Time in seconds, on the clock of the measurements.
        """
        worker_state = self._state_of(worker)
        return worker_state.guard.decide(
            self._services_at_latest_load(worker_state), worker_state.batch, now
        )

    def _state_of(self, worker: str) -> _WorkerState:
        if worker not in self._worker_states:
            self._worker_states[worker] = _WorkerState(Guard(self.model, self._weights))
        return self._worker_states[worker]
