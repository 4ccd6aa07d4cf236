"""What standing jobs of all hosts have reserved lately, and given back, by the job records."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from linkspan.clock import steady
from linkspan.jobs.spec import Demand

if TYPE_CHECKING:
    from linkspan.jobs.catalog import JobCatalog, JobEntry
    from linkspan.jobs.records import Submitted
    from linkspan.jobs.spec import JobSpec

RECENT_S = 8.0
"""Time for which an accepted job is remembered, in seconds: longer than any summary that is used
is old."""

ELSEWHERE_S = 2.5
"""Time for which a job that another host accepted counts on top of its hall's summary, in seconds:
the summary may be that old and not include it yet."""

BURST_WINDOW_S = 0.2
"""Time over which the rate of accepted jobs is taken, in seconds, to estimate how many other hosts
are storing now."""

MIN_UNREAD_S = 0.01
"""Least time from another host's decision until this host can read the job's record, in seconds."""

MAX_UNREAD_S = 0.2
"""Limits that time, in seconds: while the store is slower, callers wait for it, too."""

RELEASE_WINDOW_S = 60.0
"""Time over which released resources are counted, in seconds."""

MIN_OBSERVED_S = 5.0
"""Least time over which they are taken to have been observed, in seconds: one job that ends right
after a host's start is no rate."""


class _Reservation(NamedTuple):
    """What a standing job reserves, or reserved.

    Attributes:
        at: Steady time at which this host heard of its acceptance, or of its end.
        shard: Shard that it was accepted for.
        service: Service whose executors run it; empty if its record does not tell.
        demand: Resources of all its tasks together.
        own: Whether this host accepted it.
    """

    at: float
    shard: int
    service: str
    demand: Demand
    own: bool

    @classmethod
    def of(cls, submitted: Submitted, *, own: bool = False) -> _Reservation:
        """Return what a submitted job reserves, heard of now."""
        service = submitted.terms.service if submitted.terms else ""
        return cls(steady(), submitted.shard, service, reserved_by(submitted.spec), own)

    def counts_for(self, shard: int, service: str) -> bool:
        """Return whether it may take resources of a service's executors of a shard."""
        return self.shard == shard and self.service in (service, "")


class StandingReservations:
    """Standing jobs that summaries of halls may not include yet, and the rate at which others end.

    Args:
        catalog: All jobs known to this host.
    """

    def __init__(self, catalog: JobCatalog) -> None:
        self._catalog = catalog
        # Both by job, in the order of their times.
        self._accepted: dict[str, _Reservation] = {}
        self._released: dict[str, _Reservation] = {}
        # All that have not ended, by job, and which of these have begun.
        self._present: dict[str, _Reservation] = {}
        self._begun: set[str] = set()
        self._since = steady()
        self._write_s = 0.0
        self._read_s = 0.0

    def __repr__(self) -> str:
        return f"StandingReservations({len(self._accepted)} accepted lately)"

    def on_accept(self, submitted: Submitted) -> None:
        """Note a job that this host is about to store."""
        if submitted.spec.standing:
            self._accepted[submitted.spec.job_id] = _Reservation.of(submitted, own=True)

    def on_stored(self, took_s: float) -> None:
        """Note for how long this host's last record of a job was written, in seconds."""
        self._write_s = took_s

    def on_read(self, took_s: float) -> None:
        """Note for how long this host's last read to the end of the records took, in seconds."""
        self._read_s = took_s

    def on_not_stored(self, job_id: str) -> None:
        """Forget a job whose record the store refused."""
        self._accepted.pop(job_id, None)

    def on_job(self, job_id: str) -> None:
        """Apply a change of a job's records.

        A host may read that a job ended only together with the removal of its submission, so what
        jobs reserve is remembered until then.
        """
        entry = self._catalog.get(job_id)
        submitted = entry.submitted if entry and _is_standing(entry) else None
        if entry is None or submitted is None or entry.cancelled or entry.finished:
            self._on_ended(job_id, entry, submitted)
            return
        self._present.setdefault(job_id, _Reservation.of(submitted))
        if entry.begun:
            self._begun.add(job_id)
        if job_id not in self._accepted and time.time() - submitted.accepted_at < RECENT_S:
            self._accepted[job_id] = _Reservation.of(submitted)

    def _on_ended(self, job_id: str, entry: JobEntry | None, submitted: Submitted | None) -> None:
        self._accepted.pop(job_id, None)
        present = self._present.pop(job_id, None)
        begun = job_id in self._begun or (entry is not None and entry.begun)
        self._begun.discard(job_id)
        if present is None and submitted:
            present = _Reservation.of(submitted)
        if present and begun and job_id not in self._released:
            self._released[job_id] = present._replace(at=steady())

    def accepted_since(self, shard: int, service: str, since: float) -> Demand:
        """Return what jobs reserve that were accepted for a shard lately.

        Jobs that other hosts are storing now cannot be read yet. They are estimated from the rate
        of the last moments, as callers often submit many jobs at once.

        Args:
            shard: The shard.
            service: Service whose executors run the jobs.
            since: Steady time from which on this host has read of them.
        """
        now = steady()
        _forget(self._accepted, now - RECENT_S)
        read = being_stored = Demand()
        for job in self._accepted.values():
            if job.at < since or not job.counts_for(shard, service):
                continue
            read = read.plus(job.demand)
            if job.at >= now - BURST_WINDOW_S:
                being_stored = being_stored.plus(job.demand)
        unread_s = min(max(self._write_s + self._read_s, MIN_UNREAD_S), MAX_UNREAD_S)
        return read.plus(being_stored, unread_s / BURST_WINDOW_S)

    def accepted_elsewhere(self, shard: int, service: str) -> int:
        """Return the thousandths of a core of jobs that other hosts accepted for a shard lately.

        Args:
            shard: The shard.
            service: Service whose executors run the jobs.
        """
        since = steady() - ELSEWHERE_S
        return sum(
            job.demand.milli_cpu
            for job in self._accepted.values()
            if job.at >= since and not job.own and job.counts_for(shard, service)
        )

    def wait_s(self, service: str, missing: Demand) -> float:
        """Return the seconds until standing jobs are expected to give some resources back.

        It is at least the time over which they were observed if none gave back any.

        Args:
            service: Service whose executors have too few of them.
            missing: The resources.
        """
        now = steady()
        _forget(self._released, now - RELEASE_WINDOW_S)
        observed_s = min(max(now - self._since, MIN_OBSERVED_S), RELEASE_WINDOW_S)
        released = Demand()
        for job in self._released.values():
            if job.service == service:
                released = released.plus(job.demand)
        pairs = zip(missing.amounts, released.amounts, strict=True)
        waits = [
            observed_s * lacks / freed if freed else RELEASE_WINDOW_S
            for lacks, freed in pairs
            if lacks > 0
        ]
        return max(waits, default=0.0)


def _is_standing(entry: JobEntry) -> bool:
    return entry.submitted is not None and entry.submitted.spec.standing


def _forget(reservations: dict[str, _Reservation], before: float) -> None:
    """Forget the reservations before a steady time."""
    while reservations:
        oldest = next(iter(reservations))
        if reservations[oldest].at >= before:
            return
        del reservations[oldest]


def reserved_by(spec: JobSpec) -> Demand:
    """Return the resources that all standing tasks of a job reserve together."""
    reserved = Demand()
    for step in spec.steps:
        if step.standing and not step.best_effort:
            reserved = reserved.plus(step.demand, step.count)
    return reserved
