"""Which executors are worth trusting, by what ended there and how fast."""

from __future__ import annotations

from dataclasses import dataclass, field

FAILURES_TO_DISTRUST = 2
"""Failed jobs in a row after which an executor gets no work for a while. One in
fifty tasks fails by its own fault, so two jobs in a row by chance are one in 2,500."""

DISTRUST_S = 2.0
"""First time without new work, in seconds; doubled while it goes on failing."""

MAX_DISTRUST_S = 8.0
"""Longest time without new work: a sick executor stays so for 5 to 8 seconds."""

UNHEALTHY_PAUSE_S = 1.0
"""Time without new work after an executor refused a start as unhealthy."""

SLOW_FACTOR = 2.5
"""Slow-down against the others from which an executor counts as slow. Tasks of
one step differ by less, and slow executors are four times slower and more."""

SLOW_WEIGHT = 0.4
"""Weight of the newest running time in an executor's average."""

SLOW_MEMORY_S = 6.0
"""Time after which a slow executor is tried again."""


@dataclass(slots=True)
class _Record:
    """What is known of one executor.

    Attributes:
        failed_jobs: Jobs that failed there since a run ended well.
        distrust_s: Time that the next distrust lasts, in seconds.
        slowness: Running times there over those elsewhere, newer ones weighing more.
        slow_until: Steady time until which it counts as slow.
    """

    failed_jobs: set[str] = field(default_factory=set)
    distrust_s: float = DISTRUST_S
    slowness: float = 1.0
    slow_until: float = 0.0


class ExecutorHealth:
    """Keeps what each executor's runs tell about it."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def __repr__(self) -> str:
        return f"ExecutorHealth({len(self._records)} executors)"

    def succeeded(self, executor_id: str) -> None:
        """Note that a run ended well there."""
        record = self._records.get(executor_id)
        if record:
            record.failed_jobs.clear()
            record.distrust_s = DISTRUST_S

    def failed(self, executor_id: str, job_id: str, now: float) -> float | None:
        """Note a failed run.

        Returns:
            Steady time until which the executor is to get no new work, if any.
        """
        record = self._records.setdefault(executor_id, _Record())
        record.failed_jobs.add(job_id)
        if len(record.failed_jobs) < FAILURES_TO_DISTRUST:
            return None
        until = now + record.distrust_s
        record.distrust_s = min(2 * record.distrust_s, MAX_DISTRUST_S)
        return until

    def took(self, executor_id: str, ratio: float, now: float) -> None:
        """Note a running time.

        Args:
            executor_id: Where the task ran.
            ratio: Its running time over that of its like elsewhere.
            now: Steady time.
        """
        record = self._records.setdefault(executor_id, _Record())
        record.slowness += SLOW_WEIGHT * (ratio - record.slowness)
        if record.slowness >= SLOW_FACTOR:
            record.slow_until = now + SLOW_MEMORY_S

    def slow(self, executor_id: str, now: float) -> bool:
        """Whether the executor was found slow lately."""
        record = self._records.get(executor_id)
        return record is not None and now < record.slow_until

    def forget(self, executor_id: str) -> None:
        """Forget an incarnation that is gone."""
        self._records.pop(executor_id, None)
