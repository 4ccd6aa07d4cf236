"""Work that waits for room in one hall goes to another that has some.

A job of which nothing was started moves whole. Standing tasks of a job that has begun
are lent one by one: nothing waits for their end, so the two halls need not talk. The
record of a handover is first made durable under the owner's epoch and only then
told, so exactly one shard looks after each task.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any, NamedTuple

from linkspan.events import Event
from linkspan.shard.planning.placement import STANDING_HEADROOM

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.core import ShardCore
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

WAIT_S = 0.5
"""Time that work waits for room at home first: room frees up within half a second
on most days, and a handover takes two appends."""

SHORT_WAIT_S = 0.15
"""The same for short tasks with a reservation, whose objectives leave half a second
beside the work itself."""

GIVE_BACK_S = 1.0
"""Time for which a borrowed task waits for room before it is given back."""

LESS_BUSY = 0.15
"""Part of a hall by which another must be less busy to take best-effort work over."""


class Handover(NamedTuple):
    """Work to give to another shard.

    Attributes:
        job_id: The job.
        shard: The other shard.
        tasks: Step and index of the tasks to lend or give back, ``None`` to move the whole job.
    """

    job_id: str
    shard: int
    tasks: tuple[tuple[int, int], ...] | None


class Rebalancer:
    """Finds work to give to other halls.

    Args:
        core: The shard's state.
        summaries: Returns what the owners of other shards last told.
        count_able: Returns how many executors of a shard could run a step's task.
        evidence: Returns fields that tell by what a job that moves whole has not begun.
    """

    def __init__(
        self,
        core: ShardCore,
        *,
        summaries: Callable[[], dict[int, HallSummary]],
        count_able: Callable[[int, StepSpec, str], int],
        evidence: Callable[[ShardJob, float], dict[str, Any]] = lambda _job, _now: {},
    ) -> None:
        self._core = core
        self._summaries = summaries
        self._count_able = count_able
        self._evidence = evidence

    def __repr__(self) -> str:
        return f"Rebalancer({self._core!r})"

    def plan(self, own: HallSummary, now: float) -> list[Handover]:
        """Return the handovers to make now.

        Args:
            own: State of this hall.
            now: Steady time.
        """
        halls = self._summaries()
        found: dict[str, Handover] = {}
        for step in list(self._core.ready):
            if step.run.job.job_id in found:
                # One handover of a job at a time: two would give it to two halls.
                continue
            handover = self._for_step(step, own, halls, now)
            if handover:
                found[handover.job_id] = handover
                self._log(handover, step, now)
        return list(found.values())

    def _for_step(
        self, step: StepRun, own: HallSummary, halls: dict[int, HallSummary], now: float
    ) -> Handover | None:
        job = step.run.job
        wait_s = WAIT_S if step.spec.best_effort or step.spec.standing else SHORT_WAIT_S
        # One that may not start yet may not elsewhere, either: it may be about to be given up.
        may = (t for t in step.tasks if t.pending and t.not_before <= now)
        pending = [t for t in may if now - t.ready_since >= wait_s]
        if not pending or job.closing or job.handing_over:
            return None
        if not self._core.may_start(job, now):
            # What a former owner may have started here must not start elsewhere.
            return None
        if job.delegated_here:
            return self._give_back(job, step, pending, now)
        if not job.begun and not job.moved:
            return self._move(job, own, halls)
        if step.spec.standing and not step.spec.gang:
            return self._lend(job, step, pending, halls)
        return None

    def _give_back(
        self, job: ShardJob, step: StepRun, pending: list[Task], now: float
    ) -> Handover | None:
        """Return loans for which there has been no room for a while."""
        late = [task for task in pending if now - task.ready_since >= GIVE_BACK_S]
        if not late:
            return None
        tasks = tuple((step.index, task.name.index) for task in late)
        return Handover(job.job_id, job.submitted.shard, tasks)

    def _move(
        self, job: ShardJob, own: HallSummary, halls: dict[int, HallSummary]
    ) -> Handover | None:
        steps = job.spec.steps
        need = max(step.count * step.demand.milli_cpu for step in steps)
        best_effort = any(step.best_effort for step in steps)
        standing = job.spec.standing
        for shard, hall in sorted(halls.items(), key=lambda item: -_room(item[1])):
            if not all(self._enough(shard, step, job) for step in steps):
                continue
            if best_effort:
                if _busy(hall) + need / max(hall.capacity, 1) + LESS_BUSY > _busy(own):
                    continue
                halls[shard] = replace(hall, waiting=hall.waiting + need)
            else:
                if hall.queued or _room(hall, standing=standing) < need:
                    continue
                if not all(hall.slots(step.demand) >= _least(step) for step in steps):
                    continue
                halls[shard] = replace(hall, free=hall.free - need)
            return Handover(job.job_id, shard, None)
        return None

    def _enough(self, shard: int, step: StepSpec, job: ShardJob) -> bool:
        able = self._count_able(shard, step, job.service)
        return able * (step.max_per_executor or step.count) >= step.count

    def _lend(
        self,
        job: ShardJob,
        step: StepRun,
        pending: list[Task],
        halls: dict[int, HallSummary],
    ) -> Handover | None:
        spec = step.spec
        # Only these may use the room that is kept for short work.
        pending = [task for task in pending if task.displaced] or pending
        for shard in _by_promise(halls, pending[0]):
            hall = halls[shard]
            if not self._count_able(shard, spec, job.service):
                continue
            executor_cpu = hall.capacity / max(len(hall.rooms), 1)
            kept = 0.0 if pending[0].displaced else STANDING_HEADROOM * executor_cpu
            room = hall.slots(spec.demand, headroom=kept)
            if room < 1:
                continue
            lent = pending[:room]
            # One handover to a hall until it tells of itself again.
            halls[shard] = replace(hall, free=0, rooms=())
            tasks = tuple((step.index, task.name.index) for task in lent)
            return Handover(job.job_id, shard, tasks)
        return None

    def _log(self, handover: Handover, step: StepRun, now: float) -> None:
        whole = handover.tasks is None
        self._core.log(
            Event.WORK_HANDED_OVER,
            job=handover.job_id,
            to_shard=handover.shard,
            tasks="all" if handover.tasks is None else len(handover.tasks),
            waited_s=round(now - min(t.ready_since for t in step.tasks if t.pending), 2),
            shard=self._core.shard,
            token=self._core.token,
            **(self._evidence(step.run.job, now) if whole else {}),
        )


def _room(hall: HallSummary, *, standing: bool = False) -> int:
    kept = STANDING_HEADROOM * hall.capacity if standing else 0.0
    return int(hall.free - kept)


def _by_promise(halls: dict[int, HallSummary], task: Task) -> list[int]:
    """Return the halls to lend a task to, best first: the room told is not always for it.

    What a step may not use (its spread limit, a label) is in the room that a hall tells of.
    So a hall that gave the task back comes after those that did not, or did longer ago.
    """
    return sorted(halls, key=lambda shard: (task.returned_by.get(shard, 0), -_room(halls[shard])))


def _least(step: StepSpec) -> int:
    """Return for how many tasks of a step there is to be room: a job moves once only."""
    return step.count if step.gang else 1


def _busy(hall: HallSummary) -> float:
    return (hall.best_effort + hall.waiting) / max(hall.capacity, 1)
