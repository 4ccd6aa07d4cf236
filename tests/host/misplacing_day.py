"""Days in full halls on which standing jobs are accepted for halls without room for them."""

from __future__ import annotations

from typing import ClassVar

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec
from tests.host.overlapping_day import OverlappingDay


class MisplacingDay(OverlappingDay):
    """A day on which some hosts have an outdated view of the halls' capacity.

    Attributes:
        misplaced_share: Share of the standing jobs that are accepted for a random hall; full halls
            move them away.
    """

    misplaced_share: ClassVar[float]

    async def _caller(self, spec: JobSpec) -> None:
        if not spec.standing or self.random.random() >= self.misplaced_share:
            await super()._caller(spec)
            return
        world = self.world
        world.specs[spec.job_id] = spec
        hall = self.random.randrange(len(world.halls))
        world.store.put(JOBS, *encode(Submitted(spec, hall, 0.0, "life-x")))
        world.accepted.add(spec.job_id)

    async def _ask_for_all(self) -> None:
        """Skip the check that all jobs end: in full halls not all of them end in time."""
