"""Moves slowed best-effort runs to executors where they interfere less."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.attempt import NEVER
from linkspan.shard.colocation.pacing import MEASUREMENT_PERIOD_S, MOVE_BELOW_PACE_PERCENT

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning._plan_view import PlanView

MIN_REMAINING_WORK_S = 1.5
"""Minimum of remaining work for which an interfering best-effort run is moved: a move costs about a
second of work."""

MAX_INTERFERENCE_RATIO = 0.4
"""Limits the interference on the new executor, as a share of the interference on the present
one."""

SEARCH_INTERVAL_S = MEASUREMENT_PERIOD_S
"""Time between two searches for the same run while its pace stays the same: what another executor
tolerates changes with its measurements."""

MAX_SEARCHES_PER_PLAN = 16
"""Limits the searches of one plan. With most of a hall's runs slowed, starts wait for the plan; a
run that is looked at a few plans later loses little."""

MAX_EXAMINED_PER_PLAN = 1_000
"""Limits the executors that these searches examine, in halls with more than sixty."""


class _SlowedRun(NamedTuple):
    """A run with a reduced pace that may be moved.

    Attributes:
        searched_at: Steady time of the last search for it.
        attempt: The run.
        executor: Its executor.
    """

    searched_at: float
    attempt: Attempt
    executor: ExecutorState


class InterferenceMoves:
    """Stops slowed best-effort runs that continue where they interfere less.

    The search for a run has another result only after its pace or the measurements of an executor
    have changed. It is therefore not made in each plan: once after each change of pace, and at an
    interval. The runs whose last search is the longest ago come first.
    """

    def __init__(self) -> None:
        self._searched_at: dict[Attempt, float] = {}

    def __repr__(self) -> str:
        return f"InterferenceMoves({len(self._searched_at)} runs)"

    def add_orders(self, view: PlanView) -> None:
        """Add the stops that are due now.

        Args:
            view: The plan's view of the shard.
        """
        slowed = [
            _SlowedRun(self._searched_at.get(attempt, NEVER), attempt, executor)
            for executor in view.core.executors.values()
            for attempt in executor.paced_below(MOVE_BELOW_PACE_PERCENT)
        ]
        self._searched_at = {r.attempt: r.searched_at for r in slowed if r.searched_at != NEVER}
        due = [r for r in slowed if _is_due(r, view.now) and _is_movable(r.attempt)]
        if not due:
            return
        limit = min(MAX_EXAMINED_PER_PLAN // max(len(view.usable()), 1) + 1, MAX_SEARCHES_PER_PLAN)
        if len(due) > limit:
            due.sort(key=lambda run: run.searched_at)
        for run in due[:limit]:
            self._searched_at[run.attempt] = view.now
            if _interferes_less_elsewhere(run, view):
                view.core.stop(run.attempt, view.now, reason="interferes with standing tasks here")


def _is_due(run: _SlowedRun, now: float) -> bool:
    return run.attempt.paced_at > run.searched_at or now - run.searched_at >= SEARCH_INTERVAL_S


def _is_movable(attempt: Attempt) -> bool:
    """Whether a run keeps its work when it is moved, and has enough of it left."""
    step = attempt.task.step
    spec = step.spec
    remaining_work_s = spec.estimate_s * (1 - attempt.progress / 100)
    if not spec.checkpoints or spec.gang or remaining_work_s < MIN_REMAINING_WORK_S:
        return False
    # The policy may refuse a ticket for the other executor; the task would then wait.
    return not step.run.job.requires_ticket


def _interferes_less_elsewhere(run: _SlowedRun, view: PlanView) -> bool:
    step = run.attempt.task.step
    interference, image, cpu = view.core.interference, step.spec.image, step.spec.demand.milli_cpu
    present = interference.worst_added(run.executor, image, cpu)
    if not present:
        return False
    others = [e for e in view.usable() if e is not run.executor]
    best = view.placement(step, others).choose(run.attempt.task)
    if best is None:
        return False
    return interference.worst_added(best, image, cpu) < MAX_INTERFERENCE_RATIO * present
