"""Builders of jobs, workers and ledgers for the tests of the scheduler and the ledger."""

from __future__ import annotations

from typing import Any

from linkspan.ledger.entries import ApplyResult
from linkspan.ledger.ledger import Ledger
from linkspan.ledger.records import Decision, Record, Submitted, WorkerSeen
from linkspan.model.job import JobSpec, Priority
from linkspan.model.resources import Resources
from linkspan.model.worker import WorkerSpec


def job(job_id: str = "job", **changes: Any) -> JobSpec:
    """Return a small batch job with some fields changed."""
    fields: dict[str, Any] = {
        "job_id": job_id,
        "customer": "borne-breizh",
        "team": "routes",
        "kind": "route-plan",
        "count": 1,
        "size": Resources(1_000, 1_000),
    }
    return JobSpec(**{**fields, **changes})


def watcher(job_id: str = "watch") -> JobSpec:
    """Return a standing watcher."""
    return job(job_id, kind="watch", priority=Priority.WATCHER)


def worker(name: str = "w1", cores: int = 4, **changes: Any) -> WorkerSpec:
    """Return a worker with 1,000 MB of memory for each core."""
    fields: dict[str, Any] = {
        "name": name,
        "incarnation": 1,
        "size": Resources(cores * 1_000, cores * 1_000),
    }
    return WorkerSpec(**{**fields, **changes})


class LedgerBuilder:
    """A ledger whose writer has read all records before each decision."""

    def __init__(self, hall: str = "rennes-a") -> None:
        self.ledger = Ledger(hall)

    def apply(self, *decisions: Decision, read_offset: int | None = None) -> list[ApplyResult]:
        """Apply one record with these decisions."""
        offset = self.ledger.next_offset
        read = offset if read_offset is None else read_offset
        return self.ledger.apply(offset, Record("s1", offset, read, decisions))

    def with_worker(self, *specs: WorkerSpec) -> LedgerBuilder:
        """Add workers, with ledger numbers from 1."""
        self.apply(*(WorkerSeen(spec) for spec in specs or (worker(),)))
        return self

    def with_job(self, *specs: JobSpec) -> LedgerBuilder:
        """Add jobs, with ledger numbers from 1."""
        self.apply(*(Submitted(spec) for spec in specs or (job(),)))
        return self
