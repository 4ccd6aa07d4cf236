"""Model of the interference between kinds of batch tasks and services, learned online."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

KNOTS = 4
"""Number of loads, evenly spaced from 0 to 1, at which effects are learned.

Between them effects are interpolated linearly."""

PRIOR_EFFECT = 0.02
"""Assumed effect of one task of an unknown kind on latency over target."""

PRIOR_BASE = 0.5
"""Assumed latency over target of an unknown service without colocated tasks."""

MIN_LEARNING_RATE = 0.05
"""Minimum weight of a new measurement, so that estimates follow drift."""

SURGE_RATE = 0.04
"""Weight of a new measurement in a service's surge factor."""

MAX_SURGE = 2.0
"""Limit on the surge factor; its inverse is the lower limit."""

MAX_KINDS = 256
"""Limit on the kinds kept per service and knot; the kind that was added first is dropped."""


class KnotWeight(NamedTuple):
    """A knot and its interpolation weight at some load."""

    knot: int
    weight: float


def knot_weights(load: float) -> tuple[KnotWeight, ...]:
    """Return the knots next to a load, with interpolation weights that add up to 1.

    Example:
        >>> knot_weights(1.0)
        (KnotWeight(knot=3, weight=1.0),)
        >>> [(k.knot, round(k.weight, 2)) for k in knot_weights(0.5)]
        [(1, 0.5), (2, 0.5)]
    """
    position = min(1.0, max(0.0, load)) * (KNOTS - 1)
    below = int(position)
    part = position - below
    if part == 0.0:
        return (KnotWeight(below, 1.0),)
    return KnotWeight(below, 1.0 - part), KnotWeight(below + 1, part)


@dataclass(slots=True)
class Effect:
    """A learned value and the weight of its samples."""

    mean: float
    samples: float = 0.0

    def update(self, change: float, weight: float) -> None:
        """Correct the mean by ``change``, the error of a measurement, times the learning rate."""
        rate = max(MIN_LEARNING_RATE, 1.0 / (1.0 + self.samples))
        self.mean = max(0.0, self.mean + rate * change)
        self.samples += weight


@dataclass(slots=True)
class _Knot:
    """Learned values of one service at one knot."""

    base: Effect = field(default_factory=lambda: Effect(PRIOR_BASE))
    effects: dict[str, Effect] = field(default_factory=dict)


@dataclass(slots=True)
class _Service:
    """Learned values of one service."""

    knots: list[_Knot] = field(default_factory=lambda: [_Knot() for _ in range(KNOTS)])
    surge: float = 1.0


class InterferenceModel:
    """Predicts latency over target as a base plus an effect for each colocated task.

    Base and effects are learned per service at a few loads, with linear interpolation,
    by normalised least mean squares (Widrow and Hoff, 1960). The learning rate falls
    with the number of samples, down to ``MIN_LEARNING_RATE``. A pair of service and kind
    without samples near a load takes the effect at the nearest load with samples. A pair
    without any samples takes a small prior, so that it is tried where there is capacity.

    A change that affects all tasks of a service at once, such as a noisy period, is
    tracked by one fast factor on all effects of the service, the surge factor. It
    keeps such changes out of the effects, which are learned slowly.
    """

    def __init__(self) -> None:
        self._services: defaultdict[str, _Service] = defaultdict(_Service)
        self._cached_effects: dict[tuple[str, float, str], Effect] = {}
        self._cached_bases: dict[tuple[str, float], float] = {}

    def __repr__(self) -> str:
        return f"InterferenceModel(services={len(self._services)})"

    def surge(self, service: str) -> float:
        """Return the current surge factor of the service's effects."""
        return self._services[service].surge

    def effect(self, service: str, load: float, kind: str) -> Effect:
        """Return the estimated effect of one task of a kind, without the surge factor."""
        knots = self._services[service].knots
        parts = [(w, self._nearest_effect(knots, knot, kind)) for knot, w in knot_weights(load)]
        return Effect(
            sum(w * effect.mean for w, effect in parts), sum(w * e.samples for w, e in parts)
        )

    def _nearest_effect(self, knots: list[_Knot], at: int, kind: str) -> Effect:
        for distance in range(KNOTS):
            for knot in (at + distance, at - distance):
                if 0 <= knot < KNOTS and kind in knots[knot].effects:
                    known = knots[knot].effects[kind]
                    return known if not distance else Effect(known.mean, known.samples / 4)
        return Effect(PRIOR_EFFECT)

    def base(self, service: str, load: float) -> float:
        """Return the estimated latency over target without colocated tasks."""
        knots = self._services[service].knots
        return sum(w * self._nearest_base(knots, knot) for knot, w in knot_weights(load))

    def _nearest_base(self, knots: list[_Knot], at: int) -> float:
        for distance in range(KNOTS):
            for knot in (at - distance, at + distance):
                if 0 <= knot < KNOTS and knots[knot].base.samples:
                    return knots[knot].base.mean
        return PRIOR_BASE

    def added(self, service: str, load: float, kinds: Mapping[str, float]) -> float:
        """Return the estimated sum of the colocated tasks' effects, without the surge factor."""
        return sum(n * self.cached_effect(service, load, kind).mean for kind, n in kinds.items())

    def cached_effect(self, service: str, load: float, kind: str) -> Effect:
        """Return an effect from a cache that lasts until the next measurement.

        A placement pass asks for the same effects many times.
        """
        key = (service, load, kind)
        cached = self._cached_effects.get(key)
        if cached is None:
            cached = self._cached_effects[key] = self.effect(service, load, kind)
        return cached

    def _cached_base(self, service: str, load: float) -> float:
        key = (service, load)
        base = self._cached_bases.get(key)
        if base is None:
            base = self._cached_bases[key] = self.base(service, load)
        return base

    def predict(self, service: str, load: float, kinds: Mapping[str, float]) -> float:
        """Predict the latency over target of a service with these colocated tasks.

        Args:
            service: Kind of service.
            load: Load of the service, from 0 to 1.
            kinds: Number of colocated tasks by kind; throttled ones count less than 1.
        """
        added = self.added(service, load, kinds)
        return self._cached_base(service, load) + added * self.surge(service)

    def learn(self, service: str, load: float, kinds: Mapping[str, float], latency: float) -> None:
        """Learn from a measurement.

        Args:
            service: Kind of service.
            load: Load of the service at the time of the measurement, from 0 to 1.
            kinds: Number of colocated tasks by kind at that time.
            latency: Measured latency over target.
        """
        self._update_surge(service, load, kinds, latency)
        error = latency - self.predict(service, load, kinds)
        weights = knot_weights(load)
        norm = 1.0 + sum(n * n for n in kinds.values())
        for at, part in weights:
            knot = self._services[service].knots[at]
            for kind, count in kinds.items():
                self._effect_at(service, at, kind).update(
                    part * error * count / norm, part * count * count / norm
                )
            if not knot.base.samples:
                knot.base.mean = self._nearest_base(self._services[service].knots, at)
            knot.base.update(part * error / norm, part / norm)
            while len(knot.effects) > MAX_KINDS:
                del knot.effects[next(iter(knot.effects))]
        self._cached_effects.clear()
        self._cached_bases.clear()

    def _effect_at(self, service: str, at: int, kind: str) -> Effect:
        knots = self._services[service].knots
        if kind not in knots[at].effects:
            nearest = self._nearest_effect(knots, at, kind)
            knots[at].effects[kind] = Effect(nearest.mean, min(nearest.samples, 2.0))
        return knots[at].effects[kind]

    def _update_surge(
        self, service: str, load: float, kinds: Mapping[str, float], latency: float
    ) -> None:
        added = self.added(service, load, kinds)
        if added < 2 * PRIOR_EFFECT:
            return
        known = self._services[service]
        measured = (latency - self.base(service, load)) / added
        measured = min(MAX_SURGE, max(1.0 / MAX_SURGE, measured))
        known.surge += SURGE_RATE * (measured - known.surge)
