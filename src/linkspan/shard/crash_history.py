"""Crash histories of tasks: how likely a task is to crash the executors that run it.

A crash does not show which task caused it, so it counts against every task that ran there. It
scores highest for runs that had begun immediately before, and lowest for runs that had worked for
seconds or whose executor crashed together with unrelated ones. Harmless tasks are thereby not given
up for being colocated, while the minimum score limits how many executors a task can crash.

Two limits hold regardless of the score. No task is given up after fewer than two certain crashes,
those at which the run cannot have ended before the crash. No task is started again after five
confirmed crashes.

A crash is the end of an incarnation with a run of the task on it. The name of the incarnation
identifies the crash, so that it counts only once and can be retracted if the incarnation turns out
not to have crashed.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from linkspan.jobs.crash import CERTAIN
from linkspan.shard.incarnation import Incarnation

if TYPE_CHECKING:
    from linkspan.jobs.crash import Crash
    from linkspan.jobs.records import Delegation

IMMEDIATE_CRASH_S = 0.5
"""Limits the age of a run for which a crash is immediate and gets the highest score. A task that
crashes its executor does so in its first moments; in a hall of a thousand executors, few runs are
as young at an unrelated crash."""

EARLY_CRASH_S = 3.0
"""Limits the age of a run for which a crash is early. An older run gets the minimum score. Short
tasks finish in less time than this."""

CLEARED_AFTER_S = 20.0
"""Age of a run at a crash from which the task's crash history is cleared: a task that has run for
that long has caused neither this crash nor earlier ones. No usable executor crashes by itself every
20 seconds."""

IMMEDIATE_CRASH_SCORE = 4
"""Score of a crash for a run that had begun immediately before."""

EARLY_CRASH_SCORE = 3
"""Score of a crash for a run that had begun within seconds."""

MIN_CRASH_SCORE = 2
"""Score of any other counted crash, including one that cannot be blamed on the task."""

ISOLATION_SCORE = 4
"""Score from which a task is isolated, that is, started away from others with such a score, so that
a further crash shows which one causes the crashes."""

GIVE_UP_SCORE = 8
"""Score at which a task is given up, if the last crash can be blamed on it: two immediate crashes,
the second in isolation, or three early ones."""

MAX_CONFIRMED_CRASHES = 4
"""Limits the confirmed crashes of a task, whatever their score: the task is given up at the fourth.
It is also given up at the fourth crash if its score suffices, although not all are confirmed. At
most two starts may follow the third crash. This limit uses one of them, because an owner that is
lost may leave one start unrecorded."""

MAX_CRASHES = 5
"""Limits the crashes of a task if not all of them are confirmed and certain; this uses both starts
after the third crash. Where executors do not crash by themselves, only the task explains so many
crashes."""

GIVE_UP_REASON = "executors crash under one of its tasks"
"""Logged reason for failing a job whose task was given up."""

MIN_CERTAIN_CRASHES = 2
"""Certain crashes before which no task may be given up."""

MIN_CERTAIN_CRASHES_IN_UNSTABLE_HALL = 3
"""Certain crashes before which no task is given up by score in a hall whose executors crash by
themselves. There, two executors may crash under a harmless task, and two starts may still follow
the third crash."""


@dataclass(frozen=True, slots=True)
class CrashHistory:
    """Crashes that count against a task.

    Attributes:
        crash_count: Number of executors that crashed while running the task.
        crash_score: Sum of the scores of these crashes, possibly capped.
        version: First version of the repetition's record that holds these crashes.
        identified_crashes: The crashes whose incarnation is known, the oldest first.
        deferred_at: Number of crashes at which an owner put off giving the task up, because other
            executors crashed at the same time or crash by themselves. The task is given up after
            one more crash at the earliest. 0 if no owner did.
        give_up_due_at: Steady time at which this owner decides whether to give the task up;
            ``None`` if no decision is pending. The task must not be started before the decision.
    """

    crash_count: int
    crash_score: int
    version: int = 0
    identified_crashes: tuple[Crash, ...] = field(default=(), compare=False)
    deferred_at: int = field(default=0, compare=False)
    give_up_due_at: float | None = field(default=None, compare=False)

    @property
    def decision_pending(self) -> bool:
        """Whether this owner has yet to decide whether to give the task up."""
        return self.give_up_due_at is not None

    @property
    def deferred(self) -> bool:
        """Whether an owner put off giving the task up, and no crash was found since."""
        return self.crash_count <= self.deferred_at

    @property
    def deferred_for_next_owner(self) -> bool:
        """Whether the next owner gives the task up only after one more crash.

        It does not know which executors crashed at the same time, so a pending decision counts as
        deferred, too.
        """
        return self.deferred or self.decision_pending

    @property
    def last_crash(self) -> Crash | None:
        """The newest identified crash, ``None`` if there is none."""
        return self.identified_crashes[-1] if self.identified_crashes else None

    @property
    def addresses(self) -> frozenset[str]:
        """Addresses of the crashed executors, as far as this owner knows them."""
        return frozenset(crash.address for crash in self.identified_crashes)

    def crash_of(self, incarnation: str) -> Crash | None:
        """Return the crash that ended an incarnation, ``None`` if it is not counted by name."""
        return next(
            (crash for crash in self.identified_crashes if crash.incarnation == incarnation), None
        )

    def counts_run(self, run: int, incarnation: str) -> bool:
        """Return whether a crash is counted for a run, at any incarnation of the executor's id."""
        return any(_is_of_run(crash, run, incarnation) for crash in self.identified_crashes)

    def unconfirmed_crash_of(self, run: int, incarnation: str) -> Crash | None:
        """Return the unconfirmed crash that is counted for a run, ``None`` if there is none.

        Args:
            run: Number of the run.
            incarnation: Name of any incarnation of the executor's id.
        """
        return next(
            (
                crash
                for crash in self.identified_crashes
                if not crash.confirmed and _is_of_run(crash, run, incarnation)
            ),
            None,
        )

    @property
    def confirmed_count(self) -> int:
        """Number of confirmed crashes, at which the executor had confirmed the run's start."""
        return self.crash_count - sum(not crash.confirmed for crash in self.identified_crashes)

    @property
    def certain_count(self) -> int:
        """Number of certain crashes, at which the run cannot have ended before."""
        return self.crash_count - sum(
            crash.certainty < CERTAIN for crash in self.identified_crashes
        )

    @property
    def needs_isolation(self) -> bool:
        """Whether the task must be started away from other tasks with a crash history."""
        return self.crash_score >= ISOLATION_SCORE

    @property
    def at_crash_limit(self) -> bool:
        """Whether one more crash reaches a limit, whatever its score."""
        return (
            self.confirmed_count >= MAX_CONFIRMED_CRASHES - 1 or self.crash_count >= MAX_CRASHES - 1
        )

    @property
    def should_give_up(self) -> bool:
        """Whether to give the task up in a hall whose executors do not crash by themselves."""
        return self.should_give_up_with(MIN_CERTAIN_CRASHES)

    @property
    def over_crash_limit(self) -> bool:
        """Whether the platform tolerates no further start, whatever else was decided."""
        certain_enough = self.certain_count >= MIN_CERTAIN_CRASHES
        return self.confirmed_count >= MAX_CRASHES or (
            certain_enough and self.crash_count >= MAX_CRASHES
        )

    @property
    def must_give_up(self) -> bool:
        """Whether an owner that reads this history from a record must give the task up."""
        if self.over_crash_limit:
            return True
        return self.should_give_up and not (self.deferred or self.decision_pending)

    def should_give_up_with(self, min_certain: int) -> bool:
        """Return whether to give the task up.

        Args:
            min_certain: Number of certain crashes required for a decision by score before the
                fourth crash. If it exceeds ``MIN_CERTAIN_CRASHES``, as in a hall whose executors
                crash by themselves, the total number of crashes decides nothing while fewer than
                ``MIN_CERTAIN_CRASHES`` of them are certain.
        """
        if self.over_crash_limit:
            return True
        if self.certain_count < MIN_CERTAIN_CRASHES:
            return self.crash_count >= MAX_CRASHES and min_certain == MIN_CERTAIN_CRASHES
        if self.confirmed_count >= MAX_CONFIRMED_CRASHES:
            return True
        if self.crash_score < GIVE_UP_SCORE:
            return False
        return self.certain_count >= min_certain or self.crash_count >= MAX_CONFIRMED_CRASHES


def _is_of_run(crash: Crash, run: int, incarnation: str) -> bool:
    """Return whether a crash is counted for a run that was started on an executor.

    Run numbers alone do not identify a run, as each hall that a task is delegated to counts its
    own. A start reaches no other executor than incarnations of one id.
    """
    if crash.run != run:
        return False
    return Incarnation.of(crash.incarnation).executor_id == Incarnation.of(incarnation).executor_id


def delegated_crash_history(delegation: Delegation) -> CrashHistory | None:
    """Return the crash history that a delegation carries, ``None`` if it counts no crashes."""
    return (
        CrashHistory(
            delegation.crash_count,
            delegation.crash_score,
            identified_crashes=delegation.identified_crashes,
            deferred_at=delegation.crash_count if delegation.give_up_deferred else 0,
        )
        if delegation.crash_count
        else None
    )


def add_crash(
    history: CrashHistory | None, crash: Crash, version: int, *, alone: bool = True
) -> CrashHistory:
    """Return a crash history with a crash added, unless it already holds that crash.

    Args:
        history: The history so far.
        crash: The crash.
        version: Version of the repetition's record that will hold the new history.
        alone: Whether no other task with a crash history was on the crashed executor.
    """
    if history is None:
        return CrashHistory(1, crash.score, version, (crash,))
    if history.crash_of(crash.incarnation):
        return history
    unconfirmed = history.unconfirmed_crash_of(crash.run, crash.incarnation)
    if unconfirmed:
        # This crash shows that the run was not on the incarnation counted before.
        return add_crash(
            retract_crash(history, unconfirmed.incarnation, version), crash, version, alone=alone
        )
    total = history.crash_score + crash.score
    if crash.score == MIN_CRASH_SCORE or not alone:
        # A crash that another task may have caused never gives this task up by score.
        total = min(total, GIVE_UP_SCORE - 1)
    return replace(
        history,
        crash_count=history.crash_count + 1,
        crash_score=total,
        version=version,
        identified_crashes=(*history.identified_crashes, crash),
    )


def clear_blame(history: CrashHistory, incarnation: str, version: int) -> CrashHistory:
    """Return a crash history in which a crash is no longer blamed on the task.

    The crash still counts, with the minimum score.

    Args:
        history: The history so far.
        incarnation: Name of the incarnation that crashed.
        version: Version of the repetition's record that will hold the new history.
    """
    crash = history.crash_of(incarnation)
    if crash is None or crash.score == MIN_CRASH_SCORE:
        return history
    score = min(history.crash_score - crash.score + MIN_CRASH_SCORE, GIVE_UP_SCORE - 1)
    crashes = tuple(
        c._replace(score=MIN_CRASH_SCORE) if c is crash else c for c in history.identified_crashes
    )
    return replace(
        history,
        crash_score=max(score, MIN_CRASH_SCORE),
        version=version,
        identified_crashes=crashes,
    )


def retract_crash(history: CrashHistory, incarnation: str, version: int) -> CrashHistory | None:
    """Return a crash history without a crash that turns out not to have been one.

    Args:
        history: The history so far.
        incarnation: Name of the incarnation that was taken for crashed.
        version: Version of the repetition's record that will hold the new history.
    """
    crash = history.crash_of(incarnation)
    if crash is None:
        return history
    if history.crash_count == 1:
        return None
    crash_count = history.crash_count - 1
    score = max(
        history.crash_score - crash.score,
        MIN_CRASH_SCORE * min(crash_count, MAX_CONFIRMED_CRASHES - 1),
    )
    remaining = tuple(other for other in history.identified_crashes if other is not crash)
    return replace(
        history,
        crash_count=crash_count,
        crash_score=min(score, GIVE_UP_SCORE - 1),
        version=version,
        identified_crashes=remaining,
        deferred_at=min(history.deferred_at, crash_count),
    )
