"""Tests of how long jobs have waited for their first start, as far as a host knows."""

from __future__ import annotations

from linkspan.jobs._first_reads import FirstReads
from linkspan.jobs.catalog import JobEntry
from tests.shard.builders import JOB, submitted_job


def test_the_wait_begins_with_the_first_record_and_ends_with_a_start() -> None:
    """Guards against a wait that each record begins anew, and against times that are kept."""
    entry = JobEntry(submitted_job(), 0)
    reads = FirstReads({JOB: entry}.get)
    reads.on_record(JOB, 1.0)
    reads.on_record(JOB, 3.0)
    assert reads.waited_s(JOB, 4.0) == 3.0
    entry.start_ordered = True
    reads.on_record(JOB, 5.0)
    assert reads.waited_s(JOB, 6.0) == 0.0


def test_jobs_that_are_no_longer_in_the_store_are_forgotten() -> None:
    """Guards against times that are kept of jobs whose end was never read."""
    entries = {JOB: JobEntry(submitted_job(), 0)}
    reads = FirstReads(entries.get)
    reads.on_record(JOB, 1.0)
    entries.clear()
    reads.forget_removed()
    assert reads.waited_s(JOB, 4.0) == 0.0
