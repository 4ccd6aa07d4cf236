"""Determines whether standing tasks without an attempt on record were started nowhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.core import ShardCore
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.shard_job import ShardJob


class RecordedStarts:
    """Determines what a tenure may state about its starts and those of earlier tenures.

    This tenure starts no standing task that a record shows without an attempt before that start is
    on record. Earlier ones may have, unless they stated the same. Once each executor of theirs has
    reported, has ended or has outlived its leases, all that runs is known, and is on record with
    the next write.

    Args:
        core: The shard's state.
        known: Whether the former owner stated it, for itself and those before it.
    """

    def __init__(self, core: ShardCore, *, known: bool) -> None:
        self._core = core
        self._known = known
        self._unwritten: dict[JobRun, int] | None = None

    def __repr__(self) -> str:
        return f"RecordedStarts({self._known})"

    @property
    def known(self) -> bool:
        """Whether standing tasks without an attempt on record were started nowhere."""
        return self._known and self._core.statement_withdrawn_at == float("inf")

    def tick(self, now: float) -> None:
        """Check whether earlier tenures' starts have become known and are on record.

        Args:
            now: Steady time.
        """
        if self._known or not self._core.knows_inherited_starts(now):
            return
        if self._unwritten is None:
            self._unwritten = self._core.record_versions()
        self._unwritten = {
            run: version
            for run, version in self._unwritten.items()
            if self._is_here(run.job) and is_unrecorded(run, version)
        }
        self._known = not self._unwritten

    def _is_here(self, job: ShardJob) -> bool:
        """Return whether a job has not moved away, with whose record its progress is removed."""
        return self._core.jobs.get(job.job_id) is job


def is_unrecorded(run: JobRun, version: int) -> bool:
    """Whether a version of a repetition is not durable; ended jobs are no longer recorded."""
    return run.durable < version and not run.job.closing
