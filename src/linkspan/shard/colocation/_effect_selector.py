"""Selects which learnt effects an owner publishes next, to keep its records short."""

from __future__ import annotations

import heapq
from math import sqrt
from typing import TYPE_CHECKING

from linkspan.shard.handover.summary import PairEffect

if TYPE_CHECKING:
    from collections.abc import Iterable

    Pair = tuple[str, str]

MAX_PUBLISHED_IN_TURN = 12
"""Limits the effects published at once because their last publication is the oldest. Several
hundred pairs of images are published within half a minute, so hosts that start learn them in that
time. Each publication adds half a kilobyte to what every host reads."""

MAX_PUBLISHED_AS_CHANGED = 12
"""Limits the effects published at once because they changed most since their last publication."""


class EffectSelector:
    """Selects effects by the age of their last publication and by how much they changed."""

    def __init__(self) -> None:
        self._published: dict[Pair, PairEffect] = {}

    def __repr__(self) -> str:
        return f"EffectSelector({len(self._published)} published)"

    def select(self, effects: Iterable[PairEffect]) -> tuple[PairEffect, ...]:
        """Return the effects to publish now, and mark them as published.

        Args:
            effects: All effects known at present.
        """
        known = {(effect.standing, effect.image): effect for effect in effects}
        # Never or least recently published pairs come first: publishing moves pairs to the end.
        self._published = {
            pair: published for pair, published in self._published.items() if pair in known
        }
        order = [*(pair for pair in known if pair not in self._published), *self._published]
        others = order[MAX_PUBLISHED_IN_TURN:]
        changed = heapq.nlargest(
            MAX_PUBLISHED_AS_CHANGED, others, lambda pair: self._change(known[pair])
        )
        chosen = [*order[:MAX_PUBLISHED_IN_TURN], *changed]
        for pair in chosen:
            self._published.pop(pair, None)
            self._published[pair] = known[pair]
        return tuple(known[pair] for pair in chosen)

    def _change(self, effect: PairEffect) -> float:
        """Return how far other owners' knowledge of an effect is off without this publication.

        The distance is the change of the mean plus the decrease of the standard deviation.
        """
        published = self._published.get((effect.standing, effect.image))
        if published is None:
            return float("inf")
        uncertainty = max(sqrt(published.variance) - sqrt(effect.variance), 0.0)
        return abs(effect.mean - published.mean) + uncertainty
