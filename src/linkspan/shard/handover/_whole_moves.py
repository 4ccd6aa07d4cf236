"""Chooses the hall for a job of which nothing was started and that finds no room in its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.planning.task_need import TaskNeed, may_use_headroom

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.core import ShardCore
    from linkspan.shard.handover._hall_room import HallRoom
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.step_run import StepRun

MIN_LOAD_DIFFERENCE = 0.15
"""Minimum difference in best-effort load, as a share of a hall's capacity, for another hall to take
over best-effort work."""

QUEUE_PRECEDENCE_S = 1.0
"""Time for which work that waits in another hall comes before a job that could move there. What
still waits beside room can't use that room: its spread limit, label or size is against it."""

WHOLE_STEP_WAIT_S = 1.0
"""Time for which a job waits for a hall with room for all tasks of its widest step. After that a
hall with room for some of the tasks that wait is better: the others run after them there."""


class WholeMoves:
    """Chooses halls for whole jobs.

    Args:
        core: The shard's state.
        count_capable: Returns how many executors of a shard could run a step's task if they were
            empty.
    """

    def __init__(self, core: ShardCore, count_capable: Callable[[int, StepSpec, str], int]) -> None:
        self._core = core
        self._count_capable = count_capable

    def __repr__(self) -> str:
        return f"WholeMoves({self._core!r})"

    def choose(
        self, step: StepRun, own: HallRoom, halls: dict[int, HallRoom], now: float
    ) -> int | None:
        """Return the shard that a step's job moves to, and count the job as taking room there.

        Args:
            step: The step that waits for room.
            own: Room of this hall.
            halls: Room of the other halls, by shard.
            now: Steady time.
        """
        job = step.run.job
        steps = job.spec.steps
        capable = [s for s in halls if all(self._can_run_all(s, other, job) for other in steps)]
        capable.sort(key=lambda shard: -halls[shard].free_cpu)
        if any(other.best_effort for other in steps):
            return self._best_effort(job, own, halls, capable)
        shard = self._with_room_for_all(step, halls, capable, now)
        if shard is None and self._takes_a_part(step, now):
            shard = self._with_room_for_some(step, halls, now)
        if shard is None and self._core.evacuation and not job.spec.standing:
            shard = self._with_shortest_queue(job, halls)
        return shard

    def _best_effort(
        self, job: ShardJob, own: HallRoom, halls: dict[int, HallRoom], capable: list[int]
    ) -> int | None:
        """Return a hall with less best-effort work.

        Any hall will do for a job in an evacuated hall, the one with the least such work first.
        """
        milli_cpu = _milli_cpu(_widest(job))
        if self._core.evacuation:
            capable.sort(key=lambda shard: halls[shard].best_effort_load)
        limit = own.best_effort_load - MIN_LOAD_DIFFERENCE
        for shard in capable:
            hall = halls[shard]
            if self._core.evacuation or hall.load_with(milli_cpu) <= limit:
                hall.add_best_effort(milli_cpu)
                return shard
        return None

    def _with_room_for_all(
        self, step: StepRun, halls: dict[int, HallRoom], capable: list[int], now: float
    ) -> int | None:
        """Return a hall that has room for the job's widest step now, one without a queue first."""
        job = step.run.job
        widest = _widest(job)
        milli_cpu = _milli_cpu(widest)
        needs = {spec: _need_of_job(job, spec, now) for spec in job.spec.steps}
        for shard in sorted(capable, key=lambda shard: halls[shard].queued_cpu > 0):
            hall = halls[shard]
            if hall.queued_cpu and _waited_s(step, now) < QUEUE_PRECEDENCE_S:
                break
            if hall.free_beside(needs[widest]) < milli_cpu:
                continue
            if all(hall.slots(need) >= _min_slots(spec) for spec, need in needs.items()):
                hall.take(needs[widest], widest.count)
                return shard
        return None

    def _takes_a_part(self, step: StepRun, now: float) -> bool:
        """Return whether room for some tasks of a step is enough.

        Standing tasks need it less: they are delegated one by one.
        """
        if step.spec.standing and not step.spec.gang:
            return False
        return bool(self._core.evacuation) or _waited_s(step, now) >= WHOLE_STEP_WAIT_S

    def _with_room_for_some(
        self, step: StepRun, halls: dict[int, HallRoom], now: float
    ) -> int | None:
        """Return the hall with room now for the most tasks of a step, for a gang all of them.

        Among equals, the one with the shortest queue.
        """
        job = step.run.job
        need = _need_of_job(job, step.spec, now)
        slots = {shard: halls[shard].slots(need) for shard in self._capable_in_parts(job, halls)}

        def preference(shard: int) -> tuple[int, int]:
            return min(slots[shard], step.spec.count), -halls[shard].queued_cpu

        best = max(slots, key=preference, default=None)
        if best is None or slots[best] < _min_slots(step.spec):
            return None
        halls[best].take(need, step.spec.count)
        return best

    def _with_shortest_queue(self, job: ShardJob, halls: dict[int, HallRoom]) -> int | None:
        """Return the hall with the shortest queue, for a job that must leave this hall."""
        capable = self._capable_in_parts(job, halls)
        shard = min(capable, key=lambda shard: halls[shard].queued_cpu, default=None)
        if shard is not None:
            halls[shard].queue(_milli_cpu(_widest(job)))
        return shard

    def _capable_in_parts(self, job: ShardJob, halls: dict[int, HallRoom]) -> list[int]:
        """Return the halls that could run each step if they were empty, but for a gang in parts."""
        return [s for s in halls if all(self._can_run(s, step, job) for step in job.spec.steps)]

    def _can_run(self, shard: int, step: StepSpec, job: ShardJob) -> bool:
        if step.gang:
            return self._can_run_all(shard, step, job)
        return self._count_capable(shard, step, job.service) > 0

    def _can_run_all(self, shard: int, step: StepSpec, job: ShardJob) -> bool:
        capable = self._count_capable(shard, step, job.service)
        return capable * (step.max_per_executor or step.count) >= step.count


def _widest(job: ShardJob) -> StepSpec:
    """Return the step of a job whose tasks together take the most cores."""
    return max(job.spec.steps, key=_milli_cpu)


def _milli_cpu(step: StepSpec) -> int:
    """Return the thousandths of a core that all tasks of a step take together."""
    return step.count * step.demand.milli_cpu


def _need_of_job(job: ShardJob, step: StepSpec, now: float) -> TaskNeed:
    """Return the need of the tasks of a step of a job that has not begun."""
    waiting = (task for run in job.runs.values() for task in run.tasks() if task.pending)
    use_headroom = any(may_use_headroom(task, now) for task in waiting)
    return TaskNeed.of(step, job.service, use_headroom=use_headroom)


def _waited_s(step: StepRun, now: float) -> float:
    """Return for how long a task of a step has been waiting for a run, in seconds."""
    return max(now - task.waiting_since for task in step.tasks if task.pending)


def _min_slots(step: StepSpec) -> int:
    """Return for how many tasks of a step there must be capacity, as a job moves only once."""
    return step.count if step.gang else 1
