"""Expected wait of work in a hall, by the hall's last summary."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.handover.backlog import Backlog
    from linkspan.shard.handover.hall_readings import HallReading

FRESH_S = 3.5
"""Age up to which a summary is fully trusted, in seconds: owners publish one each 1.2 s, and
those of other halls are read each 2 s."""

OLD_S = 7.0
"""Age from which a summary is not trusted at all, in seconds. Its hall has been cut off or without
an owner for seconds."""

MIN_DRAIN_SHARE = 0.02
"""Share of a hall's cores that at least drains its waiting work: where nothing ends for a moment,
the estimate stays finite."""

MAX_WAIT_S = 60.0
"""Limits an expected wait, in seconds: beyond it, halls are equally bad."""


RECOVERY_S = 2.0
"""Least expected wait in a hall whose owner starts nothing yet, in seconds: executors of a former
owner have to report first."""


class NewWork(NamedTuple):
    """Work whose wait is estimated.

    Attributes:
        queue: Name of its queue.
        milli_cpu: Thousandths of a core that one of its tasks takes.
        tasks: Number of its tasks that wait at the same time.
        duration_s: Expected duration of one task, in seconds.
        best_effort: Whether the tasks run on cores that others leave unused.
    """

    queue: str
    milli_cpu: int
    tasks: int
    duration_s: float
    best_effort: bool

    @classmethod
    def of(cls, step: StepSpec, queue: str) -> NewWork:
        """Return the work of a step's tasks."""
        return cls(queue, step.demand.milli_cpu, step.count, step.estimate_s, step.best_effort)


def trust(age_s: float) -> float:
    """Return how far a summary is trusted, from 1 for a fresh one to 0 for an old one."""
    return min(max((OLD_S - age_s) / (OLD_S - FRESH_S), 0.0), 1.0)


def expected_wait_s(
    reading: HallReading, work: NewWork, *, now: float, slots: int = 0, sent_cpu: int = 0
) -> float:
    """Return the expected seconds until the last task of some work starts in a hall.

    Args:
        reading: The hall.
        work: The work.
        now: Steady time.
        slots: For how many of its tasks the hall has room now, by executor: cores that are free in
            smaller pieces are of no use. Not used for best-effort work.
        sent_cpu: Thousandths of a core of such work that was sent there since the summary.
    """
    summary = reading.summary
    if not summary.capacity:
        return MAX_WAIT_S
    missing = _missing(reading, work, slots, sent_cpu)
    if missing == 0:
        return 0.0
    wait_s = min(_queue_wait_s(reading, work, missing, sent_cpu, now), MAX_WAIT_S)
    return wait_s if summary.free_by_executor else max(wait_s, RECOVERY_S)


def _queue_wait_s(
    reading: HallReading, work: NewWork, missing: int, sent_cpu: int, now: float
) -> float:
    """Return the wait of work for which thousandths of a core are missing."""
    summary = reading.summary
    waiting = summary.waiting if work.best_effort else summary.queued
    ahead = _ahead(reading, work, sent_cpu, now)
    backlogs = _backlogs_before(summary.backlogs, work)
    floor = MIN_DRAIN_SHARE * summary.capacity
    if backlogs:
        growth = min(ahead / waiting, 2.0) if waiting else 1.0
        total = growth * sum(backlog.work for backlog in backlogs) + missing * work.duration_s
        rate = max(sum(backlog.rate for backlog in backlogs), floor)
        return total / rate
    held = max(_held(reading, best_effort=work.best_effort), floor)
    return (ahead + missing) * work.duration_s / held


def _missing(reading: HallReading, work: NewWork, slots: int, sent_cpu: int) -> int:
    """Return the thousandths of a core of the tasks that have no room now."""
    summary = reading.summary
    needed = work.tasks * work.milli_cpu
    if not summary.free_by_executor:
        return needed
    if work.best_effort:
        idle = 0 if summary.waiting else max(summary.free - summary.best_effort, 0)
        return needed if sent_cpu + needed > idle else 0
    taken = summary.queued + sent_cpu
    free = max(summary.free - taken, 0) if taken else summary.free
    fitting = min(slots * work.milli_cpu, free) if work.milli_cpu else needed
    return max(needed - fitting, 0)


def _ahead(reading: HallReading, work: NewWork, sent_cpu: int, now: float) -> float:
    """Return the thousandths of a core that such work there waits for by now.

    What was sent there since is part of a growth, so only the larger of both counts.
    """
    summary, growth = reading.summary, reading.growth
    waiting = summary.waiting if work.best_effort else summary.queued
    slope = growth.waiting if work.best_effort else growth.queued
    drift = slope * min(now - reading.read_at, FRESH_S)
    return max(waiting + (max(drift, sent_cpu) if drift > 0 else drift + sent_cpu), 0.0)


def _held(reading: HallReading, *, best_effort: bool) -> int:
    """Return the thousandths of a core that become free as such work ends."""
    summary = reading.summary
    if best_effort:
        return summary.best_effort
    return summary.capacity - summary.free - sum(summary.standing.values())


def _backlogs_before(backlogs: tuple[Backlog, ...], work: NewWork) -> list[Backlog]:
    """Return the backlogs of the work's queue whose tasks are not larger than its own class.

    Among work of one queue, jobs with less work are served first.
    """
    same = [backlog for backlog in backlogs if backlog.queue == work.queue]
    own = min((b.milli_cpu for b in same if b.milli_cpu >= work.milli_cpu), default=None)
    return same if own is None else [b for b in same if b.milli_cpu <= own]
