"""Decides whether a new standing job finds room beside what halls keep for short work."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from linkspan.jobs.spec import Demand
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.planning.task_need import TaskNeed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.host.admission.job_outlook import HallLoad
    from linkspan.jobs.spec import JobSpec, StepSpec
    from linkspan.shard.handover.executor_room import ExecutorRoom

MIN_SHARE_WITH_ROOM = 0.5
"""Least share of a step's tasks that must have room. If all of them had to, wide jobs would hardly
be accepted. If one were enough, most tasks would wait, and later use room that is kept for short
work."""

PACKED_SHARE = 0.95
"""Share of the resources with room that tasks of several sizes fill, the rest being too small for
the next one."""


@dataclass(frozen=True, slots=True)
class StandingHall:
    """A hall that could get a standing job.

    Attributes:
        load: Its load as far as the host knows it.
        accepted: What jobs reserve that were accepted for it since the summary.
    """

    load: HallLoad
    accepted: Demand


class HallCores(NamedTuple):
    """Where the cores of a hall are when a standing job is refused, in thousandths of a core.

    Attributes:
        capacity: Cores of all usable executors.
        standing: Cores that standing tasks hold.
        free: Cores that nothing holds and nothing is set aside for.
        kept: Free cores that standing tasks leave to short ones.
        accepted: Cores that jobs reserve that were accepted since the summary.
        age_s: Upper bound of the age of the summary, in seconds.
    """

    capacity: int
    standing: int
    free: int
    kept: int
    accepted: int
    age_s: float


@dataclass(frozen=True, slots=True)
class StandingShortage:
    """Why a standing job does not fit.

    Attributes:
        demand: What a task of it reserves.
        tasks: Number of tasks that need room.
        room: For how many of them each hall has room, by name of the hall.
        missing: What has to get free for the others.
        cores: Where the cores of each hall are, by name of the hall.
    """

    demand: Demand
    tasks: int
    room: dict[str, int]
    missing: Demand
    cores: dict[str, HallCores]


def shortage_of(
    spec: JobSpec, service: str, halls: Iterable[StandingHall]
) -> StandingShortage | None:
    """Return why the halls have no room for a standing job, ``None`` if they have or may have.

    A part of a step's tasks needs room, in all halls together; the others begin as room gets free.
    The tasks of a gang need it in one hall. Room that is kept for short work does not count. A hall
    of which nothing is known may have room.

    Args:
        spec: The job.
        service: Service whose executors run it.
        halls: Halls that could get it.
    """
    known = list(halls)
    if not known or not all(_is_known(hall.load) for hall in known):
        return None
    for step in spec.steps:
        if not step.standing or step.best_effort or step.depends_on:
            continue
        rooms = {hall.load.hall: _room(hall, step, service) for hall in known}
        tasks = step.count if step.gang else ceil(MIN_SHARE_WITH_ROOM * step.count)
        room = max(rooms.values()) if step.gang else sum(rooms.values())
        if room < tasks:
            missing = Demand().plus(step.demand, tasks - room)
            cores = {hall.load.hall: _cores(hall) for hall in known}
            return StandingShortage(step.demand, tasks, rooms, missing, cores)
    return None


def _cores(hall: StandingHall) -> HallCores:
    summary = hall.load.usable_summary or HallSummary()
    return HallCores(
        summary.capacity,
        sum(summary.standing.values()),
        summary.free,
        sum(min(room.headroom.milli_cpu, max(room.free_cpu, 0)) for room in summary.rooms()),
        hall.accepted.milli_cpu,
        round(hall.load.age_s, 2),
    )


def _is_known(load: HallLoad) -> bool:
    """Return whether a hall's room is known; a new owner publishes some executors at first."""
    summary = load.usable_summary
    if summary is None or summary.standing_only:
        return False
    return bool(summary.free_by_executor)


class _Usable(NamedTuple):
    """Room of a hall by its summary.

    Attributes:
        slots: Number of tasks that have room.
        free: Resources of the executors with room that such tasks may use.
    """

    slots: int
    free: Demand


def _room(hall: StandingHall, step: StepSpec, service: str) -> int:
    """Return for how many tasks of a step a hall has room beside the jobs accepted lately."""
    usable = _usable(hall, step, service)
    left = usable.free.plus(hall.accepted, -1.0 / PACKED_SHARE)
    return max(min(usable.slots, step.demand.fitting_into(left)), 0)


def _usable(hall: StandingHall, step: StepSpec, service: str) -> _Usable:
    summary = hall.load.usable_summary
    rooms = list(summary.rooms()) if summary else []
    need = TaskNeed.of(step, service, use_headroom=False)
    # Tasks that not even an empty executor has beside its headroom would be refused for ever.
    use_headroom = not any(_fits_when_empty(need, room) for room in rooms)
    need = TaskNeed.of(step, service, use_headroom=use_headroom).preempting()
    slots, free = 0, Demand()
    for room in rooms:
        count = need.slots(room)
        if count:
            slots += count
            free = free.plus(need.usable(room))
    return _Usable(slots, free)


def _fits_when_empty(need: TaskNeed, room: ExecutorRoom) -> bool:
    """Return whether an executor without any task would have room for one beside its headroom."""
    kept, demand = room.headroom, need.demand
    if not need.matches(room) or demand.milli_cpu + kept.milli_cpu > room.total_cpu:
        return False
    if room.kind is None:
        return True
    capacity = room.kind.capacity
    if demand.gpus + kept.gpus > capacity.gpus:
        return False
    return demand.memory_mb + kept.memory_mb <= capacity.memory_mb
