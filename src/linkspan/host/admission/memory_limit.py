"""Limits the jobs of each hall by the memory that they take at its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from linkspan.jobs.footprint import JobFootprint
from linkspan.jobs.memory import max_hall_bytes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.jobs.catalog import JobCatalog
    from linkspan.jobs.spec import JobSpec


class _Stored(NamedTuple):
    """A job that this host is storing and has not read back.

    Attributes:
        shard: The shard that it was accepted for.
        footprint: Its footprint.
    """

    shard: int
    footprint: JobFootprint


class MemoryShortage(NamedTuple):
    """Why a job finds no memory, in bytes.

    Attributes:
        needed_bytes: What it would take.
        taken_bytes: What the jobs of that hall take which has the most room.
        limit_bytes: What they may take.
    """

    needed_bytes: int
    taken_bytes: int
    limit_bytes: int


class MemoryLimit:
    """Limit on the memory that the jobs of a hall take.

    Whoever claims a hall has to hold all of its jobs, so a job beyond the limit is refused.

    Args:
        catalog: All jobs known to this host.
        memory_mb: Memory limit of a host's process, in megabytes.
    """

    def __init__(self, catalog: JobCatalog, memory_mb: int) -> None:
        self._catalog = catalog
        self._limit_bytes = max_hall_bytes(memory_mb)
        self._being_stored: dict[str, _Stored] = {}

    def __repr__(self) -> str:
        return f"MemoryLimit({self._limit_bytes})"

    def taken_bytes(self, shard: int) -> int:
        """Return what the jobs of a shard take, with those that this host is storing."""
        for job_id in [j for j in self._being_stored if self._catalog.get(j)]:
            del self._being_stored[job_id]
        stored = self._being_stored.values()
        taken = self._catalog.memory.of_shard(shard)
        taken += sum(job.footprint.record_bytes for job in stored)
        return taken + sum(job.footprint.owner_bytes for job in stored if job.shard == shard)

    def has_room(self, spec: JobSpec, shard: int) -> bool:
        """Return whether a job may be added to a shard."""
        return self.taken_bytes(shard) + JobFootprint.of(spec).total_bytes <= self._limit_bytes

    def shortage(self, spec: JobSpec, shards: Iterable[int]) -> MemoryShortage | None:
        """Return why no shard may take a job, ``None`` if one may."""
        needed = JobFootprint.of(spec).total_bytes
        taken = min(map(self.taken_bytes, shards), default=0)
        if taken + needed <= self._limit_bytes:
            return None
        return MemoryShortage(needed, taken, self._limit_bytes)

    def on_accept(self, spec: JobSpec, shard: int) -> None:
        """Note a job that this host is about to store."""
        self._being_stored[spec.job_id] = _Stored(shard, JobFootprint.of(spec))

    def on_not_stored(self, job_id: str) -> None:
        """Forget a job whose record the store refused."""
        self._being_stored.pop(job_id, None)
