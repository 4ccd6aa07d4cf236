"""A judge of one rule: a job that is shown as failed had cause, by what executors listed."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from linkspan.errors import RecordError
from linkspan.jobs.record_codec import decode
from linkspan.jobs.records import Finished, JobState
from linkspan.shard.messages import EndKind
from tests.attempts import FailedAttempt, attempt_of, unit_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from linkspan.shard.messages import EndedTask, TaskName
    from linkspan.store.types import Entry
    from tests.run_judge import RunJudge
    from tests.standins.memory_executor import MemoryExecutor

FALLS_UNDER = 2
"""Executors that fell while a task ran there, after which the platform lets it be given up."""


class FailedJobs:
    """Knows which jobs have cause to be shown as failed.

    Args:
        judge: Knows the jobs, and which executors fell under which tasks.
    """

    def __init__(self, judge: RunJudge) -> None:
        self._judge = judge
        self._listed: defaultdict[TaskName, set[FailedAttempt]] = defaultdict(set)
        self._found: set[str] = set()
        self._looked = 0

    def on_listed(self, executor: MemoryExecutor, end: EndedTask) -> None:
        """Take in an end that an executor lists; it may have listed it before."""
        if end.kind is not EndKind.FAILED:
            return
        step = self._judge.step_of(end.task)
        if not step.standing:
            failed = attempt_of(end.run, executor.incarnation_name, step)
            self._listed[unit_of(end.task, step)].add(failed)

    def on_shown(self, job_id: str, where: str) -> list[str]:
        """Return what is wrong with a job that is shown as failed, once for each job."""
        if job_id in self._found or self._has_cause(job_id):
            return []
        self._found.add(job_id)
        listed = {
            f"{t.repetition}.{t.step}.{t.index}": sorted(failed)
            for t, failed in self._listed.items()
            if t.job_id == job_id
        }
        fallen = max(self._falls(job_id), default=0)
        return [
            f"LOST {job_id} is failed {where}, without cause:"
            f" failed runs {listed}, at most {fallen} executors fell under a task"
        ]

    def look(self, entries: Sequence[Entry]) -> list[str]:
        """Return what is wrong with new records of ends among those of jobs."""
        new, self._looked = entries[self._looked :], len(entries)
        failed = [entry for entry in new if entry.key.startswith(b"f:") and _tells_failed(entry)]
        return [
            line
            for entry in failed
            for line in self.on_shown(entry.key.decode().split(":")[1], "on record")
        ]

    def _has_cause(self, job_id: str) -> bool:
        most = self._judge.queue.max_attempts
        used_up = any(t.job_id == job_id and len(f) >= most for t, f in self._listed.items())
        return used_up or max(self._falls(job_id), default=0) >= FALLS_UNDER

    def _falls(self, job_id: str) -> list[int]:
        under = self._judge.crashing.under
        return [fallen for task, fallen in under.items() if task.job_id == job_id]


def _tells_failed(entry: Entry) -> bool:
    if not entry.value:
        return False
    try:
        record = decode(entry.key, entry.value)
    except RecordError:
        return False
    return isinstance(record, Finished) and record.state is JobState.FAILED
