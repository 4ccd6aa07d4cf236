"""Predicts when a run ends where it is, and when a new run of its task would end elsewhere."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.attempt import FULL_PROGRESS
from linkspan.shard.reports.executor_speeds import ORDINARY

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.reports.executor_speeds import ExecutorSpeeds

SLOW_LASTS_S = 3.0
"""Time for which a slow executor is expected to stay slow, in seconds: other work on its
machine, or a throttled processor, passes within several."""

MAX_RATE_AGE_S = 3.0
"""Age up to which a measured rate of progress is used: reports follow each other within two
seconds, and a window may span two of them."""

MAX_SHOWN_AGE_S = 2.0
"""Age up to which another run shows that an executor has ordinary speed: the longest time between
two reports."""

START_S = 0.2
"""Time from the end of a stopped run to the start of the next one: a report and a plan."""


class RunForecast(NamedTuple):
    """When a run is expected to end.

    Attributes:
        here_s: Seconds until it ends where it is.
        elsewhere_s: Seconds until a new run of its task would end on an ordinary executor with room
            for it, if this one were stopped now.
        copied_s: Seconds until a copy of it would end that starts from the beginning.
    """

    here_s: float
    elsewhere_s: float
    copied_s: float


def forecast(
    attempt: Attempt, speeds: ExecutorSpeeds, *, stop_s: float, now: float
) -> RunForecast | None:
    """Return when a run is expected to end.

    The task's own length follows from its progress and the slowdown of its executor. A task that is
    long by itself is therefore as long elsewhere. Without known progress, or on an executor whose
    speed no other run shows, the length is unknown, and the result is ``None``.

    Args:
        attempt: The run.
        speeds: Slowdown of the executors.
        stop_s: Longest time that a stop takes, in seconds.
        now: Steady time.
    """
    name, rate = attempt.executor_id, attempt.rate
    slowdown = speeds.slowdown(name)
    if slowdown <= ORDINARY and not speeds.is_shown_ordinary(
        name, attempt.key, now - MAX_SHOWN_AGE_S
    ):
        return None
    if rate is None or rate.full_duration_s is None or now - rate.measured_at > MAX_RATE_AGE_S:
        return None
    length_s = rate.full_duration_s / slowdown
    remaining_s = length_s * (1.0 - rate.percent_at(now) / FULL_PROGRESS)
    saved = attempt.task.step.spec.checkpoints
    return RunForecast(
        _remaining_here_s(remaining_s, slowdown),
        stop_s + START_S + (remaining_s if saved else length_s),
        START_S + length_s,
    )


def _remaining_here_s(remaining_s: float, slowdown: float) -> float:
    """Return how long some work takes that needs the given time at ordinary speed."""
    done_slowly_s = SLOW_LASTS_S / slowdown
    if remaining_s <= done_slowly_s:
        return remaining_s * slowdown
    return SLOW_LASTS_S + remaining_s - done_slowly_s
