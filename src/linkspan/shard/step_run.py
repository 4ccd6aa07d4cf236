"""One step of one repetition of a job."""

from __future__ import annotations

from dataclasses import dataclass, field
from operator import attrgetter
from typing import TYPE_CHECKING

from linkspan.shard.attempt import NEVER
from linkspan.shard.failures import gang_failures

if TYPE_CHECKING:
    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.task import Task


MIN_COMPARED_RUNS = 3
"""Runs of a step whose durations must be known before their median counts as typical. Several
unfinished runs on one executor count as one: it may be slow."""

TYPICAL_KEPT_S = 0.25
"""Time for which a computed typical duration is used again: each report asks for it, once a run."""


@dataclass(slots=True, eq=False)
class StepRun:
    """One step of one repetition of a job.

    Attributes:
        run: The repetition.
        index: Number of the step.
        spec: The step's specification, as submitted.
        tasks: Its tasks.
        remaining_tasks: Number of tasks that are not done.
        durations: Durations at full speed of tasks that are done, in seconds.
        has_failures: Whether a run of one of its tasks has failed.
    """

    run: JobRun
    index: int
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    remaining_tasks: int = 0
    durations: list[float] = field(default_factory=list)
    has_failures: bool = False
    _median_s: float = 0.0
    _median_count: int = 0
    _typical_s: float | None = None
    _typical_at: float = NEVER
    _typical_count: int = 0

    @property
    def failures(self) -> int:
        """Number of failed runs of the gang as a whole."""
        return gang_failures([task.failed for task in self.tasks])

    @property
    def remaining_share(self) -> float:
        """Largest remaining share of work among its tasks, 0 to 1."""
        longest = 0.0
        for task in self.tasks:
            if task.done:
                continue
            if not task.attempts:
                # A waiting task has all of its work left. Most steps have one, and the first one
                # found gives the result.
                return 1.0
            longest = max(longest, task.remaining_share)
        return longest

    @property
    def remaining_task_shares(self) -> float:
        """Sum of the remaining shares of its tasks, in tasks."""
        total = 0.0
        for task in self.tasks:
            if task.done:
                continue
            total += task.remaining_share if task.attempts else 1.0
        return total

    @property
    def median_s(self) -> float:
        """Median duration of its done tasks, in seconds; at least one must be done."""
        # Cached, as each planning round reads it for each run; durations are only ever added.
        if self._median_count != len(self.durations):
            self._median_count = len(self.durations)
            self._median_s = sorted(self.durations)[self._median_count // 2]
        return self._median_s

    def typical_s(self, now: float, *, again: bool = False) -> float | None:
        """Return the median duration of its runs at full pace, ``None`` if too few are known.

        Runs that are not done count with the duration that their progress predicts.

        Args:
            now: Steady time.
            again: Whether to look again if too few were known a moment ago.
        """
        kept = now - self._typical_at < TYPICAL_KEPT_S
        changed = self._typical_count != len(self.durations)
        if kept and not changed and (self._typical_s is not None or not again):
            return self._typical_s
        self._typical_at = now
        self._typical_count = len(self.durations)
        found = list(self.durations)
        executors = set()
        for task in self.tasks:
            for attempt in task.attempts:
                if attempt.rate and attempt.rate.full_duration_s:
                    found.append(attempt.rate.full_duration_s)
                    executors.add(attempt.executor_id)
        enough = len(self.durations) + len(executors) >= MIN_COMPARED_RUNS
        self._typical_s = sorted(found)[(len(found) - 1) // 2] if enough else None
        return self._typical_s

    @property
    def expected_s(self) -> float:
        """Expected duration of one of its runs, in seconds; 0 if there is no estimate."""
        if self.spec.standing:
            return float("inf")
        return self.median_s if self.durations else self.spec.estimate_s

    @property
    def all_running(self) -> bool:
        """Whether every task of a standing step is serving, as far as this shard can know.

        Only then may the owner stop one of them, as each task that is not serving counts against
        the step. A shard with delegated tasks does not know the state of the others.
        """
        if self.run.job.delegated_here:
            return False
        return all(task.at_work for task in self.tasks)

    def pending(self) -> list[Task]:
        """Return the tasks that need an attempt; of standing tasks, the longest waits first."""
        tasks = [t for t in self.tasks if not (t.done or t.attempts) and t.managed_by is None]
        if self.spec.standing:
            tasks.sort(key=attrgetter("waiting_since"))
        return tasks

    @property
    def open(self) -> bool:
        """Whether its repetition is released and all steps that it depends on are done.

        The home shard delegates only tasks of open steps, and the other shard does not know which
        tasks are done at home.
        """
        if self.run.job.delegated_here:
            return self.run.released
        return self.run.released and all(
            self.run.steps[index].remaining_tasks == 0 for index in self.spec.depends_on
        )
