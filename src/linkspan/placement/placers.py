"""Registry of the placers that the configuration can select."""

from __future__ import annotations

from linkspan._registry import Registry
from linkspan.placement.guard import TAIL_FIRST, THROUGHPUT_FIRST
from linkspan.placement.learned import LearnedPlacer
from linkspan.placement.placer import PolicyPlacer
from linkspan.placement.policies import POLICIES

DEFAULT_PLACER = "learned_throughput"
"""Placer of customers whose configuration does not name one."""

PLACERS: Registry[PolicyPlacer] = Registry("placement")
"""Placers by their names in the configuration; each plain policy has a placer."""


@PLACERS.register("learned_tail")
def _learned_tail() -> PolicyPlacer:
    return LearnedPlacer(TAIL_FIRST)


@PLACERS.register("learned_throughput")
def _learned_throughput() -> PolicyPlacer:
    return LearnedPlacer(THROUGHPUT_FIRST)


@PLACERS.register("first_fit")
def _first_fit() -> PolicyPlacer:
    return PolicyPlacer(POLICIES.make("first_fit"))


@PLACERS.register("best_fit")
def _best_fit() -> PolicyPlacer:
    return PolicyPlacer(POLICIES.make("best_fit"))
