"""Standing tasks of which a start may be carried out that their records do not name."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.task import Task


class UnrecordedStarts:
    """Notes such tasks, in their records, too, until all starts are known.

    Other tasks may have such starts at any time, so that their records need not say so.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._inherited: dict[Task, bool] = {}

    def __repr__(self) -> str:
        return f"UnrecordedStarts({len(self._inherited)} tasks)"

    @property
    def any(self) -> bool:
        """Whether there is such a task."""
        return bool(self._inherited)

    def note(self, task: Task, *, inherited: bool = True) -> None:
        """Note that a start of a standing task may be carried out that its record does not name.

        Args:
            task: The task.
            inherited: Whether a former owner may have sent it, so that it may be anywhere.
        """
        if not task.step.spec.standing:
            return
        task.unrecorded_starts = True
        self._inherited[task] = inherited or self._inherited.get(task, False)

    def distrust(self, job_ids: Iterable[str]) -> None:
        """Note all tasks of jobs: former owners may have sent starts that no record here names."""
        jobs = (self._state.jobs.get(job_id) for job_id in job_ids)
        runs = (run for job in jobs if job for run in job.runs.values())
        for task in chain.from_iterable(run.tasks() for run in runs):
            self.note(task)

    def may_be_inherited(self, task: Task) -> bool:
        """Return whether a former owner may have sent a start of a task that no record names."""
        return self._inherited.get(task, False)

    def clear(self) -> None:
        """Record that all starts are known."""
        for task in self._inherited:
            task.unrecorded_starts = False
            job = task.step.run.job
            # A moved job's record names its shard.
            if self._state.jobs.get(job.job_id) is job and not job.handing_over:
                self._state.mark_dirty(task.step.run, urgent=False)
        self._inherited.clear()
