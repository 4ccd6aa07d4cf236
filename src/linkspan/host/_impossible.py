"""Jobs of which it is known at once that they cannot be served."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.messages import fits_capacity

if TYPE_CHECKING:
    from collections.abc import Collection

    from linkspan.jobs.spec import Demand, JobSpec


def oversized_step(spec: JobSpec, capacities: Collection[Demand]) -> int | None:
    """Return the first step whose tasks are larger than any executor that was ever seen.

    Labels are no reason: an executor of another kind may come at any time. Nothing is
    said while no executor of the service was seen.

    Args:
        spec: The job.
        capacities: Sizes of the service's executors, also of those that are gone.

    Returns:
        Index of the step, ``None`` if each fits some executor.
    """
    if not capacities:
        return None
    for index, step in enumerate(spec.steps):
        if not any(fits_capacity(step, capacity) for capacity in capacities):
            return index
    return None
