"""One repetition of a job, with all of its steps and tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.messages import TaskName
from linkspan.shard.step_run import StepRun
from linkspan.shard.task import Task

if TYPE_CHECKING:
    from collections.abc import Iterator

    from linkspan.shard.shard_job import ShardJob

INHERITED_RUN_GAP = 16
"""Numbers left out for a task whose former owner may have started runs that it did
not record: more than it can have started within its unrecorded last moments."""


@dataclass(slots=True, eq=False)
class JobRun:
    """One repetition of a job.

    Attributes:
        job: The job.
        repetition: Its number.
        steps: Its steps.
        version: Counts the changes that a record must hold.
        durable: Version that the store holds.
        released: Whether its due time has come.
    """

    job: ShardJob
    repetition: int
    steps: list[StepRun] = field(default_factory=list)
    version: int = 0
    durable: float = 0
    released: bool = True

    @property
    def done(self) -> bool:
        """Whether every task is done."""
        return all(step.remaining_tasks == 0 for step in self.steps)

    @property
    def work_left(self) -> float:
        """Work of the tasks that are not done, in thousandths of a core times seconds."""
        lengths = self.job.expected_durations_s
        return sum(
            step.tasks_left * step.spec.demand.milli_cpu * lengths[step.index]
            for step in self.steps
            if step.remaining_tasks
        )

    def tasks(self) -> Iterator[Task]:
        """Iterate over all tasks."""
        for step in self.steps:
            yield from step.tasks

    def task(self, name: TaskName) -> Task | None:
        """Return a task by name, ``None`` if the job has none of that name."""
        if name.step >= len(self.steps) or name.index >= len(self.steps[name.step].tasks):
            return None
        return self.steps[name.step].tasks[name.index]


def new_run(job: ShardJob, repetition: int) -> JobRun:
    """Return a repetition with all of its tasks to do."""
    run = JobRun(job, repetition)
    for index, spec in enumerate(job.spec.steps):
        step = StepRun(run, index, spec, remaining_tasks=spec.count)
        step.tasks = [
            Task(TaskName(job.job_id, repetition, index, number), step)
            for number in range(spec.count)
        ]
        run.steps.append(step)
    return run
