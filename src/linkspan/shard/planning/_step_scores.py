"""Which executor takes a step's task best."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.colocation._plan_rooms import PlanRooms
    from linkspan.shard.colocation.interference import InterferenceEstimator
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.reports.health import ExecutorHealth
    from linkspan.shard.step_run import StepRun

SLOW_PENALTY = 2.0
"""Added to the score of an executor that was found slow: above any load."""

FAR_PENALTY = 1.0
"""Added away from the step's data: above any difference in load, below slowness."""

STANDING_LOAD_WEIGHT = 0.3
"""Weight of an executor's load for standing tasks: it decides only between executors
whose neighbours are alike."""

OTHER_STEP_PENALTY = 0.5
"""Weight of the part of an executor that standing tasks of other steps hold. Tasks of one
step share their callers, so their loads rise and fall together, and best-effort work
beside them may use what the loads leave; tasks of several steps seldom leave any."""

OTHER_IMAGE_PENALTY = 0.5
"""Added weight of those that have another image, too. Best-effort work disturbs some images
and leaves others alone, so an executor with one image leaves more kinds of it a place."""

EMPTY_PENALTY = 0.3
"""Added to an executor with no standing task of the image: a new image takes the
emptiest one, and a known one fills those that it has."""

MAX_OF_STEP = 0.5
"""Part of a standing step that one executor takes while others have room: a crash is to
leave the service the other half."""

CROWDED_PENALTY = 2.0
"""Added beyond that part: above any load."""

DISTURBANCE_WEIGHT = 3.0
"""Weight of the pressure that a best-effort task adds to a standing one beside it."""

SLOWED_PENALTY = 2.0
"""Weight of the part of full speed that a best-effort task would lack: above any load."""


@dataclass(frozen=True, slots=True)
class StepScores:
    """Scores of executors for the tasks of one step, the best lowest.

    Attributes:
        step: The step.
        health: What is known of executors.
        colocation: What is known of pairs of images.
        rooms: What standing tasks bear beside them.
        now: Steady time.
    """

    step: StepRun
    health: ExecutorHealth
    colocation: InterferenceEstimator
    rooms: PlanRooms
    now: float

    def of(self, executor: ExecutorState, *, placed: int) -> float:
        """Return how little an executor suits one more task of the step.

        Args:
            executor: The executor.
            placed: Tasks of the step that are there; asked for standing tasks only.
        """
        spec = self.step.spec
        capacity = max(executor.record.capacity.milli_cpu, 1)
        load = (executor.reserved_cpu + executor.best_effort_cpu + spec.demand.milli_cpu) / capacity
        score = STANDING_LOAD_WEIGHT * load if spec.standing else load
        if spec.data_rack and spec.data_rack not in executor.record.labels:
            score += FAR_PENALTY
        if self.health.slow(executor.executor_id, self.now):
            score += SLOW_PENALTY
        if spec.standing:
            score += self._neighbour_score(executor, capacity)
            if placed + 1 > max(spec.count * MAX_OF_STEP, 1):
                score += CROWDED_PENALTY
        if spec.best_effort:
            added = self.colocation.worst_added(executor, spec.image, spec.demand.milli_cpu)
            score += DISTURBANCE_WEIGHT * added
            score += SLOWED_PENALTY * (1.0 - self.rooms.share(executor, self.step))
        return score

    def _neighbour_score(self, executor: ExecutorState, capacity: int) -> float:
        """Return how little a standing task suits the standing tasks of an executor."""
        other_steps = other_images = 0
        same_image = False
        for attempt in executor.attempts.values():
            other = attempt.task.step
            if not other.spec.standing or other is self.step:
                same_image = same_image or other is self.step
                continue
            other_steps += other.spec.demand.milli_cpu
            if other.spec.image == self.step.spec.image:
                same_image = True
            else:
                other_images += other.spec.demand.milli_cpu
        score = 0.0 if same_image else EMPTY_PENALTY
        score += OTHER_STEP_PENALTY * other_steps / capacity
        return score + OTHER_IMAGE_PENALTY * other_images / capacity
