"""Loans that a shard gave back."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from linkspan.jobs.records import Delegation


class ReturnedDelegations:
    """Loans that this shard gave back, also those whose record it has not read yet.

    A record holds all loans that were given back, under one key: one that left some out
    would hide them, and nobody would look after their tasks.
    """

    def __init__(self) -> None:
        self._delegations: dict[str, dict[Delegation, None]] = {}

    def __repr__(self) -> str:
        return f"ReturnedDelegations({len(self._delegations)} jobs)"

    def add(
        self, job_id: str, told: Iterable[Delegation], delegations: Iterable[Delegation]
    ) -> tuple[Delegation, ...]:
        """Return all loans of a job for its next record.

        Args:
            job_id: The job.
            told: Loans that the last record read holds.
            delegations: Loans that are given back now.
        """
        known = self._delegations.setdefault(job_id, {})
        known.update(dict.fromkeys((*told, *delegations)))
        return tuple(known)

    def keep_only(self, job_ids: Container[str]) -> None:
        """Forget all other jobs."""
        self._delegations = {
            j: delegations for j, delegations in self._delegations.items() if j in job_ids
        }
