"""Delegations that a shard has returned."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from linkspan.jobs.records import Delegation


class ReturnedDelegations:
    """Delegations that this shard returned, including those whose record is not read yet.

    One record under one key contains all returned delegations of a job. A record that left some out
    would hide them, and no shard would manage their tasks.
    """

    def __init__(self) -> None:
        self._delegations: dict[str, dict[Delegation, None]] = {}

    def __repr__(self) -> str:
        return f"ReturnedDelegations({len(self._delegations)} jobs)"

    def add(
        self, job_id: str, recorded: Iterable[Delegation], delegations: Iterable[Delegation]
    ) -> tuple[Delegation, ...]:
        """Return all returned delegations of a job, for its next record.

        Args:
            job_id: The job.
            recorded: Delegations in the last record that was read.
            delegations: Delegations that are returned now.
        """
        known = self._delegations.setdefault(job_id, {})
        known.update(dict.fromkeys((*recorded, *delegations)))
        return tuple(known)

    def keep_only(self, job_ids: Container[str]) -> None:
        """Remove the delegations of all other jobs."""
        self._delegations = {
            j: delegations for j, delegations in self._delegations.items() if j in job_ids
        }
