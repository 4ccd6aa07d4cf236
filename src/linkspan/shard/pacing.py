"""Best-effort tasks give way where they disturb a standing task beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.colocation import expected_cores, latency_ratio, pressure_of, scaled_cores

if TYPE_CHECKING:
    from linkspan.shard.colocation import ColocationBook
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.state import Attempt

SLOW_DOWN_AT = 0.95
"""Latency over target from which neighbours slow down."""

AIM_PRESSURE = 0.8
"""Pressure that neighbours are slowed down to; the target is at 0.83, and own loads
rise by a tenth within a figure's age."""

SPEED_UP_PRESSURE = 0.79
"""Pressure up to which they may speed up again."""

INNOCENT_PRESSURE = 0.05
"""Pressure that a neighbour adds at most, as believed, to count as innocent."""

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

LEAST_STEP = 10
"""Change of pace in percent that is worth an order."""

FIGURE_S = 0.5
"""Time that a figure covers, in seconds: a change shows fully only after it."""

MOVE_BELOW = 60
"""Pace in percent under which a neighbour may be better off elsewhere."""


class Pacer:
    """Sets the pace of best-effort tasks by the latency of standing ones.

    Args:
        core: The shard's state.
        book: What is known of pairs of images.
    """

    def __init__(self, core: ShardCore, book: ColocationBook) -> None:
        self._core = core
        self._book = book
        self._changed_at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"Pacer({self._core!r})"

    def on_report(self, executor: ExecutorState, now: float) -> None:
        """Take in new figures of an executor and set the pace there."""
        self._book.learn(executor, now)
        standing = executor.standing()
        for attempt in standing:
            _note_over(attempt, now)
        neighbours = executor.best_effort()
        last = self._changed_at.get(executor.executor_id, float("-inf"))
        if not neighbours or now - last < FIGURE_S:
            return
        worst = max(standing, key=lambda a: latency_ratio(a) or 0.0, default=None)
        if worst is not None and (latency_ratio(worst) or 0.0) >= SLOW_DOWN_AT:
            self._slow_down(executor, worst, neighbours, now)
        else:
            self._speed_up(executor, standing, neighbours, now)

    def _slow_down(
        self, executor: ExecutorState, worst: Attempt, neighbours: list[Attempt], now: float
    ) -> None:
        over_s = now - worst.over_since if worst.over_since is not None else 0.0
        if over_s >= STAND_STILL_AFTER_S:
            factor = 0.0
        elif over_s >= ALL_GUILTY_AFTER_S:
            factor = SLOW_DOWN_FACTOR
        else:
            self._slow_guilty(executor, worst, neighbours, now)
            return
        for attempt in neighbours:
            self._set(executor, attempt, int(attempt.pace * factor), worst, now)

    def _slow_guilty(
        self, executor: ExecutorState, worst: Attempt, neighbours: list[Attempt], now: float
    ) -> None:
        """Slow those down that are believed to disturb, as far as the aim asks."""
        image = worst.task.step.spec.image
        parts = {a: self._part(executor, image, a) * a.pace / 100 for a in neighbours}
        guilty = {a: part for a, part in parts.items() if part > INNOCENT_PRESSURE}
        total = sum(guilty.values())
        if not total:
            return
        expected = self._book.pressure(worst, expected_cores(executor))
        seen = pressure_of(latency_ratio(worst) or 0.0)
        keep = max(1.0 - (max(expected, seen) - AIM_PRESSURE) / total, 0.0)
        for attempt in guilty:
            self._set(executor, attempt, int(attempt.pace * keep), worst, now)

    def _part(self, executor: ExecutorState, image: str, neighbour: Attempt) -> float:
        """Return the pressure that a neighbour adds at full speed, as believed."""
        spec = neighbour.task.step.spec
        return self._book.effect(image, spec.image) * scaled_cores(executor, spec.demand.milli_cpu)

    def _speed_up(
        self,
        executor: ExecutorState,
        standing: list[Attempt],
        neighbours: list[Attempt],
        now: float,
    ) -> None:
        """Let neighbours work faster, as far as all standing tasks bear it."""
        cores = expected_cores(executor)
        room = {
            a: SPEED_UP_PRESSURE
            - max(self._book.pressure(a, cores), pressure_of(latency_ratio(a) or 0.0))
            for a in standing
        }
        for attempt in sorted(neighbours, key=lambda a: a.placed_at):
            if attempt.pace >= 100:
                continue
            share = 1.0 - attempt.pace / 100
            for task, left in room.items():
                part = self._part(executor, task.task.step.spec.image, attempt)
                if part > INNOCENT_PRESSURE:
                    share = min(share, max(left, 0.0) / part)
            for task in room:
                room[task] -= share * self._part(executor, task.task.step.spec.image, attempt)
            self._set(executor, attempt, attempt.pace + int(100 * share), None, now)

    def _set(
        self,
        executor: ExecutorState,
        attempt: Attempt,
        pace: int,
        worst: Attempt | None,
        now: float,
    ) -> None:
        pace = pace if pace >= STOP_BELOW else 0
        pace = pace if pace <= 100 - LEAST_STEP or pace < attempt.pace else 100
        if abs(pace - attempt.pace) < LEAST_STEP:
            return
        self._changed_at[executor.executor_id] = now
        self._core.log(
            Event.PACE_SET,
            executor=executor.executor_id,
            job=attempt.task.name.job_id,
            image=attempt.task.step.spec.image,
            percent=pace,
            was=attempt.pace,
            disturbed=worst.task.step.spec.image if worst else None,
            latency_over_target=round(latency_ratio(worst) or 0.0, 2) if worst else None,
        )
        self._core.pace(attempt, pace)


def _note_over(attempt: Attempt, now: float) -> None:
    ratio = latency_ratio(attempt)
    if ratio is None or ratio < 1.0:
        attempt.over_since = None
    elif attempt.over_since is None:
        # The figure covers the half second before it.
        attempt.over_since = now - FIGURE_S
