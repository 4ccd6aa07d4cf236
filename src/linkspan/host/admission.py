"""Decides which new jobs to refuse, as they could no longer be of use when they are done."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.host.job_outlook import HallLoad, JobOutlook, has_room, outlook_in

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from linkspan.jobs.spec import JobSpec
    from linkspan.model.configuration import Queue


class Admission:
    """Decides on the admission of new jobs by the load of the halls that could get them.

    Args:
        loads: Returns the loads of all halls, by number of the shard.
        eligible: Returns the shards that could get a job.
    """

    def __init__(
        self,
        loads: Callable[[], list[HallLoad]],
        eligible: Callable[[JobSpec, Queue], list[int]],
    ) -> None:
        self._loads = loads
        self._eligible = eligible

    def __repr__(self) -> str:
        return f"Admission({self._loads()!r})"

    def reason_to_refuse(
        self, spec: JobSpec, queue: Queue, priorities: Mapping[str, int]
    ) -> JobOutlook | None:
        """Return the best outlook of a job that is hopeless in every hall, ``None`` to accept it.

        Args:
            spec: The job.
            queue: The job's queue.
            priorities: Priorities of all queues by name.
        """
        if spec.standing or spec.schedule:
            return None
        loads = self._loads()
        if not any(_publishes_rate(load, queue) for load in loads):
            return None
        halls = [loads[shard] for shard in self._eligible(spec, queue)]
        return best_hopeless_outlook(halls, spec, queue, priorities)


def best_hopeless_outlook(
    halls: Iterable[HallLoad], spec: JobSpec, queue: Queue, priorities: Mapping[str, int]
) -> JobOutlook | None:
    """Return the outlook of a job where it would fit first, ``None`` if a hall may do it in time.

    Args:
        halls: Loads of the halls that could get the job.
        spec: The job.
        queue: The job's queue.
        priorities: Priorities of all queues by name.
    """
    outlooks = []
    for load in halls:
        outlook = outlook_in(load, spec, queue, priorities)
        if outlook is None or not outlook.hopeless:
            return None
        if load.summary and has_room(load.summary, spec, queue):
            return None
        outlooks.append(outlook)
    return min(outlooks, key=lambda outlook: outlook.fits_after_s, default=None)


def _publishes_rate(load: HallLoad, queue: Queue) -> bool:
    summary = load.usable_summary
    return summary is not None and any(b.queue == queue.name and b.rate for b in summary.backlogs)
