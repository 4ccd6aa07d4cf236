"""One step of one repetition of a job."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.failures import gang_failures

if TYPE_CHECKING:
    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.task import Task


@dataclass(slots=True, eq=False)
class StepRun:
    """One step of one repetition of a job.

    Attributes:
        run: The repetition.
        index: Number of the step.
        spec: What the caller asked for.
        tasks: Its tasks.
        remaining_tasks: Tasks that are not done.
        durations: Running times at full speed of tasks that are done, in seconds.
    """

    run: JobRun
    index: int
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    remaining_tasks: int = 0
    durations: list[float] = field(default_factory=list)
    _median_s: float = 0.0
    _median_of: int = 0

    @property
    def failures(self) -> int:
        """Failed runs of a gang as a whole."""
        return gang_failures([task.failed for task in self.tasks])

    @property
    def share_left(self) -> float:
        """Part of its longest task that is not done, 0 to 1."""
        longest = 0.0
        for task in self.tasks:
            if task.done:
                continue
            if not task.attempts:
                # Most steps that are looked at wait for a start: the first such task tells.
                return 1.0
            longest = max(longest, task.share_left)
        return longest

    @property
    def tasks_left(self) -> float:
        """Sum of the parts of its tasks that are not done, in tasks."""
        total = 0.0
        for task in self.tasks:
            if task.done:
                continue
            total += task.share_left if task.attempts else 1.0
        return total

    @property
    def median_s(self) -> float:
        """Median running time of tasks that are done, in seconds; there must be one."""
        # Each plan asks for it for each run, and times are only ever added.
        if self._median_of != len(self.durations):
            self._median_of = len(self.durations)
            self._median_s = sorted(self.durations)[self._median_of // 2]
        return self._median_s

    @property
    def expected_s(self) -> float:
        """Time that a run of it is expected to take, in seconds; 0 where nothing tells."""
        if self.spec.standing:
            return float("inf")
        return self.median_s if self.durations else self.spec.estimate_s

    @property
    def all_at_work(self) -> bool:
        """Whether each task of a standing step is at work, all of them in this shard.

        Only then may one of them be ended by our doing: others count as away, too.
        """
        if self.run.job.delegated_here:
            return False
        return all(task.at_work for task in self.tasks)

    def pending(self) -> list[Task]:
        """Return the tasks that wait for an attempt."""
        return [t for t in self.tasks if not (t.done or t.attempts) and t.managed_by is None]

    @property
    def open(self) -> bool:
        """Whether all steps that it depends on are done."""
        return self.run.released and all(
            self.run.steps[index].remaining_tasks == 0 for index in self.spec.depends_on
        )
