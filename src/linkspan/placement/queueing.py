"""Order in which queued jobs are placed, and quotas of teams."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from linkspan.ledger.job_entry import TaskState
from linkspan.model.job import Priority
from linkspan.model.resources import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Mapping

    from linkspan.ledger.job_entry import JobEntry
    from linkspan.ledger.ledger import Ledger

_PRIORITIES_WITH_QUOTA = frozenset({Priority.URGENT, Priority.BATCH})
"""Priorities that quotas apply to; services and watchers are exempt because they must run."""


class TeamUsage:
    """Resources that the placed tasks of each team reserve.

    Args:
        quotas: Limits by team; a team without an entry has no limit.
    """

    def __init__(self, quotas: Mapping[str, Resources]) -> None:
        self._quotas = quotas
        self._used: defaultdict[str, Resources] = defaultdict(lambda: NO_RESOURCES)

    def __repr__(self) -> str:
        return f"TeamUsage({dict(self._used)})"

    @classmethod
    def of(cls, ledger: Ledger, quotas: Mapping[str, Resources]) -> TeamUsage:
        """Return the usage of all teams according to the ledger."""
        usage = cls(quotas)
        for entry in ledger.jobs.values():
            counts = entry.states
            placed = counts.count(TaskState.PLACED) + counts.count(TaskState.RECALLED)
            if placed:
                usage.add(entry, placed)
        return usage

    def add(self, entry: JobEntry, count: int = 1) -> None:
        """Add ``count`` tasks of the job to its team's usage."""
        self._used[entry.spec.team] += entry.size.times(count)

    def allows(self, entry: JobEntry) -> bool:
        """Return whether one more task of the job is within its team's quota."""
        if entry.spec.priority not in _PRIORITIES_WITH_QUOTA:
            return True
        quota = self._quotas.get(entry.spec.team)
        if quota is None:
            return True
        return (self._used[entry.spec.team] + entry.size).fits_within(quota)

    def share(self, team: str) -> float:
        """Return the team's CPU usage as a share of its quota, or in cores without a quota."""
        used, quota = self._used[team], self._quotas.get(team)
        if quota is None:
            return used.milli_cpu / 1000
        return used.milli_cpu / max(quota.milli_cpu, 1)


def serving_order(ledger: Ledger, usage: TeamUsage) -> list[JobEntry]:
    """Return the jobs with queued tasks in the order in which they are placed.

    Jobs are ordered by priority, then by their team's share of its quota, lowest first,
    then by submission.
    """
    queued_jobs = [entry for entry in ledger.jobs.values() if entry.next_queued() >= 0]
    return sorted(queued_jobs, key=lambda e: (e.spec.priority, usage.share(e.spec.team), e.number))
