"""Rates the health of executors by the outcome of their runs."""

from __future__ import annotations

from dataclasses import dataclass, field

from linkspan.shard.attempt import NEVER
from linkspan.shard.executor import FOREVER
from linkspan.shard.reports.executor_speeds import ExecutorSpeeds

MIN_FAILED_JOBS_FOR_QUARANTINE = 2
"""Jobs that fail in a row at an executor before it is quarantined. One in fifty tasks fails by its
own fault, so two jobs in a row fail by chance in one of 2,500 cases."""

MAX_STANDING_FAILURE_AGE_S = 3.0
"""Time for which the failure of a standing task counts as one in a row. No end of a standing task
shows that its executor works again."""

FIRST_QUARANTINE_S = 2.0
"""Duration of the first quarantine, in seconds; doubled while the failures continue."""

MAX_QUARANTINE_S = 8.0
"""Longest quarantine: a faulty executor stays faulty for 5 to 8 seconds."""

UNHEALTHY_QUARANTINE_S = 1.0
"""Quarantine after an executor refused a start as unhealthy, in seconds."""


@dataclass(slots=True)
class _Record:
    """Health of one executor.

    Attributes:
        failed_jobs: Jobs that failed there since the last run that succeeded, each with the steady
            time until which its failure counts.
        next_quarantine_s: Duration of the next quarantine, in seconds.
    """

    failed_jobs: dict[str, float] = field(default_factory=dict)
    next_quarantine_s: float = FIRST_QUARANTINE_S


class ExecutorHealth:
    """Tracks the health of each executor by the results of its runs.

    Attributes:
        speeds: How much slower than others each executor runs its tasks.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self.speeds = ExecutorSpeeds()

    def __repr__(self) -> str:
        return f"ExecutorHealth({len(self._records)} executors)"

    def record_success(self, executor_id: str) -> None:
        """Record a run that succeeded."""
        record = self._records.get(executor_id)
        if record:
            record.failed_jobs.clear()
            record.next_quarantine_s = FIRST_QUARANTINE_S

    def record_failure(
        self, executor_id: str, job_id: str, now: float, *, standing: bool = False
    ) -> float | None:
        """Record a failed run.

        Args:
            executor_id: The executor.
            job_id: The run's job.
            now: Steady time.
            standing: Whether the run's task is a standing one.

        Returns:
            Steady time until which to quarantine the executor, or ``None``.
        """
        record = self._records.setdefault(executor_id, _Record())
        failed_jobs = {job: until for job, until in record.failed_jobs.items() if until > now}
        counts_until = now + MAX_STANDING_FAILURE_AGE_S if standing else FOREVER
        failed_jobs[job_id] = max(counts_until, failed_jobs.get(job_id, NEVER))
        record.failed_jobs = failed_jobs
        if len(failed_jobs) < MIN_FAILED_JOBS_FOR_QUARANTINE:
            return None
        until = now + record.next_quarantine_s
        record.next_quarantine_s = min(2 * record.next_quarantine_s, MAX_QUARANTINE_S)
        return until

    def remove(self, executor_id: str) -> None:
        """Remove the health of an incarnation that has ended."""
        self._records.pop(executor_id, None)
        self.speeds.remove(executor_id)
