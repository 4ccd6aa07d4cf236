"""The order in which queued jobs are served."""

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

_BOUND = frozenset({Priority.URGENT, Priority.BATCH})
"""Priorities that quotas hold for; services and watchers must run."""


class TeamUsage:
    """What each team's placed tasks reserve.

    Args:
        quotas: The most that a team may use at once; teams not named have no
            bound.
    """

    def __init__(self, quotas: Mapping[str, Resources]) -> None:
        self._quotas = quotas
        self._used: defaultdict[str, Resources] = defaultdict(lambda: NO_RESOURCES)

    def __repr__(self) -> str:
        return f"TeamUsage({dict(self._used)})"

    @classmethod
    def of(cls, ledger: Ledger, quotas: Mapping[str, Resources]) -> TeamUsage:
        """Return the usage of all teams as the ledger has it."""
        usage = cls(quotas)
        for entry in ledger.jobs.values():
            counts = entry.states
            placed = counts.count(TaskState.PLACED) + counts.count(TaskState.RECALLED)
            if placed:
                usage.add(entry, placed)
        return usage

    def add(self, entry: JobEntry, count: int = 1) -> None:
        """Count ``count`` more of the job's tasks."""
        self._used[entry.spec.team] += entry.size.times(count)

    def allows(self, entry: JobEntry) -> bool:
        """Return whether one more task of the job is within its team's quota."""
        if entry.spec.priority not in _BOUND:
            return True
        quota = self._quotas.get(entry.spec.team)
        if quota is None:
            return True
        return (self._used[entry.spec.team] + entry.size).fits_within(quota)

    def share(self, team: str) -> float:
        """Return the team's use as a part of its quota, or in cores without one."""
        used, quota = self._used[team], self._quotas.get(team)
        if quota is None:
            return used.milli_cpu / 1000
        return used.milli_cpu / max(quota.milli_cpu, 1)


def serving_order(ledger: Ledger, usage: TeamUsage) -> list[JobEntry]:
    """Return the jobs with queued tasks, the one to be served first in front.

    Priorities come first, then teams that use little of their quota, then the
    order of submission.
    """
    waiting = [entry for entry in ledger.jobs.values() if entry.next_queued() >= 0]
    return sorted(waiting, key=lambda e: (e.spec.priority, usage.share(e.spec.team), e.number))
