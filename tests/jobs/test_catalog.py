"""Tests which delegations of a job are open by the records that were read."""

from __future__ import annotations

from linkspan.jobs.catalog import JobCatalog
from linkspan.jobs.records import Delegated, Delegation, JobRecord, Returned
from tests.job_builders import step
from tests.shard.builders import JOB, submitted_job

FIRST, SECOND, OTHER = Delegation(0, 0, 1), Delegation(0, 0, 2), Delegation(0, 1, 1)


def _open(*records: JobRecord) -> tuple[Delegation, ...]:
    """Return the open delegations to shard 1 after some records of a job of shard 0."""
    catalog = JobCatalog()
    catalog.apply(0, submitted_job(step(2, standing=True)))
    for offset, record in enumerate(records, 1):
        catalog.apply(offset, record)
    entry = catalog.get(JOB)
    assert entry
    return entry.open_delegations(1)


def test_a_delegation_whose_return_was_not_read_is_not_open_after_a_later_return() -> None:
    """Guards against a task that its home leaves to a hall that has returned it.

    Both returns have one key, so that a reader with a gap in the log reads the later one only.
    """
    records = Delegated(JOB, 1, (FIRST, OTHER)), Delegated(JOB, 1, (SECOND, OTHER))
    assert _open(*records, Returned(JOB, 1, (SECOND,))) == (OTHER,)


def test_a_delegation_after_a_return_is_open() -> None:
    records = Delegated(JOB, 1, (FIRST,)), Returned(JOB, 1, (FIRST,))
    assert _open(*records, Delegated(JOB, 1, (SECOND,))) == (SECOND,)
