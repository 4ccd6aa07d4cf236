"""Decides which new jobs to refuse: those that would be of no use when done, or find no room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.host.admission.job_outlook import (
    MAX_FIT_DELAY_S,
    MIN_FIT_DELAY_S,
    HallLoad,
    JobOutlook,
    has_room,
    outlook_in,
)
from linkspan.host.admission.standing_admission import StandingHall, StandingShortage, shortage_of

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from linkspan.host.admission.memory_limit import MemoryLimit, MemoryShortage
    from linkspan.host.admission.standing_reservations import StandingReservations
    from linkspan.jobs.spec import JobSpec
    from linkspan.model.configuration import Queue

TAKE_IN_S = 0.3
"""Time from a job's record until a summary of its hall may include it, in seconds."""


class Admission:
    """Decides on the admission of new jobs by the load of the halls that could get them.

    Args:
        loads: Returns the loads of all halls, by number of the shard.
        eligible: Returns the shards that could get a job.
        reservations: What standing jobs have reserved and given back lately.
        memory_limit: Limits the jobs of each hall by their memory.
    """

    def __init__(
        self,
        loads: Callable[[], list[HallLoad]],
        eligible: Callable[[JobSpec, Queue], list[int]],
        reservations: StandingReservations,
        memory_limit: MemoryLimit,
    ) -> None:
        self._loads = loads
        self._eligible = eligible
        self._reservations = reservations
        self._memory_limit = memory_limit

    def __repr__(self) -> str:
        return f"Admission({self._loads()!r})"

    def memory_shortage(self, spec: JobSpec, queue: Queue) -> MemoryShortage | None:
        """Return why no owner of a hall may take a job into its memory, ``None`` to accept it."""
        return self._memory_limit.shortage(spec, self._eligible(spec, queue))

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

    def standing_shortage(self, spec: JobSpec, queue: Queue) -> StandingShortage | None:
        """Return why a standing job finds no room in the halls, ``None`` to accept it.

        Args:
            spec: The job.
            queue: The job's queue.
        """
        now = steady()
        loads = self._loads()
        halls = []
        for shard in self._eligible(spec, queue):
            since = now - loads[shard].age_s - TAKE_IN_S
            accepted = self._reservations.accepted_since(shard, queue.service, since)
            halls.append(StandingHall(loads[shard], accepted))
        return shortage_of(spec, queue.service, halls)

    def fits_after_s(self, shortage: StandingShortage, queue: Queue) -> float:
        """Return the seconds after which a refused standing job is expected to fit.

        Args:
            shortage: Why it was refused.
            queue: The job's queue.
        """
        wait_s = self._reservations.wait_s(queue.service, shortage.missing)
        return min(max(wait_s, MIN_FIT_DELAY_S), MAX_FIT_DELAY_S)


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
