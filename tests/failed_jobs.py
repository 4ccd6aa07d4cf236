"""Checks that a job shown as failed has a cause in the ends that executors listed."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from linkspan.jobs.records import JobState
from linkspan.shard.messages import EndKind
from tests.attempts import FailedAttempt, attempt_of, unit_of
from tests.final_states import FinalStates

if TYPE_CHECKING:
    from collections.abc import Sequence

    from linkspan.shard.messages import EndedTask, TaskName
    from linkspan.store.types import Entry
    from tests.run_judge import RunJudge
    from tests.standins.memory_executor import MemoryExecutor

MIN_CRASHES_UNDER_TASK = 2
"""Crashes under a task after which its owner may give the task up."""


class FailedJobs:
    """Collects the causes for which a job may be shown as failed.

    Args:
        judge: Supplies the jobs and the number of crashes under each task.
    """

    def __init__(self, judge: RunJudge) -> None:
        self._judge = judge
        self._listed: defaultdict[TaskName, set[FailedAttempt]] = defaultdict(set)
        self._reported: set[str] = set()
        self._states = FinalStates(JobState.FAILED)

    def on_listed(self, executor: MemoryExecutor, end: EndedTask) -> None:
        """Record an end that an executor lists, possibly again."""
        if end.kind is not EndKind.FAILED:
            return
        step = self._judge.step_of(end.task)
        if not step.standing:
            failed = attempt_of(end.run, executor.incarnation_name, step)
            self._listed[unit_of(end.task, step)].add(failed)

    def on_shown(self, job_id: str, where: str) -> list[str]:
        """Return the violation of a job shown as failed without cause, once for each job."""
        if job_id in self._reported or self._has_cause(job_id):
            return []
        self._reported.add(job_id)
        listed = {
            f"{t.repetition}.{t.step}.{t.index}": sorted(failed)
            for t, failed in self._listed.items()
            if t.job_id == job_id
        }
        crash_count = max(self._crash_counts(job_id), default=0)
        return [
            f"LOST {job_id} is failed {where}, without cause:"
            f" failed runs {listed}, at most {crash_count} executors crashed under a task"
        ]

    def judge_records(self, entries: Sequence[Entry]) -> list[str]:
        """Return the violations in the job records written since the last call."""
        return [
            line
            for job_id in self._states.new_jobs(entries)
            for line in self.on_shown(job_id, "on record")
        ]

    def _has_cause(self, job_id: str) -> bool:
        most = self._judge.queue.max_attempts
        used_up = any(t.job_id == job_id and len(f) >= most for t, f in self._listed.items())
        return used_up or max(self._crash_counts(job_id), default=0) >= MIN_CRASHES_UNDER_TASK

    def _crash_counts(self, job_id: str) -> list[int]:
        under = self._judge.crashing.crashes_during_run
        return [count for task, count in under.items() if task.job_id == job_id]
