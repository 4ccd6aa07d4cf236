"""Which learnt effects an owner tells next, so that its news stay short."""

from __future__ import annotations

import heapq
from math import sqrt
from typing import TYPE_CHECKING

from linkspan.shard.handover.summary import PairEffect

if TYPE_CHECKING:
    from collections.abc import Iterable

    Pair = tuple[str, str]

TOLD_IN_TURN = 12
"""Effects told at once because it is their turn. A hall of 16 standing images beside 30
best-effort ones knows some 300 pairs: all are told within half a minute, in which hosts that
start learn them, and each telling takes half a kilobyte of what every host reads."""

TOLD_AS_CHANGED = 12
"""Effects told at once because they changed most since they were last told."""


class EffectSelector:
    """Chooses effects by turns and by how much they changed."""

    def __init__(self) -> None:
        self._told: dict[Pair, PairEffect] = {}

    def __repr__(self) -> str:
        return f"EffectSelector({len(self._told)} told)"

    def select(self, effects: Iterable[PairEffect]) -> tuple[PairEffect, ...]:
        """Return what to tell now, and count it as told.

        Args:
            effects: All that is known at present.
        """
        known = {(effect.standing, effect.image): effect for effect in effects}
        # The longest untold go first: each telling puts its pairs at the end.
        self._told = {pair: told for pair, told in self._told.items() if pair in known}
        order = [*(pair for pair in known if pair not in self._told), *self._told]
        rest = order[TOLD_IN_TURN:]
        changed = heapq.nlargest(TOLD_AS_CHANGED, rest, lambda pair: self._change(known[pair]))
        chosen = [*order[:TOLD_IN_TURN], *changed]
        for pair in chosen:
            self._told.pop(pair, None)
            self._told[pair] = known[pair]
        return tuple(known[pair] for pair in chosen)

    def _change(self, effect: PairEffect) -> float:
        """Return by how much pressure others are wrong or in doubt for lack of this news."""
        told = self._told.get((effect.standing, effect.image))
        if told is None:
            return float("inf")
        doubt = max(sqrt(told.variance) - sqrt(effect.variance), 0.0)
        return abs(effect.mean - told.mean) + doubt
