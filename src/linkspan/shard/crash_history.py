"""How far a task is suspected of crashing the executors that start it.

A crash names nobody: all that ran there is suspected. What began right before it is most of
all; what was there for seconds, or fell with executors that have nothing in common with it,
least. So a job that can be done is not given up for having been there, while the least that
a crash counts bounds how many executors a task can take down, whatever the weighing says.

Two lines hold whatever the weighing says. No task is given up by less than two crashes that are
certain: the run cannot have ended before the fall. And none is started after a fifth whose run was
heard of.

A crash is the end of one life of an executor with a run of the task on it, and is known by the
name of that life: what turns out to be none is taken back, and none counts twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from linkspan.jobs.crash import CERTAIN

if TYPE_CHECKING:
    from linkspan.jobs.crash import Crash
    from linkspan.jobs.records import Delegation

IMMEDIATE_CRASH_S = 0.5
"""Time from a run's begin to a crash that makes it most suspect. A query of death fails in
its first moments; of a thousand executors' runs few are as young at a crash by chance."""

EARLY_CRASH_S = 3.0
"""Time after which a run is suspected least: short work takes less than that in all."""

CLEARED_AFTER_S = 20.0
"""Time of work after which a run has not crashed its executor, and neither has its task those
before. An executor that crashes by chance each twenty seconds serves nobody."""

IMMEDIATE_CRASH_SCORE = 4
"""What a crash counts under the only task there that had begun right before."""

EARLY_CRASH_SCORE = 3
"""What it counts under one that had begun within seconds."""

MIN_CRASH_SCORE = 2
"""What it counts in any case, also where it names nobody."""

ISOLATION_SCORE = 4
"""Points from which a task is started apart from others that are suspected as much, so that
a further crash names one of them."""

GIVE_UP_SCORE = 8
"""Points at which a task is given up, by a crash that names it: two right after a begin, the
second apart from all other suspects, or three within seconds."""

MAX_CONFIRMED_CRASHES = 4
"""Crashes after which a task is given up whatever they count: one start after the third, and
the platform bears two, of which an owner that is lost may leave one off the record."""

MAX_CRASHES = 5
"""The same where of some nobody knows whether the run was there, or still was: both starts after
the third. Where executors do not fall by themselves, nothing else explains so many."""

GIVE_UP_REASON = "executors crash under one of its tasks"
"""Why a job failed of which a task was given up, for the log."""

MIN_CERTAIN_CRASHES = 2
"""Crashes that are certain before which no task is given up: the platform does not allow that."""

MIN_CERTAIN_CRASHES_IN_UNSTABLE_HALL = 3
"""The same where executors fall by themselves: the platform bears two starts after the third, and
in such a hall two falls under short work come by chance."""


@dataclass(frozen=True, slots=True)
class CrashHistory:
    """What crashes say against a task.

    Attributes:
        crash_count: Executors that crashed under it.
        crash_score: What these count.
        version: Version of its repetition's record from which on that holds them.
        identified_crashes: Those of the crashes that are known by name, the oldest first.
        give_up_deferred: Whether a verdict by the last of them waits, or was not given as others
            fell beside: a next owner, which knows of no such falls, waits for one crash more.
    """

    crash_count: int
    crash_score: int
    version: int = 0
    identified_crashes: tuple[Crash, ...] = field(default=(), compare=False)
    give_up_deferred: bool = field(default=False, compare=False)

    @property
    def addresses(self) -> frozenset[str]:
        """Where executors crashed, as far as this owner saw."""
        return frozenset(crash.address for crash in self.identified_crashes)

    def crash_of(self, incarnation: str) -> Crash | None:
        """Return the crash that was the end of a life, if it is among those known by name."""
        return next(
            (crash for crash in self.identified_crashes if crash.incarnation == incarnation), None
        )

    def counts_run(self, run: int) -> bool:
        """Whether a crash is counted for a run, wherever that was."""
        return any(crash.run == run for crash in self.identified_crashes)

    def unconfirmed_crash_of(self, run: int) -> Crash | None:
        """Return the crash that is counted for a run that may not have been there."""
        return next((c for c in self.identified_crashes if c.run == run and not c.confirmed), None)

    @property
    def confirmed_count(self) -> int:
        """How many crashed under a run that is known to have been there."""
        return self.crash_count - sum(not crash.confirmed for crash in self.identified_crashes)

    @property
    def certain_count(self) -> int:
        """How many crashed under a run that cannot have ended before."""
        return self.crash_count - sum(
            crash.certainty < CERTAIN for crash in self.identified_crashes
        )

    @property
    def needs_isolation(self) -> bool:
        """Whether the task is to be started apart from other suspects."""
        return self.crash_score >= ISOLATION_SCORE

    @property
    def at_crash_limit(self) -> bool:
        """Whether one more crash gives the task up, whatever it counts."""
        return (
            self.confirmed_count >= MAX_CONFIRMED_CRASHES - 1 or self.crash_count >= MAX_CRASHES - 1
        )

    @property
    def should_give_up(self) -> bool:
        """Whether the task is to be given up where executors do not fall by themselves."""
        return self.should_give_up_with(MIN_CERTAIN_CRASHES)

    @property
    def over_crash_limit(self) -> bool:
        """Whether the platform bears no further start, whatever was decided."""
        known = self.certain_count >= MIN_CERTAIN_CRASHES
        return self.confirmed_count >= MAX_CRASHES or (known and self.crash_count >= MAX_CRASHES)

    @property
    def must_give_up(self) -> bool:
        """Whether who reads this on record is to give the task up."""
        return self.over_crash_limit or (self.should_give_up and not self.give_up_deferred)

    def should_give_up_with(self, min_certain: int) -> bool:
        """Whether the task is to be given up.

        Args:
            min_certain: Crashes that must be certain for what they count to decide. Where
                executors fall by themselves, runs of which nobody heard do not decide at all.
        """
        if self.over_crash_limit:
            return True
        if self.certain_count < MIN_CERTAIN_CRASHES:
            return self.crash_count >= MAX_CRASHES and min_certain == MIN_CERTAIN_CRASHES
        if self.confirmed_count >= MAX_CONFIRMED_CRASHES:
            return True
        return self.certain_count >= min_certain and self.crash_score >= GIVE_UP_SCORE


def delegated_crash_history(delegation: Delegation) -> CrashHistory | None:
    """Return what a loan brings along, or brings back, of crashes under its task."""
    return (
        CrashHistory(
            delegation.crash_count,
            delegation.crash_score,
            identified_crashes=delegation.identified_crashes,
        )
        if delegation.crash_count
        else None
    )


def add_crash(
    known: CrashHistory | None, crash: Crash, version: int, *, alone: bool = True
) -> CrashHistory:
    """Return what is known of a task after a crash, which may be known already.

    Args:
        known: What was known before.
        crash: The crash.
        version: Version of its repetition's record that will hold it.
        alone: Whether no other task was there under which an executor had crashed before.
    """
    if known is None:
        return CrashHistory(1, crash.score, version, (crash,))
    if known.crash_of(crash.incarnation):
        return known
    doubted = known.unconfirmed_crash_of(crash.run)
    if doubted:
        # The run was at another life, then.
        return add_crash(
            retract_crash(known, doubted.incarnation, version), crash, version, alone=alone
        )
    total = known.crash_score + crash.score
    if crash.score == MIN_CRASH_SCORE or not alone:
        # A crash that may be another's convicts nobody: others were there each time, too.
        total = min(total, GIVE_UP_SCORE - 1)
    return CrashHistory(known.crash_count + 1, total, version, (*known.identified_crashes, crash))


def clear_blame(known: CrashHistory, incarnation: str, version: int) -> CrashHistory:
    """Return what is known of a task once a crash that named it names nobody any more.

    Args:
        known: What was known before.
        incarnation: Name of the life that ended by the crash.
        version: Version of its repetition's record that will hold it.
    """
    crash = known.crash_of(incarnation)
    if crash is None or crash.score == MIN_CRASH_SCORE:
        return known
    left = min(known.crash_score - crash.score + MIN_CRASH_SCORE, GIVE_UP_SCORE - 1)
    named = tuple(
        c._replace(score=MIN_CRASH_SCORE) if c is crash else c for c in known.identified_crashes
    )
    return replace(
        known, crash_score=max(left, MIN_CRASH_SCORE), version=version, identified_crashes=named
    )


def retract_crash(known: CrashHistory, incarnation: str, version: int) -> CrashHistory | None:
    """Return what is known of a task once the end of a life turns out to be no crash.

    Args:
        known: What was known before.
        incarnation: Name of the life.
        version: Version of its repetition's record that will hold it.
    """
    crash = known.crash_of(incarnation)
    if crash is None:
        return known
    if known.crash_count == 1:
        return None
    crashes = known.crash_count - 1
    points = max(
        known.crash_score - crash.score, MIN_CRASH_SCORE * min(crashes, MAX_CONFIRMED_CRASHES - 1)
    )
    named = tuple(other for other in known.identified_crashes if other is not crash)
    return CrashHistory(crashes, min(points, GIVE_UP_SCORE - 1), version, named)
