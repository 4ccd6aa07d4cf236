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
    from linkspan.jobs.records import Loan

AT_ONCE_S = 0.5
"""Time from a run's begin to a crash that makes it most suspect. A query of death fails in
its first moments; of a thousand executors' runs few are as young at a crash by chance."""

SOON_S = 3.0
"""Time after which a run is suspected least: short work takes less than that in all."""

CLEARED_S = 20.0
"""Time of work after which a run has not crashed its executor, and neither has its task those
before. An executor that crashes by chance each twenty seconds serves nobody."""

AT_ONCE_POINTS = 4
"""What a crash counts under the only task there that had begun right before."""

SOON_POINTS = 3
"""What it counts under one that had begun within seconds."""

LEAST_POINTS = 2
"""What it counts in any case, also where it names nobody."""

APART_POINTS = 4
"""Points from which a task is started apart from others that are suspected as much, so that
a further crash names one of them."""

GIVE_UP_POINTS = 8
"""Points at which a task is given up, by a crash that names it: two right after a begin, the
second apart from all other suspects, or three within seconds."""

MOST_CRASHES = 4
"""Crashes after which a task is given up whatever they count: one start after the third, and
the platform bears two, of which an owner that is lost may leave one off the record."""

MOST_IN_ALL = 5
"""The same where of some nobody knows whether the run was there, or still was: both starts after
the third. Where executors do not fall by themselves, nothing else explains so many."""

CRASHES = "executors crash under one of its tasks"
"""Why a job failed of which a task was given up, for the log."""

LEAST_CERTAIN = 2
"""Crashes that are certain before which no task is given up: the platform does not allow that."""

LEAST_CERTAIN_WHERE_OTHERS_FALL = 3
"""The same where executors fall by themselves: the platform bears two starts after the third, and
in such a hall two falls under short work come by chance."""


@dataclass(frozen=True, slots=True)
class Suspicion:
    """What crashes say against a task.

    Attributes:
        crashes: Executors that crashed under it.
        points: What these count.
        version: Version of its repetition's record from which on that holds them.
        named: Those of the crashes that are known by name, the oldest first.
        put_off: Whether a verdict by the last of them waits, or was not given as others fell
            beside: a next owner, which knows of no such falls, waits for one crash more.
    """

    crashes: int
    points: int
    version: int = 0
    named: tuple[Crash, ...] = field(default=(), compare=False)
    put_off: bool = field(default=False, compare=False)

    @property
    def addresses(self) -> frozenset[str]:
        """Where executors crashed, as far as this owner saw."""
        return frozenset(crash.address for crash in self.named)

    def crash_of(self, incarnation: str) -> Crash | None:
        """Return the crash that was the end of a life, if it is among those known by name."""
        return next((crash for crash in self.named if crash.incarnation == incarnation), None)

    def counts(self, run: int) -> bool:
        """Whether a crash is counted for a run, wherever that was."""
        return any(crash.run == run for crash in self.named)

    def unheard_of(self, run: int) -> Crash | None:
        """Return the crash that is counted for a run that may not have been there."""
        return next((c for c in self.named if c.run == run and not c.confirmed), None)

    @property
    def heard(self) -> int:
        """How many crashed under a run that is known to have been there."""
        return self.crashes - sum(not crash.confirmed for crash in self.named)

    @property
    def certain(self) -> int:
        """How many crashed under a run that cannot have ended before."""
        return self.crashes - sum(crash.certainty < CERTAIN for crash in self.named)

    @property
    def apart(self) -> bool:
        """Whether the task is to be started apart from other suspects."""
        return self.points >= APART_POINTS

    @property
    def last(self) -> bool:
        """Whether one more crash gives the task up, whatever it counts."""
        return self.heard >= MOST_CRASHES - 1 or self.crashes >= MOST_IN_ALL - 1

    @property
    def convicted(self) -> bool:
        """Whether the task is to be given up where executors do not fall by themselves."""
        return self.convicted_by(LEAST_CERTAIN)

    @property
    def beyond(self) -> bool:
        """Whether the platform bears no further start, whatever was decided."""
        known = self.certain >= LEAST_CERTAIN
        return self.heard >= MOST_IN_ALL or (known and self.crashes >= MOST_IN_ALL)

    @property
    def due(self) -> bool:
        """Whether who reads this on record is to give the task up."""
        return self.beyond or (self.convicted and not self.put_off)

    def convicted_by(self, least_certain: int) -> bool:
        """Whether the task is to be given up.

        Args:
            least_certain: Crashes that must be certain for what they count to decide. Where
                executors fall by themselves, runs of which nobody heard do not decide at all.
        """
        if self.beyond:
            return True
        if self.certain < LEAST_CERTAIN:
            return self.crashes >= MOST_IN_ALL and least_certain == LEAST_CERTAIN
        if self.heard >= MOST_CRASHES:
            return True
        return self.certain >= least_certain and self.points >= GIVE_UP_POINTS


def as_lent(loan: Loan) -> Suspicion | None:
    """Return what a loan brings along, or brings back, of crashes under its task."""
    return Suspicion(loan.crashes, loan.points, named=loan.named) if loan.crashes else None


def one_more(
    known: Suspicion | None, crash: Crash, version: int, *, alone: bool = True
) -> Suspicion:
    """Return what is known of a task after a crash, which may be known already.

    Args:
        known: What was known before.
        crash: The crash.
        version: Version of its repetition's record that will hold it.
        alone: Whether no other task was there under which an executor had crashed before.
    """
    if known is None:
        return Suspicion(1, crash.score, version, (crash,))
    if known.crash_of(crash.incarnation):
        return known
    doubted = known.unheard_of(crash.run)
    if doubted:
        # The run was at another life, then.
        return one_more(without(known, doubted.incarnation, version), crash, version, alone=alone)
    total = known.points + crash.score
    if crash.score == LEAST_POINTS or not alone:
        # A crash that may be another's convicts nobody: others were there each time, too.
        total = min(total, GIVE_UP_POINTS - 1)
    return Suspicion(known.crashes + 1, total, version, (*known.named, crash))


def unnamed(known: Suspicion, incarnation: str, version: int) -> Suspicion:
    """Return what is known of a task once a crash that named it names nobody any more.

    Args:
        known: What was known before.
        incarnation: Name of the life that ended by the crash.
        version: Version of its repetition's record that will hold it.
    """
    crash = known.crash_of(incarnation)
    if crash is None or crash.score == LEAST_POINTS:
        return known
    left = min(known.points - crash.score + LEAST_POINTS, GIVE_UP_POINTS - 1)
    named = tuple(c._replace(score=LEAST_POINTS) if c is crash else c for c in known.named)
    return replace(known, points=max(left, LEAST_POINTS), version=version, named=named)


def without(known: Suspicion, incarnation: str, version: int) -> Suspicion | None:
    """Return what is known of a task once the end of a life turns out to be no crash.

    Args:
        known: What was known before.
        incarnation: Name of the life.
        version: Version of its repetition's record that will hold it.
    """
    crash = known.crash_of(incarnation)
    if crash is None:
        return known
    if known.crashes == 1:
        return None
    crashes = known.crashes - 1
    points = max(known.points - crash.score, LEAST_POINTS * min(crashes, MOST_CRASHES - 1))
    named = tuple(other for other in known.named if other is not crash)
    return Suspicion(crashes, min(points, GIVE_UP_POINTS - 1), version, named)
