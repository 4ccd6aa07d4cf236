"""Decides which best-effort runs of an executor give way to runs that are started there."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.attempt import FULL_PACE, MIN_PACE_PERCENT, Phase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.attempt import Attempt
    from linkspan.shard.planning.urgency import Precedence


class RankedRun(NamedTuple):
    """A best-effort run of an executor.

    Attributes:
        attempt: The run.
        precedence: Precedence of its step.
    """

    attempt: Attempt
    precedence: Precedence

    @property
    def milli_cpu(self) -> int:
        """Thousandths of a core that it demands at full speed."""
        return self.attempt.task.step.spec.demand.milli_cpu


class Yield(NamedTuple):
    """A run that gives way.

    Attributes:
        attempt: The run.
        pace: Its pace from now on, in percent.
    """

    attempt: Attempt
    pace: int


def may_yield(attempt: Attempt) -> bool:
    """Return whether a best-effort run may give way at all.

    The members of a gang go on together: one that is slowed down delays all of them.
    """
    spec = attempt.task.step.spec
    return attempt.phase is Phase.RUNNING and not (spec.gang or spec.standing)


def yields(
    runs: Iterable[RankedRun], starting: Iterable[RankedRun], unused_milli_cpu: float
) -> list[Yield]:
    """Return the runs that give way, so that runs that are started find the cores that they demand.

    Those that help least go first: jobs that can no longer be of use, then late ones, the largest
    run first, so that few are slowed down. Nothing gives way while all find unused cores, nor for
    more than the started runs demand.

    Args:
        runs: Best-effort runs of the executor.
        starting: Best-effort runs that are being started there.
        unused_milli_cpu: Thousandths of a core that all of these leave unused; negative if they
            demand more than there is.
    """
    starting = list(starting)
    chosen: list[Yield] = []
    missing = -unused_milli_cpu
    for run in sorted(runs, key=_cost, reverse=True):
        favoured = sum(s.milli_cpu for s in starting if run.precedence.yields_to(s.precedence))
        wanted = min(missing, favoured - sum(freed(y) for y in chosen))
        if wanted <= 0 or not run.attempt.pace or not may_yield(run.attempt):
            continue
        given = Yield(run.attempt, _pace_after(run, wanted))
        chosen.append(given)
        missing -= freed(given)
    return chosen


def freed(given: Yield) -> float:
    """Return the thousandths of a core that a run leaves to others by giving way."""
    milli_cpu = given.attempt.task.step.spec.demand.milli_cpu
    return milli_cpu * (given.attempt.pace - given.pace) / FULL_PACE


def _cost(run: RankedRun) -> tuple[int, int, int]:
    """Return the sort key of runs, those that give way first highest."""
    return run.precedence.priority, run.precedence.timeliness, run.milli_cpu


def _pace_after(run: RankedRun, wanted_milli_cpu: float) -> int:
    """Return the pace at which a run leaves some thousandths of a core to others; 0 to pause."""
    pace = run.attempt.pace - math.ceil(FULL_PACE * wanted_milli_cpu / max(run.milli_cpu, 1))
    return pace if pace >= MIN_PACE_PERCENT else 0
