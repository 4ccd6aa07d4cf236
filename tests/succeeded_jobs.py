"""Checks that a job shown as succeeded has a run of each task that ended as done."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.jobs.records import JobState
from linkspan.shard.messages import TaskName
from tests.final_states import FinalStates

if TYPE_CHECKING:
    from collections.abc import Sequence

    from linkspan.jobs.spec import JobSpec, StepSpec
    from linkspan.store.types import Entry
    from tests.run_judge import RunJudge

MAX_LISTED_TASKS = 5
"""Limits the tasks that one violation names."""


class SucceededJobs:
    """Compares jobs shown as succeeded with the ends of runs on the executors themselves.

    Args:
        judge: Supplies the jobs, and the tasks that are done on executors.
    """

    def __init__(self, judge: RunJudge) -> None:
        self._judge = judge
        self._reported: set[str] = set()
        self._states = FinalStates(JobState.SUCCEEDED)

    def on_shown(self, job_id: str, where: str) -> list[str]:
        """Return the violation of a job shown as succeeded too early, once for each job."""
        if job_id in self._reported:
            return []
        spec = self._judge.specs.get(job_id)
        if spec is None:
            self._reported.add(job_id)
            return [f"MIXED {job_id} is succeeded {where}, and nobody submitted it"]
        missing = self._unfinished(job_id, spec)
        if not missing:
            return []
        self._reported.add(job_id)
        return [
            f"MIXED {job_id} is succeeded {where}, and {len(missing)} of its tasks have not ended"
            f" as done: {missing[:MAX_LISTED_TASKS]}"
        ]

    def _unfinished(self, job_id: str, spec: JobSpec) -> list[str]:
        """Return the tasks of a job without a run that has ended as done.

        An owner learns of an end by a report, and each report first ends the runs that are due.
        """
        return [
            f"{repetition}.{number}.{index}"
            for repetition in range(spec.repetitions)
            for number, step in enumerate(spec.steps)
            for index in range(step.count)
            if not self._has_ended(TaskName(job_id, repetition, number, index), step)
        ]

    def _has_ended(self, task: TaskName, step: StepSpec) -> bool:
        """Whether a run of a task has ended as done: one such end stands for a whole gang."""
        members = range(step.count) if step.gang else (task.index,)
        return any(task._replace(index=index) in self._judge.done for index in members)

    def judge_records(self, entries: Sequence[Entry]) -> list[str]:
        """Return the violations in the job records written since the last call."""
        return [
            line
            for job_id in self._states.new_jobs(entries)
            for line in self.on_shown(job_id, "on record")
        ]
