"""Learns how much each kind of batch work slows each kind of service."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

KNOTS = 4
"""Loads, evenly from 0 to 1, at which effects are learnt; between them it is a line."""

PRIOR_EFFECT = 0.02
"""What one task of an unknown kind is taken to add to latency over target."""

PRIOR_BASE = 0.5
"""What an unknown service's latency over target is taken to be when alone."""

MIN_RATE = 0.05
"""Weight that a new measurement keeps for ever, so that drift is followed."""

SURGE_RATE = 0.04
"""Weight of a new measurement in a service's surge."""

MAX_SURGE = 2.0
"""Most that a surge is taken to multiply effects by; the least is its inverse."""

MAX_KINDS = 256
"""Kinds remembered for a service and knot; the longest unseen goes first."""


class KnotWeight(NamedTuple):
    """A knot and how much it counts at some load."""

    knot: int
    weight: float


def knot_weights(load: float) -> tuple[KnotWeight, ...]:
    """Return the knots around a load, with weights that add up to 1.

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
    """A learnt figure: its estimate and how much it was seen."""

    mean: float
    seen: float = 0.0

    def move(self, change: float, weight: float) -> None:
        """Move towards a measurement that was off by ``change``."""
        rate = max(MIN_RATE, 1.0 / (1.0 + self.seen))
        self.mean = max(0.0, self.mean + rate * change)
        self.seen += weight


@dataclass(slots=True)
class _Knot:
    """What was learnt of one service near one load."""

    base: Effect = field(default_factory=lambda: Effect(PRIOR_BASE))
    effects: dict[str, Effect] = field(default_factory=dict)


@dataclass(slots=True)
class _Service:
    """What was learnt of one service."""

    knots: list[_Knot] = field(default_factory=lambda: [_Knot() for _ in range(KNOTS)])
    surge: float = 1.0


class InterferenceModel:
    """Latency over target as a base plus a part for each task beside it.

    Base and parts are learnt for each service at a few loads, with straight
    lines between, by normalised least mean squares (Widrow and Hoff, 1960).
    The step shrinks as a figure is seen more but never below ``MIN_RATE``. A
    pair not seen near a load takes the nearest load's figure, and one never
    seen at all a small prior, so that unknown pairs are tried where there is
    room. What moves all workers of a service at once, such as a noisy spell,
    is followed quickly by one factor on all its effects, the surge, and so
    does not spoil the slowly learnt ones.
    """

    def __init__(self) -> None:
        self._services: defaultdict[str, _Service] = defaultdict(_Service)
        self._effects: dict[tuple[str, float, str], Effect] = {}
        self._bases: dict[tuple[str, float], float] = {}

    def __repr__(self) -> str:
        return f"InterferenceModel(services={len(self._services)})"

    def surge(self, service: str) -> float:
        """Return by what the service's effects are multiplied at present."""
        return self._services[service].surge

    def effect(self, service: str, load: float, kind: str) -> Effect:
        """Return what one task of a kind is believed to add, surge left out."""
        knots = self._services[service].knots
        parts = [(w, self._near(knots, knot, kind)) for knot, w in knot_weights(load)]
        return Effect(
            sum(w * effect.mean for w, effect in parts), sum(w * e.seen for w, e in parts)
        )

    def _near(self, knots: list[_Knot], at: int, kind: str) -> Effect:
        for distance in range(KNOTS):
            for knot in (at + distance, at - distance):
                if 0 <= knot < KNOTS and kind in knots[knot].effects:
                    known = knots[knot].effects[kind]
                    return known if not distance else Effect(known.mean, known.seen / 4)
        return Effect(PRIOR_EFFECT)

    def base(self, service: str, load: float) -> float:
        """Return the believed latency over target with nothing beside it."""
        knots = self._services[service].knots
        return sum(w * self._near_base(knots, knot) for knot, w in knot_weights(load))

    def _near_base(self, knots: list[_Knot], at: int) -> float:
        for distance in range(KNOTS):
            for knot in (at - distance, at + distance):
                if 0 <= knot < KNOTS and knots[knot].base.seen:
                    return knots[knot].base.mean
        return PRIOR_BASE

    def added(self, service: str, load: float, kinds: Mapping[str, float]) -> float:
        """Return what the tasks beside it are believed to add, surge left out."""
        return sum(n * self.kept_effect(service, load, kind).mean for kind, n in kinds.items())

    def kept_effect(self, service: str, load: float, kind: str) -> Effect:
        """Return an effect, kept until something is learnt: a pass asks for it often."""
        key = (service, load, kind)
        kept = self._effects.get(key)
        if kept is None:
            kept = self._effects[key] = self.effect(service, load, kind)
        return kept

    def _known_base(self, service: str, load: float) -> float:
        key = (service, load)
        base = self._bases.get(key)
        if base is None:
            base = self._bases[key] = self.base(service, load)
        return base

    def predict(self, service: str, load: float, kinds: Mapping[str, float]) -> float:
        """Return the latency over target to expect beside these tasks.

        Args:
            service: Kind of service.
            load: Its load, from 0 to 1.
            kinds: Number of tasks beside it by kind; throttled ones count less.
        """
        added = self.added(service, load, kinds)
        return self._known_base(service, load) + added * self.surge(service)

    def learn(self, service: str, load: float, kinds: Mapping[str, float], latency: float) -> None:
        """Take in a measurement.

        Args:
            service: Kind of service.
            load: Its load when it was measured, from 0 to 1.
            kinds: What ran beside it when it was measured.
            latency: Measured latency over target.
        """
        self._follow_surge(service, load, kinds, latency)
        error = latency - self.predict(service, load, kinds)
        weights = knot_weights(load)
        norm = 1.0 + sum(n * n for n in kinds.values())
        for at, part in weights:
            knot = self._services[service].knots[at]
            for kind, count in kinds.items():
                self._known(service, at, kind).move(
                    part * error * count / norm, part * count * count / norm
                )
            if not knot.base.seen:
                knot.base.mean = self._near_base(self._services[service].knots, at)
            knot.base.move(part * error / norm, part / norm)
            while len(knot.effects) > MAX_KINDS:
                del knot.effects[next(iter(knot.effects))]
        self._effects.clear()
        self._bases.clear()

    def _known(self, service: str, at: int, kind: str) -> Effect:
        knots = self._services[service].knots
        if kind not in knots[at].effects:
            near = self._near(knots, at, kind)
            knots[at].effects[kind] = Effect(near.mean, min(near.seen, 2.0))
        return knots[at].effects[kind]

    def _follow_surge(
        self, service: str, load: float, kinds: Mapping[str, float], latency: float
    ) -> None:
        added = self.added(service, load, kinds)
        if added < 2 * PRIOR_EFFECT:
            return
        known = self._services[service]
        seen = (latency - self.base(service, load)) / added
        seen = min(MAX_SURGE, max(1.0 / MAX_SURGE, seen))
        known.surge += SURGE_RATE * (seen - known.surge)
