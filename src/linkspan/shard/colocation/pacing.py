"""Best-effort tasks give way where they disturb a standing task beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.attempt import FULL_PACE
from linkspan.shard.colocation._pressure_room import KEPT_PRESSURE, PressureRoom
from linkspan.shard.colocation.interference import latency_ratio
from linkspan.shard.planning.urgency import urgency

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.colocation.interference import InterferenceEstimator
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState

ALL_GUILTY_AFTER_S = 1.4
"""Time over target after which every neighbour slows down: what is believed of them
is then wrong. Two figures of half a second fit into it."""

STAND_STILL_AFTER_S = 2.4
"""Time over target after which every neighbour stands still. The platform counts
harm from four seconds on, and a figure is half a second old."""

SLOW_DOWN_FACTOR = 0.5
"""Factor on every neighbour's pace when all are slowed down."""

STOP_BELOW = 10
"""Pace in percent under which a neighbour stands still instead."""

MIN_STEP = 10
"""Change of pace in percent that is worth an order."""

FIGURE_S = 0.5
"""Time that a figure covers, in seconds: a change shows fully only after it."""

MOVE_BELOW = 60
"""Pace in percent under which a neighbour may be better off elsewhere."""


class Pacer:
    """Sets the pace of best-effort tasks by the latency of standing ones.

    What the standing tasks of an executor bear is given out by urgency: a job that can
    still be in time goes before one that cannot.

    Args:
        core: The shard's state.
        interference: What is known of pairs of images.
    """

    def __init__(self, core: ShardCore, interference: InterferenceEstimator) -> None:
        self._core = core
        self._interference = interference
        self._changed_at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"Pacer({self._core!r})"

    def on_report(self, executor: ExecutorState, now: float, wall: float) -> None:
        """Take in new figures of an executor and set the pace there.

        Args:
            executor: The executor.
            now: Steady time.
            wall: Time of day, in seconds since 1970, for urgency.
        """
        self._interference.learn(executor, now)
        standing = executor.standing()
        neighbours = executor.best_effort()
        for attempt in standing:
            self._note_over(attempt, len(neighbours), now)
        last = self._changed_at.get(executor.executor_id, float("-inf"))
        if not neighbours or now - last < FIGURE_S:
            return
        by_need = sorted(neighbours, key=lambda a: urgency(a.task.step, wall))
        present = PressureRoom(executor, self._interference, now, neighbours, limit=KEPT_PRESSURE)
        if present.overdrawn or any(a.over_since is not None for a in standing):
            self._share_out(executor, standing, by_need, now)
        else:
            self._speed_up(executor, by_need, now)

    def _note_over(self, attempt: Attempt, neighbours: int, now: float) -> None:
        """Keep since when a standing task is over its target, and tell for how long it was."""
        ratio = latency_ratio(attempt)
        if ratio is not None and ratio >= 1.0:
            if attempt.over_since is None:
                # The figure covers the half second before it.
                attempt.over_since = now - FIGURE_S
            return
        if attempt.over_since is not None:
            self._core.log(
                Event.LATENCY_OVER,
                executor=attempt.executor_id,
                job=attempt.task.name.job_id,
                image=attempt.task.step.spec.image,
                over_s=round(now - FIGURE_S - attempt.over_since, 2),
                best_effort=neighbours,
            )
        attempt.over_since = None

    def _share_out(
        self, executor: ExecutorState, standing: list[Attempt], by_need: list[Attempt], now: float
    ) -> None:
        """Give out anew what the standing tasks bear, the most urgent first."""
        worst = max(standing, key=lambda a: latency_ratio(a) or 0.0, default=None)
        factor = _over_factor(standing, now)
        room = PressureRoom(executor, self._interference, now)
        for attempt in by_need:
            spec = attempt.task.step.spec
            share = room.share(spec)
            if factor < 1.0:
                share = min(share, factor * attempt.pace / 100)
            self._set(executor, attempt, int(100 * share), worst, now)
            room.take(spec, attempt.pace / 100)

    def _speed_up(self, executor: ExecutorState, by_need: list[Attempt], now: float) -> None:
        """Give out what is left beside the present paces, the most urgent first."""
        room = PressureRoom(executor, self._interference, now, by_need)
        for attempt in by_need:
            if attempt.pace >= FULL_PACE and attempt.pace_confirmed:
                continue
            spec, pace = attempt.task.step.spec, attempt.pace
            more = min(room.share(spec), 1.0 - pace / 100)
            self._set(executor, attempt, pace + int(100 * more), None, now)
            room.take(spec, (attempt.pace - pace) / 100)

    def _set(
        self,
        executor: ExecutorState,
        attempt: Attempt,
        pace: int,
        worst: Attempt | None,
        now: float,
    ) -> None:
        """Order a pace if the change is worth it, or the one in force is not known."""
        pace = _rounded(pace, attempt.pace)
        if abs(pace - attempt.pace) < MIN_STEP and attempt.pace_confirmed:
            return
        self._changed_at[executor.executor_id] = now
        self._core.log(
            Event.PACE_SET,
            executor=executor.executor_id,
            job=attempt.task.name.job_id,
            image=attempt.task.step.spec.image,
            percent=pace,
            was=attempt.pace if attempt.pace_confirmed else None,
            disturbed=worst.task.step.spec.image if worst else None,
            latency_over_target=round(latency_ratio(worst) or 0.0, 2) if worst else None,
        )
        self._core.pace(attempt, pace, now)


def _rounded(pace: int, present: int) -> int:
    """Return the pace to order: none for very little, full speed if little short of it."""
    if pace < STOP_BELOW:
        return 0
    return pace if pace <= FULL_PACE - MIN_STEP or pace < present else FULL_PACE


def _over_factor(standing: list[Attempt], now: float) -> float:
    """Return the factor on all paces where a standing task has been over target for long."""
    since = [a.over_since for a in standing if a.over_since is not None]
    over_s = now - min(since, default=now)
    if over_s >= STAND_STILL_AFTER_S:
        return 0.0
    return SLOW_DOWN_FACTOR if over_s >= ALL_GUILTY_AFTER_S else 1.0
