"""What one plan sees of its shard."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.planning._blocked import held_cores
from linkspan.shard.planning._free_room import FreeRoom
from linkspan.shard.planning._step_scores import StepScores
from linkspan.shard.planning._trials import Trials
from linkspan.shard.planning.placement import StepPlacement

if TYPE_CHECKING:
    from linkspan.shard.colocation._plan_rooms import PlanRooms
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning.placement import TaskKind
    from linkspan.shard.step_run import StepRun


@dataclass(slots=True)
class PlanView:
    """State of a shard at the time of a plan.

    Attributes:
        core: The shard's state.
        rooms: What standing tasks bear beside them.
        now: Steady time of the plan.
    """

    core: ShardCore
    rooms: PlanRooms
    now: float
    _usable: list[ExecutorState] | None = None
    _free: FreeRoom | None = None
    _full: set[TaskKind] = field(default_factory=set)

    def usable(self) -> list[ExecutorState]:
        """Return the executors that may get new work; no order of a plan changes them."""
        if self._usable is None:
            executors = self.core.executors.values()
            usable = [e for e in executors if e.clock and self.core.takes_work(e, self.now)]
            reserved = Trials(self.core, len(usable), self.now).reserved()
            self._usable = [e for e in usable if e.executor_id not in reserved]
        return self._usable

    def reserve(self, executor: ExecutorState) -> None:
        """Let no other work of this plan go to an executor."""
        if executor in self.usable():
            self.usable().remove(executor)
        self.free().drop(executor)

    def free(self) -> FreeRoom:
        """Return the room of the executors that may get new work.

        It follows what steps are placed that choose among all of them: asked for first after the
        moves of the plan, which place nothing, it is done with before its copies.
        """
        if self._free is None:
            self._free = FreeRoom(self.usable(), self.rooms)
        return self._free

    def trials(self) -> Trials:
        """Return what keeps suspects of crashes apart."""
        return Trials(self.core, len(self.usable()), self.now)

    def held_cores(self) -> dict[str, int]:
        """Return the hall's cores by what holds them."""
        return held_cores(self.usable())

    def placement(
        self, step: StepRun, executors: list[ExecutorState] | None = None
    ) -> StepPlacement:
        """Return what chooses for a step among some executors, or all that may get new work."""
        core = self.core
        scores = StepScores(step, core.health, core.interference, self.rooms, self.now)
        if executors is None:
            return StepPlacement(
                step, self.usable(), scores, self.rooms, self.now, self._full, self.free()
            )
        return StepPlacement(step, executors, scores, self.rooms, self.now)
