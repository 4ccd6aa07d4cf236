"""Scores executors by how well they suit a step's tasks."""

from __future__ import annotations

from dataclasses import dataclass
from math import log2
from typing import TYPE_CHECKING

from linkspan.shard.reports.executor_speeds import ORDINARY

if TYPE_CHECKING:
    from linkspan.shard.colocation._best_effort_capacity import BestEffortCapacity
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.reports.health import ExecutorHealth
    from linkspan.shard.step_run import StepRun

SLOWDOWN_WEIGHT = 2.0
"""Added for each doubling of a run's duration on a slow executor: above any difference in load."""

REMOTE_DATA_PENALTY = 1.0
"""Added for an executor away from the step's data: above any difference in load, below slowness."""

PROTECTED_PROBE_AFTER_S = 1.0
"""Time without a run to judge a slow executor by after which one may be started there that loses
little: one that saves checkpoints, or that a copy can overtake."""

PROBE_AFTER_S = 2.0
"""Time after which any finite task may be started there, one at a time: an executor that has
recovered is idle for no longer."""

STANDING_LOAD_WEIGHT = 0.3
"""Weight of an executor's load for standing tasks: load decides only between executors with similar
colocated tasks."""

OTHER_STEP_PENALTY = 0.5
"""Weight of the share of an executor's cores that standing tasks of other steps hold. Tasks of one
step share their callers, so their loads rise and fall together, and best-effort work can use the
cores that low load leaves. Tasks of several steps seldom have low load at the same time."""

OTHER_IMAGE_PENALTY = 0.5
"""Additional weight of standing tasks with another image. Best-effort work interferes with some
images and not with others, so an executor with one image can take more kinds of best-effort
work."""

NEW_IMAGE_PENALTY = 0.3
"""Added for an executor without standing tasks of the image. A new image takes the emptiest
executor, further tasks of it fill the executors that already run it."""

MAX_STEP_SHARE = 0.5
"""Limits the share of a standing step on one executor while others have capacity: a crash must
leave the service the other half."""

OVER_STEP_SHARE_PENALTY = 2.0
"""Added above that share: more than any difference in load."""

HEADROOM_PENALTY = 1.5
"""Added for a standing task that would take a part of the headroom for short ones: more than any
difference in load and colocated tasks."""

INTERFERENCE_WEIGHT = 3.0
"""Weight of the pressure that a best-effort task adds to a standing task on the same executor."""

REDUCED_PACE_WEIGHT = 2.0
"""Weight of the share of full speed that a best-effort task would have to give up: above any
difference in load."""

REFUSAL_PENALTY = 100.0
"""Added for an executor that recently refused such a task for lack of capacity: above all others
together, as the start would probably be refused again."""


@dataclass(frozen=True, slots=True)
class StepScores:
    """Scores of executors for the tasks of one step, the best lowest.

    Attributes:
        step: The step.
        health: Health of the executors.
        best_effort_capacity: Pressure that standing tasks tolerate from best-effort ones.
        now: Steady time.
    """

    step: StepRun
    health: ExecutorHealth
    best_effort_capacity: BestEffortCapacity
    now: float

    def score(self, executor: ExecutorState, *, placed: int, at_full_speed: bool = False) -> float:
        """Return an executor's score for one more task of the step; lower is better.

        Args:
            executor: The executor.
            placed: Number of the step's tasks there; used for standing tasks only.
            at_full_speed: Whether a best-effort task is taken to run at full speed there. The
                pressure that standing tasks tolerate is then not computed, which costs more than
                all the rest. Elsewhere the score would be higher.
        """
        spec = self.step.spec
        capacity = max(executor.record.capacity.milli_cpu, 1)
        load = (executor.reserved_cpu + executor.best_effort_cpu + spec.demand.milli_cpu) / capacity
        score = STANDING_LOAD_WEIGHT * load if spec.standing else load
        if spec.data_rack and spec.data_rack not in executor.record.labels:
            score += REMOTE_DATA_PENALTY
        score += self._slowness_score(executor)
        if executor.refusals.concern(spec, self.now):
            score += REFUSAL_PENALTY
        if spec.standing:
            score += self._colocation_score(executor, capacity)
            if placed + 1 > max(spec.count * MAX_STEP_SHARE, 1):
                score += OVER_STEP_SHARE_PENALTY
            if spec.demand.milli_cpu + executor.headroom.milli_cpu > executor.free_cpu:
                score += HEADROOM_PENALTY
        if spec.best_effort:
            added = self.best_effort_capacity.worst_added(
                executor, spec.image, spec.demand.milli_cpu
            )
            score += INTERFERENCE_WEIGHT * added
            if not at_full_speed:
                share = self.best_effort_capacity.share(executor, self.step)
                score += REDUCED_PACE_WEIGHT * (1.0 - share)
        return score

    def _slowness_score(self, executor: ExecutorState) -> float:
        """Return the part of the score for the longer duration on a slow executor.

        It is 0 for a task that may show whether the executor has recovered.
        """
        slowdown = self.health.speeds.slowdown(executor.executor_id)
        if slowdown <= ORDINARY or self._may_probe(executor):
            return 0.0
        return SLOWDOWN_WEIGHT * log2(slowdown)

    def _may_probe(self, executor: ExecutorState) -> bool:
        spec = self.step.spec
        if spec.standing or spec.gang:
            return False
        after_s = PROTECTED_PROBE_AFTER_S if spec.checkpoints or spec.speculative else PROBE_AFTER_S
        if self.health.speeds.unjudged_s(executor.executor_id, self.now) < after_s:
            return False
        return all(attempt.task.step.spec.standing for attempt in executor.attempts.values())

    def _colocation_score(self, executor: ExecutorState, capacity: int) -> float:
        """Return the part of the score that stems from colocated standing tasks."""
        other_step_cpu = other_image_cpu = 0
        same_image = False
        for attempt in executor.attempts.values():
            other = attempt.task.step
            if not other.spec.standing or other is self.step:
                same_image = same_image or other is self.step
                continue
            other_step_cpu += other.spec.demand.milli_cpu
            if other.spec.image == self.step.spec.image:
                same_image = True
            else:
                other_image_cpu += other.spec.demand.milli_cpu
        score = 0.0 if same_image else NEW_IMAGE_PENALTY
        score += OTHER_STEP_PENALTY * other_step_cpu / capacity
        return score + OTHER_IMAGE_PENALTY * other_image_cpu / capacity
