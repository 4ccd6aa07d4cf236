"""Finds work that waits for capacity in one hall and that another hall can take.

A job of which nothing was started moves as a whole. Standing tasks of a job that has begun, or that
no hall takes as a whole, are delegated one by one: no step waits for their end, so the two halls
need not coordinate. The record of a handover is first made durable under the owner's epoch and only
then published, so exactly one shard manages each task.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from linkspan.events import Event
from linkspan.shard._reasons import MAX_LOGGED_TASKS
from linkspan.shard.handover._hall_room import HallRoom
from linkspan.shard.handover._other_halls import OtherHalls
from linkspan.shard.handover._spread_limit import SpreadLimits
from linkspan.shard.handover._stay_reason import StayReason
from linkspan.shard.handover._whole_moves import WholeMoves
from linkspan.shard.planning.task_need import TaskNeed, may_use_headroom

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.core import ShardCore
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

HANDOVER_WAIT_S = 0.5
"""Time that work waits for capacity at home before a handover: on most days capacity is freed
within half a second, and a handover takes two appends."""

SHORT_TASK_HANDOVER_WAIT_S = 0.15
"""The same for short tasks with a reservation, whose objectives leave half a second in addition to
the duration of the work."""

WHOLE_MOVE_WAIT_S = 2.0
"""Time for which a job with standing tasks that has not begun waits for a hall that can take all of
them. After that its tasks are delegated one by one."""

RETURN_DELAY_S = 1.0
"""Time for which a delegated task waits for capacity before it is returned, if another hall has
room for it."""

FULL_HALLS_RETURN_DELAY_S = 4.0
"""The same if no other hall has room: home would only let it wait, too. Here it comes before the
tasks that have waited less, and half of a standing task's nine seconds remain for a second hall."""

PREEMPTION_ELSEWHERE_WAIT_S = 2.0
"""Time after which a standing task goes to a hall that has to stop best-effort runs for it. At home
that takes 0.8 s and a stop."""

SPREAD_LIMIT_RETURN_DELAY_S = 0.15
"""The same where only executors at the step's spread limit have room. It is long enough for the
hall's owner to try."""

ARRIVED_HANDOVER_WAIT_S = 0.15
"""Time for which a task that has already waited in another hall waits in this one. Home had no room
when it delegated the task, so it only has to try again."""

MAX_FAST_SEARCH_S = 9.0
"""Time for which a waiting task is handed on that fast. After that no hall seems to have room, and
each handover writes records."""


class Handover(NamedTuple):
    """Work to hand over to another shard.

    Attributes:
        job_id: The job.
        shard: The other shard.
        tasks: Step and index of the tasks to delegate or return, ``None`` to move the whole job.
    """

    job_id: str
    shard: int
    tasks: tuple[tuple[int, int], ...] | None


class _StepSlots(NamedTuple):
    """For how many more tasks of a step a hall has room.

    A summary doesn't tell which of the executors with room run tasks of the step.

    Attributes:
        certain: Number if all of the step's tasks there run on executors with room.
        possible: Number if none of them does.
    """

    certain: int
    possible: int


class Rebalancer:
    """Finds work to hand over to other halls.

    Args:
        core: The shard's state.
        summaries: Returns the summaries that the owners of other shards published last.
        count_capable: Returns how many executors of a shard could run a step's task if they were
            empty.
        evidence: Returns log fields that show why a job that moves as a whole has not begun.
    """

    def __init__(
        self,
        core: ShardCore,
        *,
        summaries: Callable[[], dict[int, HallSummary]],
        count_capable: Callable[[int, StepSpec, str], int],
        evidence: Callable[[ShardJob, float], dict[str, Any]] = lambda _job, _now: {},
    ) -> None:
        self._core = core
        self._summaries = summaries
        self._count_capable = count_capable
        self._evidence = evidence
        self._whole_moves = WholeMoves(core, count_capable)
        self._halls = OtherHalls()
        self._spread_limits = SpreadLimits(core, 0.0)
        self._stay_reasons: dict[StepRun, StayReason] = {}

    def __repr__(self) -> str:
        return f"Rebalancer({self._core!r})"

    def stay_reason(self, step: StepRun) -> StayReason:
        """Return why the last search for other halls left a step's waiting tasks here."""
        return self._stay_reasons.get(step, StayReason.UNDECIDED)

    def plan(self, own: HallSummary, now: float) -> list[Handover]:
        """Return the handovers to make now.

        Args:
            own: Summary of this hall.
            now: Steady time.
        """
        halls = self._halls
        halls.read(self._summaries(), now)
        self._spread_limits = SpreadLimits(self._core, now)
        own_room = HallRoom(own, now)
        found: dict[str, Handover] = {}
        self._stay_reasons = {}
        for step in list(self._core.ready):
            if step.run.job.job_id in found:
                # Only one handover of a job at a time: two could give the job to two halls.
                self._stay_reasons[step] = StayReason.RECORDING
                continue
            handover = self._for_step(step, own_room, halls, now)
            if isinstance(handover, StayReason):
                self._stay_reasons[step] = handover
                continue
            found[handover.job_id] = handover
            self._log(handover, step, now)
        return list(found.values())

    def _for_step(
        self, step: StepRun, own: HallRoom, halls: OtherHalls, now: float
    ) -> Handover | StayReason:
        job = step.run.job
        wait_s = self._wait_s(step.spec)
        # A task that may have to be given up may not start elsewhere, either. The delay after a
        # refused start, in contrast, is about this hall's executors.
        undecided = [t for t in step.pending() if not t.decision_pending]
        pending = [t for t in undecided if now - t.ready_since >= _own_wait_s(t, wait_s, now)]
        if not pending:
            return StayReason.TOO_SOON if undecided else StayReason.DECISION
        if job.closing or job.handing_over:
            return StayReason.RECORDING
        if not self._core.may_start(job, now):
            # A former owner may have started tasks here, which must not start elsewhere, too.
            return StayReason.INHERITED
        if job.delegated_here:
            return self._return(job, step, pending, halls, now) or StayReason.RETURN_DELAY
        if not (job.begun or job.moved or job.has_delegations):
            shard = self._whole_moves.choose(step, own, halls, now)
            if shard is not None:
                return Handover(job.job_id, shard, None)
            if now - min(t.ready_since for t in pending) < self._whole_move_wait_s():
                return StayReason.TOO_SOON
        if step.spec.standing and not step.spec.gang:
            return self._delegate(job, step, pending, halls, now) or StayReason.NO_ROOM
        if job.moved:
            return StayReason.MOVED
        return StayReason.BEGUN if job.begun else StayReason.NO_ROOM

    def _wait_s(self, step: StepSpec) -> float:
        """Return how long a step's tasks wait for capacity in this hall before a handover."""
        if self._core.evacuation:
            return 0.0
        if step.best_effort or step.standing:
            return HANDOVER_WAIT_S
        return SHORT_TASK_HANDOVER_WAIT_S

    def _whole_move_wait_s(self) -> float:
        """Return how long a job that has not begun waits for a hall that takes all of it."""
        return 0.0 if self._core.evacuation else WHOLE_MOVE_WAIT_S

    def _return(
        self, job: ShardJob, step: StepRun, pending: list[Task], halls: OtherHalls, now: float
    ) -> Handover | None:
        """Return delegations whose tasks have not found capacity for a while."""
        delay_s = self._return_delay_s(step, halls)
        overdue = [task for task in pending if now - task.ready_since >= delay_s]
        if not overdue:
            return None
        tasks = tuple((step.index, task.name.index) for task in overdue)
        return Handover(job.job_id, job.submitted.shard, tasks)

    def _return_delay_s(self, step: StepRun, halls: OtherHalls) -> float:
        """Return how long a step's delegated tasks wait in this hall before they are returned."""
        if self._core.evacuation:
            return 0.0
        if self._spread_limits.keep_out(step):
            return SPREAD_LIMIT_RETURN_DELAY_S
        need = TaskNeed.of(step.spec, step.run.job.service, use_headroom=True)
        return RETURN_DELAY_S if halls.with_room_for(need) else FULL_HALLS_RETURN_DELAY_S

    def _delegate(
        self,
        job: ShardJob,
        step: StepRun,
        pending: list[Task],
        halls: OtherHalls,
        now: float,
    ) -> Handover | None:
        """Return the delegation of tasks to a hall that has room for them now.

        Tasks that may use the headroom come first: other halls may have no other room.
        """
        in_headroom = [task for task in pending if may_use_headroom(task, now)]
        tasks = in_headroom or pending
        need = TaskNeed.of(step.spec, job.service, use_headroom=bool(in_headroom))
        slots = self._slots_by_hall(step, need, halls)
        overdue = now - tasks[0].waiting_since >= PREEMPTION_ELSEWHERE_WAIT_S
        if overdue and not any(hall.certain for hall in slots.values()):
            stopping = self._slots_by_hall(step, need.preempting(), halls)
            slots |= {shard: hall for shard, hall in stopping.items() if shard not in slots}
        for shard in _by_preference(tasks[0], slots):
            count = slots[shard].certain or slots[shard].possible
            if count < 1:
                continue
            delegated = tasks[:count]
            room = halls.rooms[shard]
            room.take(need if room.slots(need) else need.preempting(), len(delegated))
            names = tuple((step.index, task.name.index) for task in delegated)
            return Handover(job.job_id, shard, names)
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
            return _StepSlots(slots, slots) if capable else _StepSlots(0, 0)
        there = sum(task.managed_by == shard for task in step.tasks)
        limit = capable * spec.max_per_executor - there
        return _StepSlots(max(slots - there, 0), min(slots, limit))

    def _log(self, handover: Handover, step: StepRun, now: float) -> None:
        moves_job = handover.tasks is None
        self._core.log(
            Event.WORK_HANDED_OVER,
            job=handover.job_id,
            to_shard=handover.shard,
            tasks="all" if handover.tasks is None else len(handover.tasks),
            indexes=[index for _, index in (handover.tasks or ())[:MAX_LOGGED_TASKS]],
            waited_s=round(now - min(t.ready_since for t in step.tasks if t.pending), 2),
            shard=self._core.shard,
            token=self._core.token,
            **(self._evidence(step.run.job, now) if moves_job else {}),
        )


def _own_wait_s(task: Task, wait_s: float, now: float) -> float:
    """Return how long a task waits in this hall, less if it has already waited in another one."""
    has_waited_elsewhere = task.ready_since > task.waiting_since
    if has_waited_elsewhere and now - task.waiting_since < MAX_FAST_SEARCH_S:
        return min(wait_s, ARRIVED_HANDOVER_WAIT_S)
    return wait_s


def _by_preference(task: Task, slots: dict[int, _StepSlots]) -> list[int]:
    """Return halls in the order in which to delegate a task to them.

    A hall that returned the task comes after halls that did not, or that did so earlier. Then come
    first those whose room is certainly not on executors at the step's spread limit.
    """
    return sorted(slots, key=lambda s: (task.returned_by.get(s, 0), not slots[s].certain))
