"""Slows down best-effort runs where runs with precedence are started."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.attempt import Phase
from linkspan.shard.colocation._best_effort_capacity import remaining_cpu
from linkspan.shard.messages import StartOrder
from linkspan.shard.planning._plan_stage import PlanStage
from linkspan.shard.planning._yielding import RankedRun, freed, yields

if TYPE_CHECKING:
    from linkspan.shard.executor import ExecutorState


class GivingWay(PlanStage):
    """Orders the paces of the runs that give way to a plan's starts.

    Looks only at executors to which a best-effort start is about to be sent, so that no run gives
    way unless another one starts there.
    """

    def add_orders(self) -> None:
        """Add the pace orders that are due now."""
        starts = (o.executor_id for o in self._core.orders if isinstance(o, StartOrder))
        for executor_id in dict.fromkeys(starts):
            executor = self._core.executors.get(executor_id)
            if executor and executor.best_effort_cpu:
                self._give_way(executor)

    def _give_way(self, executor: ExecutorState) -> None:
        unused = remaining_cpu(executor)
        if unused >= 0:
            return
        capacity = self._view.best_effort_capacity
        ranked = [
            RankedRun(a, capacity.precedence(a.task.step)) for a in executor.all_best_effort()
        ]
        starting = [r for r in ranked if r.attempt.phase is Phase.STARTING]
        chosen = yields(ranked, starting, unused)
        if not chosen:
            return
        self._core.log(
            Event.RUNS_YIELDED,
            executor=executor.executor_id,
            reason="a run that can be in time, or less late, needs the cores",
            to=[str(r.attempt.task.name) for r in starting],
            runs={str(y.attempt.task.name): [y.attempt.pace, y.pace] for y in chosen},
            milli_cpu=round(sum(freed(y) for y in chosen)),
            shard=self._core.shard,
            token=self._core.token,
        )
        for given in chosen:
            self._core.count("runs_yielded")
            self._core.pace(given.attempt, given.pace, self._now)
            given.attempt.yielded = True
