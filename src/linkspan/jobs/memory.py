"""Sums of the memory that all known jobs take, by hall."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from linkspan.jobs.footprint import JobFootprint

if TYPE_CHECKING:
    from collections.abc import Collection

    from linkspan.jobs.spec import JobSpec

MEMORY_SHARE = 1 / 3
"""Share of a host's memory that the jobs of one hall may take. The rest is for the program, for
repetitions that are due beside each other, and for jobs of a second hall."""


class _Counted(NamedTuple):
    """A job as it was counted.

    Attributes:
        footprint: Its footprint.
        shards: Shards that manage tasks of it.
    """

    footprint: JobFootprint
    shards: frozenset[int]


class JobMemory:
    """Estimated memory of unfinished jobs."""

    def __init__(self) -> None:
        self._jobs: dict[str, _Counted] = {}
        self._record_bytes = 0
        self._owner_bytes: Counter[int] = Counter()

    def __repr__(self) -> str:
        return f"JobMemory({len(self._jobs)} jobs, {self._record_bytes} bytes of records)"

    def of_shard(self, shard: int) -> int:
        """Return what the jobs take at the owner of a shard, in bytes."""
        return self._record_bytes + self._owner_bytes[shard]

    def includes(self, job_id: str, shard: int) -> bool:
        """Return whether a job is counted for a shard."""
        counted = self._jobs.get(job_id)
        return counted is not None and shard in counted.shards

    def add(self, spec: JobSpec, shards: Collection[int]) -> None:
        """Count a job for the shards that manage tasks of it, and for no others any more."""
        counted = self._jobs.get(spec.job_id)
        if counted and len(counted.shards) == len(shards) and counted.shards.issuperset(shards):
            return
        footprint = counted.footprint if counted else JobFootprint.of(spec)
        self.remove(spec.job_id)
        self._jobs[spec.job_id] = _Counted(footprint, frozenset(shards))
        self._record_bytes += footprint.record_bytes
        for shard in shards:
            self._owner_bytes[shard] += footprint.owner_bytes

    def remove(self, job_id: str) -> None:
        """Count a job no more."""
        counted = self._jobs.pop(job_id, None)
        if counted is None:
            return
        self._record_bytes -= counted.footprint.record_bytes
        for shard in counted.shards:
            self._owner_bytes[shard] -= counted.footprint.owner_bytes


def max_hall_bytes(memory_mb: int) -> int:
    """Return the limit on the memory that the jobs of a hall take at its owner, in bytes.

    Args:
        memory_mb: Memory limit of a host's process, in megabytes.
    """
    return int(MEMORY_SHARE * memory_mb * 1_000_000)
