"""One repetition of a job, with all of its steps and tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.messages import TaskName
from linkspan.shard.step_run import StepRun
from linkspan.shard.task import Task

if TYPE_CHECKING:
    from collections.abc import Iterator

    from linkspan.shard.attempt import Attempt
    from linkspan.shard.shard_job import ShardJob

INHERITED_RUN_GAP = 16
"""Run numbers that a new owner skips for each inherited task. The previous owner may have used
numbers that it did not record; within its last unrecorded moments it cannot have used this many."""


@dataclass(slots=True, eq=False)
class JobRun:
    """One repetition of a job.

    Attributes:
        job: The job.
        repetition: Number of the repetition, from 0.
        steps: Its steps.
        version: Number of changes that its record must hold.
        durable: Version that the store holds; infinite once the job's final record is durable.
        released: Whether its due time has come.
        expired_attempts: Attempts that were removed when the leases at their silent executor
            expired, by task. It is not known yet whether the executor crashed under them.
    """

    job: ShardJob
    repetition: int
    steps: list[StepRun] = field(default_factory=list)
    version: int = 0
    durable: float = 0
    released: bool = True
    expired_attempts: dict[Task, list[Attempt]] = field(default_factory=dict)

    @property
    def done(self) -> bool:
        """Whether every task is done."""
        return all(step.remaining_tasks == 0 for step in self.steps)

    @property
    def has_failures(self) -> bool:
        """Whether a run of one of its tasks has failed."""
        return any(step.has_failures for step in self.steps)

    @property
    def removable(self) -> bool:
        """Whether it takes no memory any more once its record is durable, which says it is done."""
        if not (self.recorded_as_done and self.durable >= self.version) or self.job.closing:
            return False
        return not self.expired_attempts and not any(task.attempts for task in self.tasks())

    @property
    def recorded_as_done(self) -> bool:
        """Whether the job's record of done repetitions replaces its own record."""
        return self.job.spec.opens_on_demand and self.done

    @property
    def remaining_work(self) -> float:
        """Remaining work of all its tasks, in thousandths of a core times seconds."""
        durations_s = self.job.expected_durations_s
        return sum(
            step.remaining_task_shares * step.spec.demand.milli_cpu * durations_s[step.index]
            for step in self.steps
            if step.remaining_tasks
        )

    def tasks(self) -> Iterator[Task]:
        """Iterate over all tasks."""
        for step in self.steps:
            yield from step.tasks

    def task(self, name: TaskName) -> Task | None:
        """Return a task by name, ``None`` if the job has no such task."""
        if name.step >= len(self.steps) or name.index >= len(self.steps[name.step].tasks):
            return None
        return self.steps[name.step].tasks[name.index]


def skip_run_numbers(run: JobRun) -> None:
    """Skip the run numbers that a previous owner may have used without a record."""
    for task in run.tasks():
        task.next_run, task.never_ran = INHERITED_RUN_GAP, True


def new_run(job: ShardJob, repetition: int) -> JobRun:
    """Create a repetition of a job, with none of its tasks done."""
    run = JobRun(job, repetition)
    for index, spec in enumerate(job.spec.steps):
        step = StepRun(run, index, spec, remaining_tasks=spec.count)
        step.tasks = [
            Task(TaskName(job.job_id, repetition, index, number), step)
            for number in range(spec.count)
        ]
        run.steps.append(step)
    return run
