"""Load-balancing policies that pick one of the executors with a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from linkspan._registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random


class Candidate(NamedTuple):
    """An executor that may take a request.

    Attributes:
        name: Name of the executor.
        in_flight: Requests that this gateway has in flight at the executor.
        share: Slots that this gateway may use there; always more than ``in_flight``.
        latency_s: Smoothed latency in seconds, 0 before the first answer.
    """

    name: str
    in_flight: int
    share: int
    latency_s: float


class Picker(Protocol):
    """Policy that picks an executor for a request."""

    def pick(self, candidates: Sequence[Candidate], random: Random) -> Candidate:
        """Return one of ``candidates``, which is not empty."""


PICKERS: Registry[Picker] = Registry("routing")
"""Pickers by their name in the configuration."""


@PICKERS.register("round_robin")
class RoundRobin:
    """Picks executors in turn by name, regardless of load."""

    def __init__(self) -> None:
        self._last = ""

    def pick(self, candidates: Sequence[Candidate], random: Random) -> Candidate:
        """Return the next candidate by name after the last one picked."""
        ordered = sorted(candidates)
        chosen = next(
            (candidate for candidate in ordered if candidate.name > self._last), ordered[0]
        )
        self._last = chosen.name
        return chosen


@PICKERS.register("two_choices")
class TwoChoices:
    """Picks the less loaded of two random executors (Mitzenmacher, 2001)."""

    def pick(self, candidates: Sequence[Candidate], random: Random) -> Candidate:
        """Return the less loaded of two random candidates."""
        pair = random.sample(candidates, 2) if len(candidates) > 1 else candidates
        return min(pair, key=lambda candidate: candidate.in_flight / candidate.share)


@PICKERS.register("least_loaded")
class LeastLoaded:
    """Picks the executor where this gateway uses the smallest fraction of its share."""

    def pick(self, candidates: Sequence[Candidate], random: Random) -> Candidate:
        """Return the least loaded candidate; ties are broken at random."""
        return min(
            candidates,
            key=lambda candidate: (candidate.in_flight / candidate.share, random.random()),
        )


@PICKERS.register("shortest_wait")
class ShortestWait:
    """Picks the executor with the shortest expected response time."""

    def pick(self, candidates: Sequence[Candidate], random: Random) -> Candidate:
        """Return the candidate with the smallest product of smoothed latency and load."""
        return min(
            candidates,
            key=lambda candidate: (
                candidate.latency_s * (1 + candidate.in_flight / candidate.share),
                random.random(),
            ),
        )
