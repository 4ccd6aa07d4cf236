"""Where a step's tasks go."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.attempt import FULL_PACE
from linkspan.shard.colocation._plan_rooms import NONE_LEFT
from linkspan.shard.colocation.pacing import STOP_BELOW
from linkspan.shard.planning._free_room import ANY_CORES, RoomGroup

if TYPE_CHECKING:
    from linkspan.jobs.spec import Demand
    from linkspan.shard.colocation._plan_rooms import PlanRooms
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning._free_room import FreeRoom
    from linkspan.shard.planning._step_scores import StepScores
    from linkspan.shard.planning.urgency import Timeliness
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

BEST_EFFORT_LEAST_SHARE = 0.6
"""Least part of its demand that a best-effort task is to find left over. Below it
tasks only slow each other down."""

STANDING_HEADROOM = 0.1
"""Part of each executor that standing tasks leave to short ones, which earn four
times as much a core. Short tasks use a twentieth on average and come in bursts."""

HEADROOM_WAIT_S = 3.0
"""Time after which a standing task may use that room, too: it is then worth more at work
than the room is to short tasks."""

MIN_START_SHARE = 1.0
"""Least share of full speed at which a best-effort task is started: fewer tasks at full
speed end in time more often than more at a part of it (trials: batch jobs of a calm day
earned 0.35 with a third of full speed and 0.37 with all of it)."""

AVOID_S = 0.4
"""Time for which a failed task waits for another executor than the one it failed on:
about a short task's length. One in fifty fails by its own fault wherever it runs, and
an executor that fails them all is distrusted after two jobs."""

NO_ROOM = float("inf")
"""Score of an executor without room."""


class TaskKind(NamedTuple):
    """Tasks that fit on the same executors.

    Attributes:
        service: Service whose executors run them.
        label: Label that they ask for.
        demand: What one of them takes.
        standing: Whether they last.
        beside: Image and hope of best-effort tasks, ``None`` for others.
        fill: Whether a standing one may use the room that is kept for short ones.
        starved: Whether pressure on standing tasks is no reason against it.
    """

    service: str
    label: str
    demand: Demand
    standing: bool
    beside: tuple[str, Timeliness] | None
    fill: bool
    starved: bool


@dataclass
class StepPlacement:
    """Chooses executors for the pending tasks of one step.

    Args:
        step: The step.
        executors: Executors that may get new work.
        scores: How well they suit the step.
        rooms: What standing tasks bear beside them.
        now: Steady time.
        full: Kinds of tasks that no executor of the plan has room for; ``None`` if not
            all of them are to choose from.
        free: Room of the plan's executors; ``None`` if not all of them are to choose from.
    """

    step: StepRun
    executors: list[ExecutorState]
    scores: StepScores
    rooms: PlanRooms
    now: float
    full: set[TaskKind] | None = None
    free: FreeRoom | None = None
    _on_executor: Counter[str] = field(default_factory=Counter)
    _scores: dict[tuple[bool, bool], dict[str, float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        spec = self.step.spec
        service = self.step.run.job.service
        self.executors = [
            e
            for e in self.executors
            if e.record.service == service and (not spec.label or spec.label in e.record.labels)
        ]
        if not (spec.max_per_executor or spec.standing):
            return
        for task in self.step.tasks:
            for attempt in task.attempts:
                self._on_executor[attempt.executor_id] += 1

    def choose(self, task: Task, *, starved: bool = False) -> ExecutorState | None:
        """Return the best executor for a task, ``None`` if none has room.

        Args:
            task: The task.
            starved: Whether its job has had nothing running for long: it then goes
                where it presses least, and the pacer sees to what it disturbs there.
        """
        # A step's tasks are alike, and a placement changes no executor but its own: so each
        # is scored once a step, and once more for each task that is placed there.
        best: ExecutorState | None = None
        best_score = NO_ROOM
        avoid = task.avoided_executors
        fill = self._may_fill(task)
        kind = self._kind(fill, starved)
        if self.full is not None and kind in self.full:
            return None
        scores = self._scores.setdefault((fill, starved), {})
        for executor in self._roomy(starved):
            executor_id = executor.record.executor_id
            score = scores.get(executor_id)
            if score is None:
                score = scores[executor_id] = self._score(executor, fill, starved)
            if score < best_score and executor_id not in avoid:
                best, best_score = executor, score
        if best is None and not avoid and kind and self.full is not None:
            self.full.add(kind)
        return best

    def _roomy(self, starved: bool) -> list[ExecutorState]:
        """Return the executors that may have room for a task: none of the others has."""
        job = self.step.run.job
        if self.free is None or job.requires_ticket:
            return self.executors
        spec = self.step.spec
        cores: float = spec.demand.milli_cpu
        if spec.best_effort:
            cores = ANY_CORES if starved else cores * BEST_EFFORT_LEAST_SHARE
        group = RoomGroup(job.service, spec.label, spec.best_effort)
        return self.free.enough(group, spec.demand, cores)

    def forgive(self, task: Task) -> bool:
        """Let a task use executors again that it failed on, if no other had room for a while."""
        nowhere = all(e.executor_id in task.avoided_executors for e in self.executors)
        waited = self.now - task.ready_since
        if not task.avoided_executors or not (nowhere or waited >= AVOID_S):
            return False
        task.avoided_executors.clear()
        return True

    def fitting(self, task: Task) -> list[ExecutorState]:
        """Return all executors that have room for a task, and on which it did not fail."""
        fill = self._may_fill(task)
        return [
            e
            for e in self.executors
            if e.executor_id not in task.avoided_executors
            and self.reason_against(e, fill=fill) is None
        ]

    def _kind(self, fill: bool, starved: bool) -> TaskKind | None:
        """Return what decides whether an executor has room for the step's next task.

        A plan only takes room away, so a kind that found none finds none in the same plan.
        Members of a gang give theirs back, and spread limits and tickets are a step's own.
        """
        spec = self.step.spec
        if spec.gang or spec.max_per_executor or self.step.run.job.requires_ticket:
            return None
        beside = (spec.image, self.rooms.hope(self.step)) if spec.best_effort else None
        service = self.step.run.job.service
        return TaskKind(service, spec.label, spec.demand, spec.standing, beside, fill, starved)

    def took(self, executor: ExecutorState) -> None:
        """Count a task in that was placed on an executor."""
        self._on_executor[executor.executor_id] += 1
        self._changed(executor)

    def gave_back(self, executor: ExecutorState) -> None:
        """Count a task out that was not to stay on an executor."""
        self._on_executor[executor.executor_id] -= 1
        # Steps behind this one would find its room taken.
        self._changed(executor)

    def _changed(self, executor: ExecutorState) -> None:
        self.rooms.changed(executor)
        if self.free is not None:
            self.free.changed(executor)
        for scores in self._scores.values():
            scores.pop(executor.executor_id, None)

    def _score(self, executor: ExecutorState, fill: bool, starved: bool) -> float:
        if self.reason_against(executor, fill=fill, starved=starved) is not None:
            return NO_ROOM
        return self.scores.of(executor, placed=self._on_executor[executor.executor_id])

    def pace(self, executor: ExecutorState) -> int:
        """Return the pace in percent at which a task of the step is to begin there."""
        if not self.step.spec.best_effort:
            return FULL_PACE
        share = self.rooms.share(executor, self.step)
        return int(100 * share) if share >= STOP_BELOW / 100 else 0

    def reason_against(
        self, executor: ExecutorState, *, fill: bool = False, starved: bool = False
    ) -> str | None:
        """Return why an executor has no room for a task, in a word; ``None`` if it has.

        Args:
            executor: The executor.
            fill: Whether a standing task may use the room that is kept for short ones.
            starved: Whether pressure on standing tasks is no reason against it.
        """
        spec = self.step.spec
        demand = spec.demand
        if demand.memory_mb > executor.free_memory:
            return "memory"
        if demand.gpus > executor.free_gpus:
            return "accelerators"
        most = spec.max_per_executor
        if most and self._on_executor[executor.executor_id] >= most:
            return "spread limit"
        if spec.best_effort:
            return self._against_best_effort(executor, starved=starved)
        if demand.milli_cpu > executor.free_cpu:
            return "cores"
        if spec.standing and not fill:
            kept = STANDING_HEADROOM * executor.record.capacity.milli_cpu
            return "kept for short work" if demand.milli_cpu + kept > executor.free_cpu else None
        return None

    def _may_fill(self, task: Task) -> bool:
        """Whether a standing task may use the room that is kept for short ones."""
        return task.displaced or self.now - task.ready_since >= HEADROOM_WAIT_S

    def _against_best_effort(self, executor: ExecutorState, *, starved: bool) -> str | None:
        """Return why an executor does not bear one more best-effort task, in a word."""
        unused = self.rooms.unused_cpu(executor)
        if unused == NONE_LEFT:
            return "latency over target"
        if starved:
            return None
        spec = self.step.spec
        if unused < spec.demand.milli_cpu * BEST_EFFORT_LEAST_SHARE:
            return "unused cores"
        return None if self.rooms.share(executor, self.step) >= MIN_START_SHARE else "pressure"
