"""Reports tasks that, by the records read here, no hall may manage."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from linkspan.events import Event
from linkspan.shard._periodic_report import PeriodicReport
from linkspan.shard._reasons import MAX_LOGGED_TASKS, short_name
from linkspan.shard.task import index_of

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from linkspan.jobs.catalog import JobCatalog, JobEntry
    from linkspan.jobs.records import Delegation, TaskIndex
    from linkspan.shard._context import TenureContext
    from linkspan.shard.core import ShardCore

CHECK_INTERVAL_S = 3.0
"""Interval between checks."""

MIN_UNMANAGED_S = 2.5
"""Time after which a task is reported: a handover takes two records and a read, and a slow store
takes 0.4 s for each. Below the interval, so that the second check in a row reports."""

MAX_LINES_PER_CHECK = 10
"""Limits the lines of one check."""


class UnmanagedReason(Enum):
    """Why a task may be managed by no hall."""

    JOB_MISSING = "its job belongs to this hall, which does not have it"
    UNPUBLISHED = "handed over without a record that names it"
    RETURNED = "returned, and not managed here again"
    NOT_TAKEN = "handed over to this hall, which does not manage it"


class UnmanagedGroup(NamedTuple):
    """Tasks of one job in the same state."""

    job_id: str
    reason: UnmanagedReason


class DelegatedTask(NamedTuple):
    """A delegation of a task of some job to a shard."""

    shard: int
    task: TaskIndex
    number: int


class UnmanagedTasks(PeriodicReport):
    """Compares handovers on record with the tasks that this shard manages.

    The hall that hands a task over and the one that gets it both compare, so that a task between
    them shows at one of them unless the store shows the records to one only.

    Args:
        context: Components of the tenure.
    """

    def __init__(self, context: TenureContext) -> None:
        super().__init__(context, interval_s=CHECK_INTERVAL_S)
        self._catalog = context.job_registry.catalog
        self._since: dict[UnmanagedGroup, float] = {}

    def report(self, now: float) -> None:
        """Set the gauge and log the tasks that have been managed by no hall for seconds."""
        groups = unmanaged_groups(self._core, self._catalog)
        self._since = {group: self._since.get(group, now) for group in groups}
        overdue = [g for g, since in self._since.items() if now - since >= MIN_UNMANAGED_S]
        count = sum(len(groups[group]) for group in overdue)
        self._metrics.set_count("unmanaged_tasks", count, hall=self._hall)
        overdue.sort(key=self._since.__getitem__)
        for group in overdue[:MAX_LINES_PER_CHECK]:
            self._core.log(
                Event.TASKS_UNMANAGED,
                job=group.job_id,
                reason=group.reason.value,
                tasks=len(groups[group]),
                indexes=groups[group][:MAX_LOGGED_TASKS],
                unmanaged_s=round(now - self._since[group], 1),
                shard=self._core.shard,
                token=self._core.token,
            )

    def clear(self) -> None:
        """Set the gauge to nothing."""
        self._metrics.set_count("unmanaged_tasks", 0, hall=self._hall)


def unmanaged_groups(core: ShardCore, catalog: JobCatalog) -> dict[UnmanagedGroup, list[str]]:
    """Return the tasks that may be managed by no hall, by job and reason.

    Only jobs with standing tasks or with delegations are looked at.

    Args:
        core: The shard's state.
        catalog: All jobs, by the records read here.
    """
    groups: dict[UnmanagedGroup, list[str]] = {}
    for job_id, entry in catalog.standing_or_delegated_jobs_of_shard(core.shard):
        for reason, task in _unmanaged(core, job_id, entry):
            groups.setdefault(UnmanagedGroup(job_id, reason), []).append(task)
    return groups


def _unmanaged(
    core: ShardCore, job_id: str, entry: JobEntry
) -> Iterator[tuple[UnmanagedReason, str]]:
    job = core.jobs.get(job_id)
    home = entry.shard == core.shard
    if job is None:
        if home or entry.open_delegations(core.shard):
            yield UnmanagedReason.JOB_MISSING, "all"
        return
    if job.closing or job.moving:
        return
    published = _delegated_tasks(entry.delegated)
    open_here = published - _delegated_tasks(entry.returned_delegations)
    taken = {d.task_index for d in entry.open_delegations(core.shard)}
    for run in job.runs.values():
        for task in run.tasks():
            if task.done or task.managed_by is None:
                continue
            key = DelegatedTask(task.managed_by, index_of(task), task.delegation_number)
            if not home:
                if key.task in taken:
                    yield UnmanagedReason.NOT_TAKEN, short_name(task.name)
            elif key not in published:
                yield UnmanagedReason.UNPUBLISHED, short_name(task.name)
            elif key not in open_here:
                yield UnmanagedReason.RETURNED, short_name(task.name)


def _delegated_tasks(delegations: Mapping[int, Iterable[Delegation]]) -> set[DelegatedTask]:
    return {
        DelegatedTask(shard, d.task_index, d.number)
        for shard, listed in delegations.items()
        for d in listed
    }


assert MIN_UNMANAGED_S < CHECK_INTERVAL_S
