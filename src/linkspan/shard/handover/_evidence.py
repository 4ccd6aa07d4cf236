"""Log fields that show why an owner considers a job not begun."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from linkspan.shard._reasons import origin, roster_counts

if TYPE_CHECKING:
    from linkspan.shard._context import TenureContext
    from linkspan.shard.shard_job import ShardJob


class MoveEvidence:
    """Collects what the owner knows about a job when it moves the whole job, for the log.

    Args:
        context: Components of the tenure.
    """

    def __init__(self, context: TenureContext) -> None:
        self._core = context.core
        self._job_registry = context.job_registry

    def __repr__(self) -> str:
        return f"MoveEvidence({self._core!r})"

    def fields(self, job: ShardJob, now: float) -> dict[str, Any]:
        """Return log fields that show why an owner takes a job for not begun.

        Args:
            job: The job.
            now: Steady time.
        """
        rostered = [e for e in self._core.executors.values() if e.rostered]
        entry = self._job_registry.catalog.get(job.job_id)
        run = next(iter(job.runs.values()))
        return {
            "by": origin(job),
            "rostered": len(rostered),
            "answered": sum(e.has_reported for e in rostered),
            "roster": roster_counts(self._core),
            "run_version": run.version,
            "run_durable": run.durable,
            "told_begun": entry.begun if entry else None,
            "told_ordered": entry.start_ordered if entry else None,
            "view_age_s": round(now - self._job_registry.follower.synced_at, 3),
        }
