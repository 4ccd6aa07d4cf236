"""Estimates of the memory that a job takes, of every host and of the owner of its hall."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.jobs.spec import JobSpec

ENTRY_BYTES = 1_300
"""Memory of a job's entry in the catalog, without its payload and steps."""

STEP_SPEC_BYTES = 400
"""Memory of the specification of one step."""

REPETITION_BYTES = 300
"""Memory of an open repetition of a job, without its steps."""

STEP_BYTES = 280
"""Memory of a step of an open repetition, without its tasks."""

TASK_BYTES = 680
"""Memory of a task of an open repetition."""


@dataclass(frozen=True, slots=True)
class JobFootprint:
    """Memory that a job takes until it is finished, in bytes.

    Attributes:
        record_bytes: What each host keeps of its record.
        owner_bytes: What the owner of its hall keeps of it in addition: one repetition, as further
            ones share a memory of their own, or all of them if they are standing.
    """

    record_bytes: int
    owner_bytes: int

    @property
    def total_bytes(self) -> int:
        """What it takes at the owner of its hall."""
        return self.record_bytes + self.owner_bytes

    @classmethod
    def of(cls, spec: JobSpec) -> JobFootprint:
        """Return the footprint of a job."""
        steps = len(spec.steps)
        repetition = REPETITION_BYTES + steps * STEP_BYTES + spec.tasks_per_repetition * TASK_BYTES
        open_repetitions = 1 if spec.opens_on_demand else spec.repetitions
        return cls(
            ENTRY_BYTES + len(spec.payload) + steps * STEP_SPEC_BYTES,
            repetition * open_repetitions,
        )
