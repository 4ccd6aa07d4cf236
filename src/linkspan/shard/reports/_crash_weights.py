"""What the crash of an executor says against a run that was there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.attempt import FULL_PROGRESS, NEVER, Phase
from linkspan.shard.crash_history import (
    EARLY_CRASH_S,
    EARLY_CRASH_SCORE,
    IMMEDIATE_CRASH_S,
    IMMEDIATE_CRASH_SCORE,
    MIN_CRASH_SCORE,
)

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt

MIN_SHARE = 0.5
"""Share of its expected length that a run takes at the least: a caller's guess is rough."""


def worked_s(attempt: Attempt, crashed_at: float) -> float:
    """Return how long a run was on its executor when that fell, in seconds.

    A start that was not answered may have begun when it was ordered.
    """
    began = attempt.placed_at if attempt.confirmed_at == NEVER else attempt.confirmed_at
    return max(crashed_at - began, 0.0)


def was_heard(attempt: Attempt) -> bool:
    """Whether a run is known to have been there: its start was answered, by what is on record."""
    if attempt.carried_over:
        return False
    return attempt.confirmed_at != NEVER or (
        attempt.recovered and attempt.start_may_arrive_until == NEVER
    )


def is_certain(attempt: Attempt, crashed_at: float) -> bool:
    """Whether a run cannot have ended between its last sign and the fall of its executor.

    Args:
        attempt: The run.
        crashed_at: Steady time by which the executor had fallen.
    """
    if not was_heard(attempt) or attempt.phase is Phase.STOPPING:
        return False
    length_s = _length_s(attempt)
    if length_s == float("inf"):
        return True
    if not attempt.recovered and crashed_at - attempt.placed_at < MIN_SHARE * length_s:
        return True
    left_s = length_s * (1.0 - attempt.progress / FULL_PROGRESS) if attempt.progress else length_s
    return crashed_at - attempt.progress_at < MIN_SHARE * left_s


def counts_unheard(attempt: Attempt) -> bool:
    """Whether a crash counts whose run may never have been there.

    A start without an answer, or with another order on its way, goes on to the next life, and
    would count there once more; and it is not the one that gives a task up, unless others like it
    had put that off. A former owner may have had the answer, and been lost before it was on record:
    such a run counts, as no verdict comes by it.
    """
    known = attempt.task.crash_history
    if known is None:
        return True
    unheard = known.crash_count - known.confirmed_count
    if known.counts_run(attempt.run):
        return False
    return attempt.recovered or not known.at_crash_limit or unheard > 0


def stands_out(attempt: Attempt, suspects: list[Attempt]) -> bool:
    """Whether no other task that was there is suspected as much as this one, or more."""
    others = [other for other in suspects if other is not attempt]
    return all(_suspected(other) < _suspected(attempt) for other in others)


def _suspected(attempt: Attempt) -> int:
    return attempt.task.crash_history.crash_score if attempt.task.crash_history else 0


def points_of(attempt: Attempt, worked: float) -> int:
    """Return what a crash counts under a run that was there for some seconds."""
    if attempt.confirmed_at == NEVER:
        # It may have come to an executor that had fallen already, or never.
        return MIN_CRASH_SCORE
    if attempt.recovered or worked > min(EARLY_CRASH_S, _length_s(attempt)):
        return MIN_CRASH_SCORE
    return EARLY_CRASH_SCORE if worked > IMMEDIATE_CRASH_S else IMMEDIATE_CRASH_SCORE


def _length_s(attempt: Attempt) -> float:
    """Return how long a run is expected to take, in seconds.

    One that was there for longer may have ended before the fall, unheard.
    """
    return attempt.task.step.expected_s or float("inf")
