"""Chooses the halls that waiting tasks are delegated to."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.planning.task_need import TaskNeed, may_use_headroom

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.handover._hall_room import HallRoom
    from linkspan.shard.handover._other_halls import OtherHalls
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

PREEMPTION_ELSEWHERE_WAIT_S = 2.0
"""Time after which a task goes to a hall that has to stop best-effort runs for it. At home that
takes 0.8 s and a stop."""

MIN_LOAD_DIFFERENCE = 1.0
"""Minimum difference in best-effort load, as a share of a hall's capacity, for another hall to take
over tasks of a job that has begun: this hall has lost most of its executors."""

IDLE_JOB_WAIT_S = 2.0
"""Time after which best-effort tasks of a job that has nothing running go to a hall that is half
idle. The platform counts work as lost that waits for three seconds while there is capacity."""

MAX_TASKS_PER_HANDOVER = 400
"""Limits the tasks of one delegation, so that what a hall has to record at once stays small."""

MAX_BEST_EFFORT_TASKS = 8
"""The same for best-effort tasks. Only memory limits how many fit into a hall, so that they would
all go to the same one."""

MAX_OPEN_DELEGATIONS = 2_000
"""Limits the tasks of a job that are delegated to one hall at a time. One record has all of them,
with some 40 bytes each."""


class _StepSlots(NamedTuple):
    """For how many more tasks of a step a hall has room.

    A summary doesn't tell which of the executors with room run tasks of the step.

    Attributes:
        certain: Number if all of the step's tasks there run on executors with room.
        possible: Number if none of them does.
    """

    certain: int
    possible: int


class Choice(NamedTuple):
    """Tasks of one step to delegate, and the hall.

    Attributes:
        shard: The hall's shard.
        tasks: The tasks.
    """

    shard: int
    tasks: list[Task]


class DelegationHalls:
    """Chooses halls with room for single tasks, and for gangs as a whole.

    Args:
        count_capable: Returns how many executors of a shard could run a step's task if they were
            empty.
    """

    def __init__(self, count_capable: Callable[[int, StepSpec, str], int]) -> None:
        self._count_capable = count_capable

    def __repr__(self) -> str:
        return f"DelegationHalls({self._count_capable!r})"

    def choose(
        self, step: StepRun, pending: list[Task], own: HallRoom, halls: OtherHalls, now: float
    ) -> Choice | None:
        """Return tasks and a hall that has room for them now, and count them as taking the room.

        Args:
            step: The step.
            pending: Its tasks that may leave, the longest wait first.
            own: Room of this hall.
            halls: Room of the other halls.
            now: Steady time.
        """
        if step.spec.best_effort:
            return self._choose_best_effort(step, pending, own, halls, now)
        if step.spec.gang:
            all_wait = len(pending) == len(step.tasks)
            return self._choose_reserved(step, pending, halls, now) if all_wait else None
        return self._choose_reserved(step, pending, halls, now)

    def _choose_reserved(
        self, step: StepRun, pending: list[Task], halls: OtherHalls, now: float
    ) -> Choice | None:
        """Choose for tasks with a reservation.

        Standing tasks that may use the headroom come first: other halls may have no other room.
        """
        service = step.run.job.service
        in_headroom = [task for task in pending if may_use_headroom(task, now)]
        tasks = (in_headroom or pending) if step.spec.standing and not step.spec.gang else pending
        need = TaskNeed.of(step.spec, service, use_headroom=bool(in_headroom))
        least = len(step.tasks) if step.spec.gang else 1
        slots = self._slots_by_hall(step, need, halls)
        overdue = now - tasks[0].waiting_since >= PREEMPTION_ELSEWHERE_WAIT_S
        if overdue and not any(hall.certain >= least for hall in slots.values()):
            stopping = self._slots_by_hall(step, need.preempting(), halls)
            slots |= {
                s: hall for s, hall in stopping.items() if slots.get(s, _NONE).certain < least
            }
        for shard in _by_preference(tasks[0], slots):
            count = slots[shard].certain or slots[shard].possible
            count = min(count, _remaining_delegations(step, shard))
            if count < least or _has_just_returned(tasks[0], shard, halls.rooms[shard]):
                continue
            chosen = tasks[: max(least, min(count, MAX_TASKS_PER_HANDOVER))]
            room = halls.rooms[shard]
            room.take(need if room.slots(need) >= least else need.preempting(), len(chosen))
            return Choice(shard, chosen)
        return None

    def _choose_best_effort(
        self, step: StepRun, pending: list[Task], own: HallRoom, halls: OtherHalls, now: float
    ) -> Choice | None:
        """Choose the hall with the least best-effort work, if this hall can do little of its own.

        Best-effort tasks use what others leave, the most urgent first. Where one waits for that, it
        would only lose its place in another hall.
        """
        need = TaskNeed.of(step.spec, step.run.job.service, use_headroom=False)
        slots = self._slots_by_hall(step, need, halls)
        milli_cpu = step.spec.demand.milli_cpu
        idle = not any(True for _ in step.run.job.attempts())
        starved = idle and now - pending[0].waiting_since >= IDLE_JOB_WAIT_S
        limit = own.best_effort_load - MIN_LOAD_DIFFERENCE
        for shard in sorted(slots, key=lambda shard: halls.rooms[shard].best_effort_load):
            count = min(slots[shard].possible, MAX_BEST_EFFORT_TASKS)
            chosen = pending[: min(count, _remaining_delegations(step, shard))]
            room = halls.rooms[shard]
            lightly_loaded = room.load_with(milli_cpu * len(chosen)) <= limit
            if chosen and (lightly_loaded or (starved and room.half_idle)):
                room.add_best_effort(milli_cpu * len(chosen))
                return Choice(shard, chosen)
        return None

    def _slots_by_hall(
        self, step: StepRun, need: TaskNeed, halls: OtherHalls
    ) -> dict[int, _StepSlots]:
        """Return the slots for more of a step's tasks of the halls with room for such tasks."""
        return {
            shard: self._slots(shard, step, halls.rooms[shard].slots(need))
            for shard in halls.with_room_for(need)
        }

    def _slots(self, shard: int, step: StepRun, slots: int) -> _StepSlots:
        """Return for how many more of a step's tasks a hall has room beside those it manages.

        Args:
            shard: The hall's shard.
            step: The step.
            slots: Number of tasks for which it would have room without those.
        """
        spec = step.spec
        capable = self._count_capable(shard, spec, step.run.job.service)
        if not capable or not spec.max_per_executor:
            return _StepSlots(slots, slots) if capable else _NONE
        there = sum(task.managed_by == shard for task in step.tasks)
        limit = capable * spec.max_per_executor - there
        return _StepSlots(max(slots - there, 0), min(slots, limit))


_NONE = _StepSlots(0, 0)
"""Slots of a hall that can't run a step."""


def _has_just_returned(task: Task, shard: int, room: HallRoom) -> bool:
    """Return whether a hall's last summary may be older than its return of a task.

    Such a summary tells of the room that the hall could not give the task.
    """
    last_returned = task.returned_by.get(shard, 0)
    if not last_returned or last_returned < task.delegation_number:
        return False
    return room.read_at <= task.ready_since


def _remaining_delegations(step: StepRun, shard: int) -> int:
    """Return how many more tasks of a step's job may be delegated to a hall now."""
    there = sum(task.managed_by == shard and not task.done for task in step.run.tasks())
    return max(MAX_OPEN_DELEGATIONS - there, 0)


def _by_preference(task: Task, slots: dict[int, _StepSlots]) -> list[int]:
    """Return halls in the order in which to delegate a task to them.

    A hall that returned the task comes after halls that did not, or that did so earlier. Then come
    first those whose room is certainly not on executors at the step's spread limit.
    """
    return sorted(slots, key=lambda s: (task.returned_by.get(s, 0), not slots[s].certain))
