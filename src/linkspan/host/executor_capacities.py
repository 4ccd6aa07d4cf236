"""Known capacities of executors, collected from the summaries that owners publish."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.jobs.spec import Demand
    from linkspan.shard.handover.summary import HallSummary


MAX_CAPACITIES = 64
"""Limits the capacities kept of a service's executors. Beyond it, a capacity that a known one
covers is not added: executors that shrink and grow bring ever new capacities, and each job is
compared with all of them."""


class ExecutorCapacities:
    """Capacities of all executors that owners have ever published, by service.

    Args:
        halls: Number of halls.
    """

    def __init__(self, halls: int) -> None:
        self._unpublished_shards = set(range(halls))
        self._capacities: dict[str, set[Demand]] = {}

    def __repr__(self) -> str:
        return f"ExecutorCapacities({self._capacities!r})"

    def add_summary(self, shard: int, summary: HallSummary) -> None:
        """Add the capacities from a summary that the owner of a shard published."""
        if summary.kinds is None:
            return
        self._unpublished_shards.discard(shard)
        for kind in summary.kinds:
            self._add(kind.service, kind.capacity)
        for service, capacity in summary.former_capacities:
            self._add(service, capacity)

    def _add(self, service: str, capacity: Demand) -> None:
        capacities = self._capacities.setdefault(service, set())
        if len(capacities) >= MAX_CAPACITIES and any(
            known.union(capacity) == known for known in capacities
        ):
            return
        capacities.add(capacity)

    def of(self, service: str) -> frozenset[Demand]:
        """Return the capacities of a service's executors, including those that have left.

        The result is empty until every hall has published its executors, since the largest
        executor may be in a hall that has not.
        """
        return (
            frozenset()
            if self._unpublished_shards
            else frozenset(self._capacities.get(service, ()))
        )
