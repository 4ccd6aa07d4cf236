"""Slows down best-effort tasks where they interfere with colocated standing tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.attempt import FULL_PACE
from linkspan.shard.colocation._pressure_budget import (
    MAX_KEPT_PACE_PRESSURE,
    MAX_PLACEMENT_PRESSURE,
    PressureBudget,
)
from linkspan.shard.colocation._recent_urgencies import RecentUrgencies
from linkspan.shard.colocation.interference import latency_ratio

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.colocation.interference import InterferenceEstimator
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState

SLOW_ALL_AFTER_S = 1.4
"""Time over target after which all colocated best-effort tasks slow down: by then the estimates of
their effects must be wrong. It covers two measurements of half a second."""

PAUSE_ALL_AFTER_S = 2.4
"""Time over target after which all colocated best-effort tasks pause. A standing task may exceed
its target for less than four seconds, and a measurement is half a second old."""

SLOW_ALL_FACTOR = 0.5
"""Factor on the pace of all colocated best-effort tasks when all are slowed down."""

MIN_PACE_PERCENT = 10
"""Minimum pace in percent: a task that would get less pauses instead."""

MIN_PACE_CHANGE_PERCENT = 10
"""Minimum change of pace in percent that justifies an order."""

MEASUREMENT_PERIOD_S = 0.5
"""Time that a measurement covers: a change of pace shows fully only after it."""

MOVE_BELOW_PACE_PERCENT = 60
"""Pace in percent below which a best-effort task may be better off on another executor."""


class Pacer:
    """Sets the pace of best-effort tasks from the latency of colocated standing ones.

    The pressure that the standing tasks of an executor tolerate is allocated by urgency: a job that
    can still be in time goes before one that cannot.

    Args:
        core: The shard's state.
        interference: Estimated interference between pairs of images.
    """

    def __init__(self, core: ShardCore, interference: InterferenceEstimator) -> None:
        self._core = core
        self._interference = interference
        self._changed_at: dict[str, float] = {}
        self._urgencies = RecentUrgencies()

    def __repr__(self) -> str:
        return f"Pacer({self._core!r})"

    def on_report(self, executor: ExecutorState, now: float, wall: float) -> None:
        """Apply new measurements of an executor and set the paces there.

        Args:
            executor: The executor.
            now: Steady time.
            wall: Time of day, in seconds since 1970, for urgency.
        """
        self._interference.learn(executor, now)
        standing = executor.latency_targeted()
        best_effort = executor.best_effort()
        for attempt in standing:
            self._track_over_target(attempt, len(best_effort), now)
        last = self._changed_at.get(executor.executor_id, float("-inf"))
        if not best_effort or now - last < MEASUREMENT_PERIOD_S:
            return
        self._urgencies.begin(wall)
        present = PressureBudget(
            executor, self._interference, now, best_effort, limit=MAX_KEPT_PACE_PRESSURE
        )
        if present.is_exceeded or any(a.over_target_since is not None for a in standing):
            self._reallocate(executor, standing, self._by_urgency(best_effort), now)
            return
        slowed = [a for a in best_effort if a.pace < FULL_PACE or not a.pace_confirmed]
        if slowed:
            remaining = present.lowered(MAX_KEPT_PACE_PRESSURE - MAX_PLACEMENT_PRESSURE)
            self._raise_paces(executor, self._by_urgency(slowed), remaining, now)

    def _by_urgency(self, attempts: list[Attempt]) -> list[Attempt]:
        return sorted(
            attempts,
            key=lambda a: self._urgencies.of(a.task.step, failed_before=a.task.failures > 0),
        )

    def _track_over_target(self, attempt: Attempt, best_effort_count: int, now: float) -> None:
        """Track since when a standing task is over its target; log the duration at the end."""
        ratio = latency_ratio(attempt)
        if ratio is not None and ratio >= 1.0:
            if attempt.over_target_since is None:
                # The measurement covers the half second before it.
                attempt.over_target_since = now - MEASUREMENT_PERIOD_S
            return
        if attempt.over_target_since is not None:
            self._core.log(
                Event.LATENCY_OVER,
                executor=attempt.executor_id,
                job=attempt.task.name.job_id,
                image=attempt.task.step.spec.image,
                over_s=round(now - MEASUREMENT_PERIOD_S - attempt.over_target_since, 2),
                best_effort=best_effort_count,
            )
        attempt.over_target_since = None

    def _reallocate(
        self,
        executor: ExecutorState,
        standing: list[Attempt],
        by_urgency: list[Attempt],
        now: float,
    ) -> None:
        """Reallocate the pressure that the standing tasks tolerate, the most urgent task first."""
        worst = max(standing, key=lambda a: latency_ratio(a) or 0.0, default=None)
        factor = _over_target_factor(standing, now)
        remaining = PressureBudget(executor, self._interference, now)
        for attempt in by_urgency:
            spec = attempt.task.step.spec
            share = remaining.share(spec)
            if factor < 1.0:
                share = min(share, factor * attempt.pace / 100)
            self._set_pace(executor, attempt, int(100 * share), worst, now)
            remaining.add(spec, attempt.pace / 100)

    def _raise_paces(
        self,
        executor: ExecutorState,
        by_urgency: list[Attempt],
        remaining: PressureBudget,
        now: float,
    ) -> None:
        """Allocate the pressure left over at the current paces, the most urgent task first."""
        for attempt in by_urgency:
            spec, pace = attempt.task.step.spec, attempt.pace
            increase = min(remaining.share(spec), 1.0 - pace / 100)
            self._set_pace(executor, attempt, pace + int(100 * increase), None, now)
            remaining.add(spec, (attempt.pace - pace) / 100)

    def _set_pace(
        self,
        executor: ExecutorState,
        attempt: Attempt,
        pace: int,
        worst: Attempt | None,
        now: float,
    ) -> None:
        """Order a pace if the change is large enough or the current pace is not confirmed."""
        pace = _rounded_pace(pace, attempt.pace)
        if abs(pace - attempt.pace) < MIN_PACE_CHANGE_PERCENT and attempt.pace_confirmed:
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


def _rounded_pace(pace: int, present: int) -> int:
    """Return the pace to order: 0 below the minimum, full speed if an increase is close to it."""
    if pace < MIN_PACE_PERCENT:
        return 0
    return pace if pace <= FULL_PACE - MIN_PACE_CHANGE_PERCENT or pace < present else FULL_PACE


def _over_target_factor(standing: list[Attempt], now: float) -> float:
    """Return the factor on all paces, below 1 if a standing task is over its target for long."""
    since = [a.over_target_since for a in standing if a.over_target_since is not None]
    over_s = now - min(since, default=now)
    if over_s >= PAUSE_ALL_AFTER_S:
        return 0.0
    return SLOW_ALL_FACTOR if over_s >= SLOW_ALL_AFTER_S else 1.0
