"""Loans that a shard gave back."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from linkspan.jobs.records import Loan


class GivenBack:
    """Loans that this shard gave back, also those whose record it has not read yet.

    A record holds all loans that were given back, under one key: one that left some out
    would hide them, and nobody would look after their tasks.
    """

    def __init__(self) -> None:
        self._loans: dict[str, dict[Loan, None]] = {}

    def __repr__(self) -> str:
        return f"GivenBack({len(self._loans)} jobs)"

    def add(self, job_id: str, told: Iterable[Loan], loans: Iterable[Loan]) -> tuple[Loan, ...]:
        """Return all loans of a job for its next record.

        Args:
            job_id: The job.
            told: Loans that the last record read holds.
            loans: Loans that are given back now.
        """
        known = self._loans.setdefault(job_id, {})
        known.update(dict.fromkeys((*told, *loans)))
        return tuple(known)

    def keep_only(self, job_ids: Container[str]) -> None:
        """Forget all other jobs."""
        self._loans = {j: loans for j, loans in self._loans.items() if j in job_ids}
