"""By what an owner looks after a job, for log lines that are compared across owners."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard._books import ShardBooks
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.shard_job import ShardJob


def origin(job: ShardJob) -> str:
    """Return how a job came to this owner."""
    came = "inherited" if job.inherited else "new"
    if job.borrowed:
        return f"{came} borrowed"
    return f"{came} moved" if job.moved else came


def roster_counts(books: ShardBooks) -> dict[str, int]:
    """Return how the executors of former owners were heard of; ``open`` ones were not."""
    counts = dict(books.settled)
    if books.adopting_ids:
        counts["open"] = len(books.adopting_ids)
    return counts


def start_reason(books: ShardBooks, job: ShardJob, attempts: Iterable[Attempt]) -> dict[str, Any]:
    """Return the fields that tell why this owner may start tasks of a job.

    Args:
        books: The shard's state.
        job: The job.
        attempts: What is started.
    """
    fields: dict[str, Any] = {"shard": books.shard, "token": books.token, "by": origin(job)}
    if job.inherited:
        fields["roster"] = roster_counts(books)
    loans = {str(a.task.name.index): a.task.loan for a in attempts if a.task.loan}
    if loans:
        fields["loans"] = loans
    return fields
