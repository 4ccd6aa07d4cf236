"""How large executors are, as the halls' owners tell it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.jobs.spec import Demand
    from linkspan.shard.handover.summary import HallSummary


MAX_SIZES = 64
"""Sizes of a service's executors from which on one that a larger one holds is not kept: rooms
that shrink and grow bring ever new ones, and each job is compared with all."""


class ExecutorSizes:
    """The sizes of executors that were ever told of, by service.

    Args:
        halls: Number of the halls.
    """

    def __init__(self, halls: int) -> None:
        self._untold = set(range(halls))
        self._seen: dict[str, set[Demand]] = {}

    def __repr__(self) -> str:
        return f"ExecutorSizes({self._seen!r})"

    def note(self, shard: int, summary: HallSummary) -> None:
        """Take in what the owner of a shard tells."""
        if summary.kinds is None:
            return
        self._untold.discard(shard)
        for kind in summary.kinds:
            self._note(kind.service, kind.capacity)
        for service, size in summary.former_capacities:
            self._note(service, size)

    def _note(self, service: str, size: Demand) -> None:
        seen = self._seen.setdefault(service, set())
        if len(seen) >= MAX_SIZES and any(known.union(size) == known for known in seen):
            return
        seen.add(size)

    def of(self, service: str) -> frozenset[Demand]:
        """Return the sizes of a service's executors, also of those that are gone.

        None are returned before each hall has told what it has: the largest may be there.
        """
        return frozenset() if self._untold else frozenset(self._seen.get(service, ()))
