"""Chooses the hall for a job of which nothing was started and that finds no room in its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.planning.task_need import TaskNeed, may_use_headroom

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.core import ShardCore
    from linkspan.shard.handover._hall_room import HallRoom
    from linkspan.shard.handover._other_halls import OtherHalls
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

    def choose(self, step: StepRun, own: HallRoom, halls: OtherHalls, now: float) -> int | None:
        """Return the shard that a step's job moves to, and count the job as taking room there.

        Args:
            step: The step that waits for room.
            own: Room of this hall.
            halls: Room of the other halls.
            now: Steady time.
        """
        job = step.run.job
        if any(spec.best_effort for spec in job.spec.steps):
            return self._best_effort(job, own, halls.rooms)
        need = _need_of_job(job, step.spec, now)
        with_room = halls.with_room_for(need)
        shard = self._with_room_for_all(step, halls.rooms, with_room, now)
        if shard is None and self._takes_a_part(step, now):
            shard = self._with_room_for_some(step, need, halls.rooms, with_room)
            if shard is None and step not in self._core.set_asides.steps:
                # Here nothing can be stopped for it.
                need = need.preempting()
                with_room = halls.with_room_for(need)
                shard = self._with_room_for_some(step, need, halls.rooms, with_room)
        if shard is None and self._core.evacuation and not job.spec.standing:
            shard = self._with_shortest_queue(job, halls.rooms)
        return shard

    def _best_effort(
        self, job: ShardJob, own: HallRoom, halls: Mapping[int, HallRoom]
    ) -> int | None:
        """Return a hall with less best-effort work.

        Any hall will do for a job in an evacuated hall, the one with the least such work first.
        """
        milli_cpu = _milli_cpu(_widest(job))
        limit = own.best_effort_load - MIN_LOAD_DIFFERENCE
        evacuated = bool(self._core.evacuation)

        def preference(shard: int) -> float:
            return halls[shard].best_effort_load if evacuated else -halls[shard].free_cpu

        for shard in sorted(halls, key=preference):
            hall = halls[shard]
            takes_it = evacuated or hall.load_with(milli_cpu) <= limit
            if takes_it and self._can_run_all_steps(shard, job):
                hall.add_best_effort(milli_cpu)
                return shard
        return None

    def _with_room_for_all(
        self, step: StepRun, halls: Mapping[int, HallRoom], with_room: list[int], now: float
    ) -> int | None:
        """Return a hall that has room for the job's widest step now, one without a queue first."""
        job = step.run.job
        widest = _widest(job)
        milli_cpu = _milli_cpu(widest)
        needs = {spec: _need_of_job(job, spec, now) for spec in job.spec.steps} if with_room else {}
        for shard in sorted(with_room, key=lambda shard: halls[shard].queued_cpu > 0):
            hall = halls[shard]
            if hall.queued_cpu and _waited_s(step, now) < QUEUE_PRECEDENCE_S:
                break
            if hall.free_beside(needs[widest]) < milli_cpu:
                continue
            has_room = all(hall.slots(need) >= _min_slots(spec) for spec, need in needs.items())
            if has_room and self._can_run_all_steps(shard, job):
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
        self,
        step: StepRun,
        need: TaskNeed,
        halls: Mapping[int, HallRoom],
        with_room: list[int],
    ) -> int | None:
        """Return the hall with room now for the most tasks of a step, for a gang all of them.

        Among equals, the one with the shortest queue.
        """
        count = step.spec.count
        job = step.run.job

        def preference(shard: int) -> tuple[int, int]:
            return -min(halls[shard].slots(need), count), halls[shard].queued_cpu

        for shard in sorted(with_room, key=preference):
            if halls[shard].slots(need) < _min_slots(step.spec):
                break
            if self._can_run_each_step(shard, job):
                halls[shard].take(need, count)
                return shard
        return None

    def _with_shortest_queue(self, job: ShardJob, halls: Mapping[int, HallRoom]) -> int | None:
        """Return the hall with the shortest queue, for a job that must leave this hall."""
        for shard in sorted(halls, key=lambda shard: halls[shard].queued_cpu):
            if self._can_run_each_step(shard, job):
                halls[shard].queue(_milli_cpu(_widest(job)))
                return shard
        return None

    def _can_run_all_steps(self, shard: int, job: ShardJob) -> bool:
        """Return whether a hall could run each step at once if it were empty."""
        return all(self._can_run_all(shard, step, job) for step in job.spec.steps)

    def _can_run_each_step(self, shard: int, job: ShardJob) -> bool:
        """Return whether a hall could run each step if it were empty, but for a gang in parts."""
        return all(self._can_run(shard, step, job) for step in job.spec.steps)

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
    use_headroom = step.standing and any(may_use_headroom(task, now) for task in waiting)
    return TaskNeed.of(step, job.service, use_headroom=use_headroom)


def _waited_s(step: StepRun, now: float) -> float:
    """Return for how long a task of a step has been waiting for a run, in seconds."""
    return max(now - task.waiting_since for task in step.tasks if task.pending)


def _min_slots(step: StepSpec) -> int:
    """Return for how many tasks of a step there must be capacity, as a job moves only once."""
    return step.count if step.gang else 1
