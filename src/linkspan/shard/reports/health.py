"""Rates the health of executors by the outcome and the duration of their runs."""

from __future__ import annotations

from dataclasses import dataclass, field

from linkspan.shard.attempt import NEVER
from linkspan.shard.executor import FOREVER

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

SLOW_FACTOR = 2.5
"""Slowdown relative to other executors from which on an executor counts as slow. Durations within
one step differ by less, and slow executors are at least four times slower."""

SLOW_WEIGHT = 0.4
"""Weight of the newest duration ratio in an executor's moving average."""

SLOW_MARK_S = 6.0
"""Time for which an executor counts as slow before it is tried again."""


@dataclass(slots=True)
class _Record:
    """Health of one executor.

    Attributes:
        failed_jobs: Jobs that failed there since the last run that succeeded, each with the steady
            time until which its failure counts.
        next_quarantine_s: Duration of the next quarantine, in seconds.
        slowness: Moving average of the ratio of durations there to those elsewhere.
        slow_until: Steady time until which the executor counts as slow.
    """

    failed_jobs: dict[str, float] = field(default_factory=dict)
    next_quarantine_s: float = FIRST_QUARANTINE_S
    slowness: float = 1.0
    slow_until: float = 0.0


class ExecutorHealth:
    """Tracks the health of each executor by the results of its runs."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

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

    def record_duration_ratio(self, executor_id: str, ratio: float, now: float) -> None:
        """Record the duration of a run.

        Args:
            executor_id: The executor that ran the task.
            ratio: Duration relative to that of similar tasks elsewhere.
            now: Steady time.
        """
        record = self._records.setdefault(executor_id, _Record())
        record.slowness += SLOW_WEIGHT * (ratio - record.slowness)
        if record.slowness >= SLOW_FACTOR:
            record.slow_until = now + SLOW_MARK_S

    def is_slow(self, executor_id: str, now: float) -> bool:
        """Whether the executor currently counts as slow."""
        record = self._records.get(executor_id)
        return record is not None and now < record.slow_until

    def remove(self, executor_id: str) -> None:
        """Remove the health of an incarnation that has ended."""
        self._records.pop(executor_id, None)
