"""Rates how strongly an executor's crash counts against a run that was there."""

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

MAX_TRANSIT_S = 0.05
"""Limits the usual time from the send of a start to its arrival. An answer to a poll that was made
within this time does not show that the start has arrived."""

MIN_DURATION_SHARE = 0.5
"""Smallest share of its expected duration that a run is assumed to take: callers' estimates are
rough."""


def time_on_executor_s(attempt: Attempt, crashed_at: float) -> float:
    """Return for how long a run may have been on its executor before the crash, in seconds.

    An unanswered start may have begun as soon as it was ordered. The answer to a start may have
    been applied long after the run began.
    """
    if attempt.confirmed_at == NEVER:
        started_at = attempt.placed_at
    elif attempt.sent_at != NEVER and attempt.sent_once:
        started_at = attempt.sent_at
    else:
        started_at = attempt.confirmed_at
    return max(crashed_at - started_at, 0.0)


def crashed_at_start(attempt: Attempt, alive_at: float) -> bool:
    """Whether an executor that had just answered went silent when it received the run's start.

    It is far more likely that the start crashed the executor than that the executor crashed by
    itself between its last answer and its answer to the start.

    Args:
        attempt: The run.
        alive_at: Steady time at which the executor was certainly alive, the latest known.
    """
    if not attempt.follows_answer or attempt.carried_over or attempt.confirmed_at != NEVER:
        return False
    return alive_at <= attempt.sent_at + MAX_TRANSIT_S


def is_confirmed(attempt: Attempt, *, at_start: bool = False) -> bool:
    """Whether a run certainly started: this owner or the record knows that it was answered.

    Args:
        attempt: The run.
        at_start: Whether its executor certainly crashed at its start.
    """
    if attempt.carried_over:
        return False
    return (
        at_start
        or attempt.confirmed_at != NEVER
        or (attempt.recovered and attempt.start_may_arrive_until == NEVER)
    )


def is_certain(attempt: Attempt, crashed_at: float, *, at_start: bool = False) -> bool:
    """Whether a run cannot have ended between its last report and its executor's crash.

    Args:
        attempt: The run.
        crashed_at: Steady time by which the executor had crashed.
        at_start: Whether its executor certainly crashed at its start.
    """
    if not is_confirmed(attempt, at_start=at_start) or attempt.phase is Phase.STOPPING:
        return False
    if at_start:
        return True
    expected_s = _expected_s(attempt)
    if expected_s == float("inf"):
        return True
    if not attempt.recovered and crashed_at - attempt.placed_at < MIN_DURATION_SHARE * expected_s:
        return True
    remaining_s = (
        expected_s * (1.0 - attempt.progress / FULL_PROGRESS) if attempt.progress else expected_s
    )
    return crashed_at - attempt.progress_at < MIN_DURATION_SHARE * remaining_s


def counts_unconfirmed(attempt: Attempt) -> bool:
    """Whether a crash counts against a run that may never have started there.

    An unanswered start, or one with another order that may still arrive, is carried over to the
    next incarnation, where a crash would count a second time. Such a crash is also not the one that
    makes the owner give a task up, unless earlier unconfirmed crashes deferred that. A recovered
    run counts: its former owner may have had the answer and ended before recording it, and such a
    crash alone never makes the owner give the task up.
    """
    history = attempt.task.crash_history
    if history is None:
        return True
    unconfirmed = history.crash_count - history.confirmed_count
    if history.counts_run(attempt.run, attempt.executor_id):
        return False
    return attempt.recovered or not history.at_crash_limit or unconfirmed > 0


def has_highest_score(attempt: Attempt, suspects: list[Attempt]) -> bool:
    """Whether a run's task has a higher crash score than every other suspect on the executor."""
    others = [other for other in suspects if other is not attempt]
    return all(_score(other) < _score(attempt) for other in others)


def _score(attempt: Attempt) -> int:
    return attempt.task.crash_history.crash_score if attempt.task.crash_history else 0


def crash_score_of(attempt: Attempt, elapsed_s: float, *, at_start: bool = False) -> int:
    """Return the score of a crash for a run that was there for some seconds.

    Args:
        attempt: The run.
        elapsed_s: How long it had been there, in seconds.
        at_start: Whether its executor certainly crashed at its start.
    """
    if at_start:
        return IMMEDIATE_CRASH_SCORE
    if attempt.confirmed_at == NEVER:
        # The start may have reached an executor that had crashed already, or none.
        return MIN_CRASH_SCORE
    if attempt.recovered or elapsed_s > min(EARLY_CRASH_S, _expected_s(attempt)):
        return MIN_CRASH_SCORE
    return EARLY_CRASH_SCORE if elapsed_s > IMMEDIATE_CRASH_S else IMMEDIATE_CRASH_SCORE


def _expected_s(attempt: Attempt) -> float:
    """Return how long a run is expected to take, in seconds.

    A run that was there for longer may have ended, unreported, before the crash.
    """
    return attempt.task.step.expected_s or float("inf")
