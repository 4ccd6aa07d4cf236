"""Chooses executors for a step's tasks."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.attempt import FULL_PACE
from linkspan.shard.colocation._best_effort_capacity import NO_UNUSED_CPU
from linkspan.shard.colocation.pacing import MIN_PACE_PERCENT
from linkspan.shard.planning._free_capacity import ANY_MILLI_CPU, ExecutorGroup
from linkspan.shard.planning._second_runs import is_last_run
from linkspan.shard.planning._task_kind import has_kind, kind_of
from linkspan.shard.planning.set_asides import SetAsides
from linkspan.shard.planning.task_need import TaskNeed, may_use_headroom

if TYPE_CHECKING:
    from collections.abc import Collection

    from linkspan.shard.colocation._best_effort_capacity import BestEffortCapacity
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning._free_capacity import FreeCapacity
    from linkspan.shard.planning._step_scores import StepScores
    from linkspan.shard.planning._task_kind import TaskKind, UnplaceableKinds
    from linkspan.shard.planning.task_need import Obstacle, Room
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

MIN_BEST_EFFORT_SHARE = 0.6
"""Minimum share of its demand that a best-effort task must find unused. Below it tasks only slow
each other down."""

MIN_START_SHARE = 1.0
"""Minimum share of full speed at which a best-effort task is started. Fewer tasks at full speed end
in time more often than more tasks at a part of it: batch jobs of a calm day earned 0.35 with a
third of full speed and 0.37 with all of it."""

FAILED_EXECUTOR_AVOIDANCE_S = 0.4
"""Time for which a failed task waits for an executor other than the one it failed on: about the
duration of a short task. One task in fifty fails by its own fault wherever it runs, and an executor
that fails all tasks is quarantined after two jobs."""

LAST_RUN_AVOIDANCE_S = 1.0
"""The same for a task whose job fails with its next failure: by then two jobs have failed on an
executor that fails all tasks, and it is quarantined."""

NO_CAPACITY_SCORE = float("inf")
"""Score of an executor without capacity."""


@dataclass
class StepPlacement:
    """Chooses executors for the pending tasks of one step.

    Args:
        step: The step.
        executors: Executors that may get new work and that run the step's tasks.
        scores: Scores of the executors for the step.
        best_effort_capacity: Pressure that standing tasks tolerate from best-effort ones.
        now: Steady time.
        unplaceable: Kinds of tasks that no usable executor has capacity for; ``None`` if
            ``executors`` are only some of the usable ones.
        free_capacity: Free capacity of the usable executors, or more than that; ``None`` if it is
            unknown.
        set_asides: What is set aside of executors for waiting tasks.
        less_urgent: Steps that are known to be less urgent than this one.
    """

    step: StepRun
    executors: list[ExecutorState]
    scores: StepScores
    best_effort_capacity: BestEffortCapacity
    now: float
    unplaceable: UnplaceableKinds | None = None
    free_capacity: FreeCapacity | None = None
    set_asides: SetAsides = field(default_factory=SetAsides)
    less_urgent: Collection[StepRun] = ()
    _on_executor: Counter[str] = field(default_factory=Counter)
    _needs: dict[bool, TaskNeed] = field(default_factory=dict)
    _scores: dict[tuple[bool, bool], dict[str, float]] = field(default_factory=dict)
    # Of best-effort tasks: scores by executor, and whether it takes one at full speed.
    _scores_at_full_speed: dict[str, float] = field(default_factory=dict)
    _takes_at_full_speed: dict[str, bool] = field(default_factory=dict)

    def __post_init__(self) -> None:
        spec = self.step.spec
        service = self.step.run.job.service
        self._needs = {
            use_headroom: TaskNeed.of(spec, service, use_headroom=use_headroom)
            for use_headroom in (False, True)
        }
        if not (spec.max_per_executor or spec.standing):
            return
        for task in self.step.tasks:
            for attempt in task.attempts:
                self._on_executor[attempt.executor_id] += 1

    def choose(self, task: Task, *, starved: bool = False) -> ExecutorState | None:
        """Return the best executor for a task, ``None`` if none has capacity.

        Args:
            task: The task.
            starved: Whether nothing of the task's job has been running for long. The task then goes
                where it adds the least pressure, and the pacer limits its interference there.
        """
        avoid = task.avoided_executors
        use_headroom = self.may_use_headroom(task)
        kind = self._kind(use_headroom, starved)
        candidates: list[ExecutorState]
        if kind is not None and self.unplaceable is not None and kind in self.unplaceable:
            # Another step of this kind may not use what is set aside for this one.
            candidates = self._set_aside_for_step()
        else:
            candidates = self._candidates(starved)
        if self.step.spec.best_effort and not starved:
            best = self._best_at_full_speed(candidates, avoid)
        else:
            best = self._best(candidates, avoid, use_headroom, starved)
        if best is None and (not avoid or not self._any_may_have_capacity(candidates, starved)):
            self._note_unplaceable(kind)
        return best

    def _best(
        self,
        candidates: list[ExecutorState],
        avoid: Collection[str],
        use_headroom: bool,
        starved: bool,
    ) -> ExecutorState | None:
        # Tasks of a step are identical, and a placement changes only its own executor. So each
        # executor is scored once per step, and again after each placement on it.
        best: ExecutorState | None = None
        best_score = NO_CAPACITY_SCORE
        scores = self._scores.setdefault((use_headroom, starved), {})
        for executor in candidates:
            executor_id = executor.record.executor_id
            score = scores.get(executor_id)
            if score is None:
                score = scores[executor_id] = self._score(executor, use_headroom, starved)
            if score < best_score and executor_id not in avoid:
                best, best_score = executor, score
        return best

    def _best_at_full_speed(
        self, candidates: list[ExecutorState], avoid: Collection[str]
    ) -> ExecutorState | None:
        """Return the best executor that runs a best-effort task at full speed.

        Whether one does takes most of the time of a choice, so executors are checked in the order
        of their scores, until one does.
        """
        scores = self._scores_at_full_speed
        for executor in candidates:
            executor_id = executor.record.executor_id
            if executor_id not in scores:
                placed = self._on_executor[executor_id]
                scores[executor_id] = self.scores.score(executor, placed=placed, at_full_speed=True)
        possible = [
            e
            for e in candidates
            if self._takes_at_full_speed.get(e.record.executor_id, True)
            and e.record.executor_id not in avoid
        ]
        possible.sort(key=lambda e: scores[e.record.executor_id])
        return next((e for e in possible if self._takes_one_at_full_speed(e)), None)

    def _takes_one_at_full_speed(self, executor: ExecutorState) -> bool:
        executor_id = executor.record.executor_id
        takes_one = self._takes_at_full_speed.get(executor_id)
        if takes_one is None:
            takes_one = self._may_have_capacity(executor, starved=False)
            takes_one = takes_one and self.reason_against(executor) is None
            self._takes_at_full_speed[executor_id] = takes_one
        return takes_one

    def _may_have_capacity(self, executor: ExecutorState, *, starved: bool) -> bool:
        """Return whether an executor may run a task at the pace that it starts at."""
        if starved or not self.step.spec.best_effort:
            return True
        return self.best_effort_capacity.may_run_at_full_speed(executor, self.step)

    def _any_may_have_capacity(self, executors: list[ExecutorState], starved: bool) -> bool:
        return any(self._may_have_capacity(e, starved=starved) for e in executors)

    def _note_unplaceable(self, kind: TaskKind | None) -> None:
        if kind is not None and self.unplaceable is not None and kind not in self.unplaceable:
            self.unplaceable.add(kind, self.step)

    def has_room(self, *, use_headroom: bool, starved: bool) -> bool:
        """Return whether an executor has capacity for a task of the step.

        Args:
            use_headroom: Whether a standing task may use the headroom for short ones.
            starved: Whether pressure on standing tasks is ignored.
        """
        return any(
            self._may_have_capacity(e, starved=starved)
            and self.reason_against(e, use_headroom=use_headroom, starved=starved) is None
            for e in self._candidates(starved)
        )

    def _set_aside_for_step(self) -> list[ExecutorState]:
        """Return the executors of which resources are set aside for the step."""
        mine = {s.executor_id for s in self.set_asides.of(self.step)}
        return [e for e in self.executors if e.executor_id in mine] if mine else []

    def _candidates(self, starved: bool) -> list[ExecutorState]:
        """Return the executors with the memory and cores for a task; no other has capacity."""
        job = self.step.run.job
        if self.free_capacity is None or job.requires_ticket:
            return self.executors
        spec = self.step.spec
        milli_cpu: float = spec.demand.milli_cpu
        if spec.best_effort:
            milli_cpu = ANY_MILLI_CPU if starved else milli_cpu * MIN_BEST_EFFORT_SHARE
        group = ExecutorGroup(job.service, spec.label, spec.best_effort)
        found = self.free_capacity.with_capacity(group, spec.demand, milli_cpu)
        if not found or self.unplaceable is not None:
            # The placement chooses among all usable executors.
            return found
        given = {executor.executor_id for executor in self.executors}
        return [executor for executor in found if executor.executor_id in given]

    def clear_avoided(self, task: Task) -> bool:
        """Clear the executors that a task avoids if no other had capacity for a while.

        Returns:
            Whether there were any to clear.
        """
        all_avoided = all(e.executor_id in task.avoided_executors for e in self.executors)
        waited = self.now - task.waiting_since
        limit_s = LAST_RUN_AVOIDANCE_S if is_last_run(task) else FAILED_EXECUTOR_AVOIDANCE_S
        if not task.avoided_executors or not (all_avoided or waited >= limit_s):
            return False
        task.avoided_executors.clear()
        return True

    def fitting_executors(self, task: Task) -> list[ExecutorState]:
        """Return the executors that have capacity for a task and that the task does not avoid."""
        use_headroom = self.may_use_headroom(task)
        return [
            e
            for e in self.executors
            if e.executor_id not in task.avoided_executors
            and self.reason_against(e, use_headroom=use_headroom) is None
        ]

    def _kind(self, use_headroom: bool, starved: bool) -> TaskKind | None:
        """Return the kind of the next task, ``None`` if it does not decide where the task fits."""
        if not has_kind(self.step):
            return None
        return kind_of(
            self.step,
            self.best_effort_capacity.timeliness_if_best_effort(self.step),
            use_headroom=use_headroom,
            starved=starved,
        )

    def on_placed(self, executor: ExecutorState) -> None:
        """Update the state after a task was placed on an executor."""
        self._on_executor[executor.executor_id] += 1
        self._update(executor)

    def on_unplaced(self, executor: ExecutorState) -> None:
        """Update the state after a placement on an executor was undone."""
        self._on_executor[executor.executor_id] -= 1
        # Without the update, later steps would see the capacity as taken.
        self._update(executor)

    def _update(self, executor: ExecutorState) -> None:
        self.best_effort_capacity.changed(executor, self.step)
        if self.free_capacity is not None:
            self.free_capacity.update(executor)
        for scores in self._scores.values():
            scores.pop(executor.executor_id, None)
        self._scores_at_full_speed.pop(executor.executor_id, None)
        self._takes_at_full_speed.pop(executor.executor_id, None)

    def _score(self, executor: ExecutorState, use_headroom: bool, starved: bool) -> float:
        if self.reason_against(executor, use_headroom=use_headroom, starved=starved) is not None:
            return NO_CAPACITY_SCORE
        return self.score(executor)

    def pace(self, executor: ExecutorState) -> int:
        """Return the pace in percent at which a task of the step starts on an executor."""
        if not self.step.spec.best_effort:
            return FULL_PACE
        share = self.best_effort_capacity.share(executor, self.step)
        return int(100 * share) if share >= MIN_PACE_PERCENT / 100 else 0

    def reason_against(
        self, executor: ExecutorState, *, use_headroom: bool = False, starved: bool = False
    ) -> str | None:
        """Return why an executor cannot take a task, in a few words; ``None`` if it can.

        Args:
            executor: The executor.
            use_headroom: Whether a standing task may use the headroom for short ones.
            starved: Whether pressure on standing tasks is ignored.
        """
        placed = self._on_executor[executor.executor_id]
        set_aside = self.set_asides.held_against(self.step, executor.executor_id, self.less_urgent)
        obstacle = self._needs[use_headroom].obstacle(executor, placed=placed, set_aside=set_aside)
        if obstacle is not None:
            return obstacle.value
        if self.step.spec.best_effort:
            return self._reason_against_best_effort(executor, starved=starved)
        return None

    def reasons_against(self, task: Task) -> Counter[str]:
        """Return how many executors cannot take a task, by the reason.

        ``isolation`` counts executors with capacity where a task with a crash history has to wait.
        """
        use_headroom = self.may_use_headroom(task)
        reasons: Counter[str] = Counter()
        for executor in self.executors:
            reason = self.reason_against(executor, use_headroom=use_headroom)
            if reason is None:
                avoided = executor.executor_id in task.avoided_executors
                reason = "avoided" if avoided else "isolation"
            reasons[reason] += 1
        return reasons

    def score(self, executor: ExecutorState) -> float:
        """Return the score of an executor for one more task, whether or not it has capacity."""
        return self.scores.score(executor, placed=self._on_executor[executor.executor_id])

    def obstacle_in(
        self, executor: ExecutorState, room: Room, task: Task, *, more_placed: int
    ) -> Obstacle | None:
        """Return why a task would not fit on an executor whose free resources have changed.

        Args:
            executor: The executor.
            room: Its free resources after the change.
            task: The task.
            more_placed: Number of further tasks of the step that are there then.
        """
        placed = self._on_executor[executor.executor_id] + more_placed
        return self._needs[self.may_use_headroom(task)].obstacle(room, placed=placed)

    def may_use_headroom(self, task: Task) -> bool:
        """Whether a standing task may use the headroom for short ones."""
        return may_use_headroom(task, self.now)

    def _reason_against_best_effort(self, executor: ExecutorState, *, starved: bool) -> str | None:
        """Return why an executor cannot take one more best-effort task; ``None`` if it can."""
        unused = self.best_effort_capacity.unused_cpu(executor)
        if unused == NO_UNUSED_CPU:
            return "latency over target"
        if starved:
            return None
        spec = self.step.spec
        if unused < spec.demand.milli_cpu * MIN_BEST_EFFORT_SHARE:
            return "unused cores"
        return (
            None
            if self.best_effort_capacity.share(executor, self.step) >= MIN_START_SHARE
            else "pressure"
        )
