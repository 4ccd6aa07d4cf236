"""Detects jobs that no executor is large enough to run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.messages import fits_capacity

if TYPE_CHECKING:
    from collections.abc import Collection

    from linkspan.jobs.spec import Demand, JobSpec


def oversized_step(spec: JobSpec, capacities: Collection[Demand]) -> int | None:
    """Return the index of the first step whose tasks exceed every known executor of the service.

    Labels are not checked: an executor with other labels may register at any time.

    Args:
        spec: The job.
        capacities: Capacities of the service's executors, including those that have left.

    Returns:
        Index of the step; ``None`` if each step fits some executor or none is known.
    """
    if not capacities:
        return None
    for index, step in enumerate(spec.steps):
        if not any(fits_capacity(step, capacity) for capacity in capacities):
            return index
    return None
