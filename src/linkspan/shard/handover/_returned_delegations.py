"""Delegations that a shard has returned."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from linkspan.jobs.records import Delegation, TaskIndex


class ReturnedDelegations:
    """Delegations that this shard returned, including those whose record is not read yet.

    One record under one key contains the last returned delegation of each task of a job. A record
    that left one out would hide it, and no shard would manage its task. Earlier ones of a task need
    no record: its home shard had read them when it delegated the task again.
    """

    def __init__(self) -> None:
        self._delegations: dict[str, dict[TaskIndex, Delegation]] = {}

    def __repr__(self) -> str:
        return f"ReturnedDelegations({len(self._delegations)} jobs)"

    def add(
        self, job_id: str, recorded: Iterable[Delegation], delegations: Iterable[Delegation]
    ) -> tuple[Delegation, ...]:
        """Return the last returned delegations of a job, for its next record.

        Args:
            job_id: The job.
            recorded: Delegations in the last record that was read.
            delegations: Delegations that are returned now.
        """
        known = self._delegations.setdefault(job_id, {})
        for delegation in (*recorded, *delegations):
            task = delegation.task_index
            previous = known.get(task)
            if previous is None or previous.number < delegation.number:
                known[task] = delegation
        return tuple(known.values())

    def keep_only(self, job_ids: Container[str]) -> None:
        """Remove the delegations of all other jobs."""
        self._delegations = {
            j: delegations for j, delegations in self._delegations.items() if j in job_ids
        }
