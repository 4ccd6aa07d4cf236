"""Finds work that waits for capacity in one hall and that another hall can take.

A job of which no start was ordered moves as a whole. Tasks of other jobs, of a job that has moved,
or that no hall takes as a whole, are delegated to other halls, members of a gang together. The home
hall keeps the job and its steps; the hall that manages a task announces that it is done. The record
of a handover is first made durable under the owner's epoch and only then published, so exactly one
shard manages each task.
"""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, Any, NamedTuple

from linkspan.events import Event
from linkspan.shard._reasons import MAX_LOGGED_TASKS
from linkspan.shard.handover._delegation_halls import DelegationHalls
from linkspan.shard.handover._hall_room import HallRoom
from linkspan.shard.handover._other_halls import OtherHalls
from linkspan.shard.handover._search_order import by_precedence
from linkspan.shard.handover._spread_limit import SpreadLimits
from linkspan.shard.handover._stay_reason import StayReason
from linkspan.shard.handover._task_waits import (
    RETURN_DELAY_S,
    have_waited,
    standing_return_delay_s,
)
from linkspan.shard.handover._whole_moves import WholeMoves
from linkspan.shard.handover.sought_room import SoughtRoom
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import has_data
from linkspan.shard.planning.task_need import TaskNeed

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.core import ShardCore
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

BUSY_HALL_WAIT_S = 1.0
"""Time for which tasks that end wait in a hall with executors that can run them. On most days such
a hall frees capacity within half a second."""

LONG_WAIT_S = 2.0
"""The same for tasks whose data is in the hall, and for those that need tickets, also where they
are delegated to: the policies' service may take as long to answer."""

FULL_HALLS_RETURN_DELAY_S = 4.0
"""Time for which a delegated task waits for capacity before it is returned, if no other hall has
room: home would only let it wait, too. Here it comes before the tasks that have waited less, and
half of a standing task's nine seconds remain for a second hall."""

SPREAD_LIMIT_RETURN_DELAY_S = 0.15
"""The same where only executors at the step's spread limit have room, or none can run the step. It
is long enough for the hall's owner to try."""

MAX_PUBLISHED_SOUGHT = 8
"""Limits the sizes of room that a hall says its standing tasks wait for, as each takes some 40
bytes of the record. Room for others is told of at intervals."""

MIN_LOGGED_MILLI_CPU = 1_000
"""Thousandths of a core by which the room of another hall has grown that is logged."""


class Handover(NamedTuple):
    """Work to hand over to another shard.

    Attributes:
        job_id: The job.
        shard: The other shard.
        tasks: Step and index of the tasks to delegate or return, ``None`` to move the whole job.
        repetition: Number of the job's repetition that the tasks are of.
    """

    job_id: str
    shard: int
    tasks: tuple[tuple[int, int], ...] | None
    repetition: int = 0


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
        self._evidence = evidence
        self._whole_moves = WholeMoves(core, count_capable)
        self._delegation_halls = DelegationHalls(count_capable)
        self._halls = OtherHalls()
        self._spread_limits = SpreadLimits(core, 0.0)
        self._stay_reasons: dict[StepRun, StayReason] = {}
        self._own = HallSummary()
        self._sought: dict[SoughtRoom, None] = {}

    def __repr__(self) -> str:
        return f"Rebalancer({self._core!r})"

    @property
    def seeks_room(self) -> bool:
        """Whether standing tasks waited for room at the last search, here or in another hall."""
        return bool(self._sought)

    @property
    def sought(self) -> tuple[SoughtRoom, ...]:
        """Room that standing tasks waited for at the last search, the longest wait first."""
        return tuple(islice(self._sought, MAX_PUBLISHED_SOUGHT))

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
        before = {shard: room.published_cpu for shard, room in halls.rooms.items()}
        halls.read(self._summaries(), now)
        if self._sought:
            self._log_more_room(before)
        self._spread_limits = SpreadLimits(self._core, now)
        self._own = own
        own_room = HallRoom(own, now)
        found: dict[str, Handover] = {}
        self._stay_reasons = {}
        self._sought = {}
        for step in by_precedence(self._core.ready, now):
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
        # A task that may have to be given up may not start elsewhere, either. The delay after a
        # refused start, in contrast, is about this hall's executors.
        undecided = [t for t in step.pending() if not t.decision_pending]
        pending = have_waited(undecided, self._wait_s(step.spec), now)
        if not pending:
            return StayReason.TOO_SOON if undecided else StayReason.DECISION
        if job.closing or job.handing_over:
            return StayReason.RECORDING
        if step.spec.standing:
            self._sought[SoughtRoom.of(step)] = None
        pending = self._core.tasks_that_may_start(job, pending, now)
        if not pending:
            # A former owner may have started tasks here, which must not start elsewhere, too.
            return StayReason.INHERITED
        if job.delegated_here:
            return self._return(step, pending, halls, now) or StayReason.RETURN_DELAY
        begun = job.start_ordered or job.moved or job.has_delegations
        if not begun and self._core.may_start(job, now):
            shard = self._whole_moves.choose(step, own, halls, now)
            if shard is not None:
                return Handover(job.job_id, shard, None)
            if now - min(t.ready_since for t in pending) < self._whole_move_wait_s():
                return StayReason.TOO_SOON
        return self._delegate(step, pending, own, halls, now)

    def _wait_s(self, step: StepSpec) -> float:
        """Return how long a step's tasks wait for capacity in this hall before a handover."""
        if self._core.evacuation:
            return 0.0
        if step.best_effort or step.standing:
            return HANDOVER_WAIT_S
        return SHORT_TASK_HANDOVER_WAIT_S

    def _delegation_wait_s(self, step: StepRun) -> float:
        """Return how long a step's tasks wait here before they are delegated one by one."""
        if self._core.evacuation or step.spec.standing or not self._can_run(step):
            return self._wait_s(step.spec)
        if step.run.job.requires_ticket or has_data(step.spec, self._own.kinds or ()):
            return LONG_WAIT_S
        return BUSY_HALL_WAIT_S

    def _whole_move_wait_s(self) -> float:
        """Return how long a job that has not begun waits for a hall that takes all of it."""
        return 0.0 if self._core.evacuation else WHOLE_MOVE_WAIT_S

    def _can_run(self, step: StepRun) -> bool:
        """Return whether an executor of this hall could run a task of a step if it were empty."""
        if self._own.kinds is None:
            return True
        return self._own.count_capable(step.spec, step.run.job.service) > 0

    def _return(
        self, step: StepRun, pending: list[Task], halls: OtherHalls, now: float
    ) -> Handover | None:
        """Return delegations whose tasks have not found capacity for a while."""
        delay_s = self._return_delay_s(step, pending[0], halls, now)
        overdue = [task for task in pending if now - task.ready_since >= delay_s]
        if step.spec.gang and len(overdue) < len(step.tasks):
            return None
        return _handover(step, step.run.job.submitted.shard, overdue) if overdue else None

    def _return_delay_s(self, step: StepRun, first: Task, halls: OtherHalls, now: float) -> float:
        """Return how long a step's delegated tasks wait in this hall before they are returned.

        Args:
            step: The step.
            first: Its task that has waited longest.
            halls: Room of the other halls.
            now: Steady time.
        """
        spec, job = step.spec, step.run.job
        if self._core.evacuation:
            return 0.0
        if self._spread_limits.keep_out(step) or not self._can_run(step):
            return SPREAD_LIMIT_RETURN_DELAY_S
        need = TaskNeed.of(spec, job.service, use_headroom=True)
        if spec.best_effort or not halls.with_room_for(need):
            return FULL_HALLS_RETURN_DELAY_S
        if job.requires_ticket:
            return LONG_WAIT_S
        return standing_return_delay_s(first, now) if spec.standing else RETURN_DELAY_S

    def _delegate(
        self, step: StepRun, pending: list[Task], own: HallRoom, halls: OtherHalls, now: float
    ) -> Handover | StayReason:
        """Return the delegation of tasks to a hall that has room for them now."""
        waited = have_waited(pending, self._delegation_wait_s(step), now)
        if not waited:
            return StayReason.TOO_SOON
        choice = self._delegation_halls.choose(step, waited, own, halls, now)
        if choice is None:
            return StayReason.LOAD if step.spec.best_effort else StayReason.NO_ROOM
        return _handover(step, choice.shard, choice.tasks)

    def _log_more_room(self, before: dict[int, int]) -> None:
        """Log the halls whose last summary has more free cores than the one before it.

        Args:
            before: Free thousandths of a core of each hall, by its summary before.
        """
        for shard, room in self._halls.rooms.items():
            known = before.get(shard, 0)
            if room.published_cpu >= known + MIN_LOGGED_MILLI_CPU:
                self._core.log(
                    Event.ROOM_SEEN,
                    elsewhere=shard,
                    free=room.published_cpu,
                    before=known,
                    shard=self._core.shard,
                    token=self._core.token,
                )

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


def _handover(step: StepRun, shard: int, tasks: list[Task]) -> Handover:
    """Return the delegation or the return of some of a step's tasks."""
    indexes = tuple((step.index, task.name.index) for task in tasks)
    return Handover(step.run.job.job_id, shard, indexes, step.run.repetition)
