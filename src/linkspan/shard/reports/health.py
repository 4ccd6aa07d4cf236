"""Rates the health of executors by the outcome and the duration of their runs."""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_FAILED_JOBS_FOR_QUARANTINE = 2
"""Jobs that fail in a row at an executor before it is quarantined. One in fifty tasks fails by its
own fault, so two jobs in a row fail by chance in one of 2,500 cases."""

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
        failed_jobs: Jobs that failed there since the last run that succeeded.
        next_quarantine_s: Duration of the next quarantine, in seconds.
        slowness: Moving average of the ratio of durations there to those elsewhere.
        slow_until: Steady time until which the executor counts as slow.
    """

    failed_jobs: set[str] = field(default_factory=set)
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

    def record_failure(self, executor_id: str, job_id: str, now: float) -> float | None:
        """Record a failed run.

        Returns:
            Steady time until which to quarantine the executor, or ``None``.
        """
        record = self._records.setdefault(executor_id, _Record())
        record.failed_jobs.add(job_id)
        if len(record.failed_jobs) < MIN_FAILED_JOBS_FOR_QUARANTINE:
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
