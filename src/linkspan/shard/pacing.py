"""Best-effort tasks give way where they disturb a standing task beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event

if TYPE_CHECKING:
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState

SLOW_DOWN_AT = 0.8
"""Tail latency over its target from which best-effort neighbours slow down. The
figures are rough and half a second old, so they must give way before the target."""

SPEED_UP_BELOW = 0.55
"""Tail latency over its target below which they speed up again."""

SLOW_DOWN_FACTOR = 0.5
"""Factor on their pace at each figure over the mark: three figures make an eighth."""

STOP_BELOW = 15
"""Pace in percent under which they stand still instead."""

SPEED_UP_STEP = 20
"""Percent that they gain at each figure below the mark."""

FIGURE_S = 0.5
"""Time that a figure covers, in seconds: a change shows fully only after it."""


class Pacer:
    """Sets the pace of best-effort tasks by the tail latency of standing ones.

    Args:
        core: The shard's state.
    """

    def __init__(self, core: ShardCore) -> None:
        self._core = core
        self._changed_at: dict[str, float] = {}
        self._pace: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"Pacer({len(self._pace)} executors)"

    def pace_of(self, executor_id: str) -> int:
        """Return the pace of best-effort tasks on an executor, in percent."""
        return self._pace.get(executor_id, 100)

    def on_report(self, executor: ExecutorState, now: float) -> None:
        """Take in new figures of an executor and set the pace there."""
        neighbours = executor.best_effort()
        pace = self.pace_of(executor.executor_id)
        if neighbours or pace < 100:
            pace = self._next_pace(executor, pace, now)
        for attempt in neighbours:
            if attempt.pace != pace:
                self._core.pace(attempt, pace)

    def _next_pace(self, executor: ExecutorState, pace: int, now: float) -> int:
        worst = _worst_ratio(executor)
        if now - self._changed_at.get(executor.executor_id, float("-inf")) < FIGURE_S:
            return pace
        if worst >= SLOW_DOWN_AT:
            wanted = int(pace * SLOW_DOWN_FACTOR)
            wanted = wanted if wanted >= STOP_BELOW else 0
        elif worst < SPEED_UP_BELOW:
            wanted = min(pace + SPEED_UP_STEP, 100)
        else:
            return pace
        if wanted != pace:
            self._pace[executor.executor_id] = wanted
            self._changed_at[executor.executor_id] = now
            self._core.log(
                Event.PACE_SET,
                executor=executor.executor_id,
                percent=wanted,
                was=pace,
                worst=round(worst, 2),
                best_effort=len(executor.best_effort()),
            )
        return wanted


def _worst_ratio(executor: ExecutorState) -> float:
    ratios = [
        attempt.usage / attempt.task.step.spec.latency_target_ms
        for attempt in executor.standing()
        if attempt.usage is not None
    ]
    return max(ratios, default=0.0)
