"""Registry of placement policies, and the policies that do not learn."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from linkspan._registry import Registry
from linkspan.model.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Mapping

    from linkspan.model.job import JobSpec


class Candidate(NamedTuple):
    """A worker with enough free capacity for a task.

    Attributes:
        number: The worker's ledger number.
        room: Free capacity without the task.
        size: Total capacity.
        kinds: Number of tasks on the worker, by kind.
    """

    number: int
    room: Resources
    size: Resources
    kinds: Mapping[str, int]


class Policy(Protocol):
    """Ranks the feasible workers for a task."""

    def cost(self, spec: JobSpec, size: Resources, candidate: Candidate) -> float | None:
        """Return the candidate's cost, lower is better, or None to exclude it."""


POLICIES: Registry[Policy] = Registry("placement")
"""Placement policies by their names in the configuration."""


@POLICIES.register("first_fit")
class FirstFit:
    """Prefers the feasible worker with the lowest number."""

    def cost(self, spec: JobSpec, size: Resources, candidate: Candidate) -> float:
        """Return the worker's number."""
        return candidate.number


@POLICIES.register("best_fit")
class BestFit:
    """Prefers the worker with the least free capacity after the placement, by declared size."""

    def cost(self, spec: JobSpec, size: Resources, candidate: Candidate) -> float:
        """Return the sum of the free shares of CPU and memory after the placement."""
        free = candidate.room - size
        return free.milli_cpu / max(candidate.size.milli_cpu, 1) + free.memory_mb / max(
            candidate.size.memory_mb, 1
        )
