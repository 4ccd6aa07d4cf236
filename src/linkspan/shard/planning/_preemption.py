"""Finds the best-effort runs whose stop frees memory or accelerators at the least loss."""

from __future__ import annotations

from itertools import accumulate
from typing import TYPE_CHECKING, NamedTuple

from linkspan.jobs.spec import Demand
from linkspan.shard.attempt import FULL_PACE, FULL_PROGRESS, Phase

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState

STOP_S = 0.9
"""Longest time from the stop of a run to its end."""

RESTART_S = 0.5
"""Work that each stop costs, in seconds at full speed, even if a checkpoint saves the rest."""

NEVER_ENDS = float("inf")
"""Time until an executor has enough free resources if its runs do not end by themselves."""


class Preemption(NamedTuple):
    """Runs of one executor to stop.

    Attributes:
        runs: The runs.
        loss: Work that is thrown away, in core-seconds.
    """

    runs: list[Attempt]
    loss: float


def covers(freed: Demand, shortage: Demand) -> bool:
    """Return whether freed memory and accelerators cover a shortage."""
    return freed.memory_mb >= shortage.memory_mb and freed.gpus >= shortage.gpus


def freed_by(attempts: list[Attempt]) -> Demand:
    """Return the memory and accelerators of some runs."""
    demands = [a.task.step.spec.demand for a in attempts]
    return Demand(0, sum(d.memory_mb for d in demands), sum(d.gpus for d in demands))


def covered_in_s(executor: ExecutorState, shortage: Demand, now: float) -> float:
    """Return the seconds until runs that end by themselves are expected to cover a shortage."""
    memory_mb, gpus = shortage.memory_mb, shortage.gpus
    ends = ((_ends_in_s(a, now), a) for a in executor.attempts.values())
    for ends_in_s, attempt in sorted(ends, key=lambda entry: entry[0]):
        demand = attempt.task.step.spec.demand
        memory_mb -= demand.memory_mb
        gpus -= demand.gpus
        if memory_mb <= 0 and gpus <= 0:
            return ends_in_s
    return NEVER_ENDS


def cheapest_preemption(executor: ExecutorState, shortage: Demand, now: float) -> Preemption | None:
    """Return the runs to stop so that a shortage is covered, those with the least loss first.

    Runs that are being stopped count as stopped. Returns ``None`` if all stops together do not
    cover the shortage.
    """
    attempts = executor.all_best_effort()
    stopping = [a for a in attempts if a.phase is Phase.STOPPING]
    runs = sorted((a for a in attempts if _may_stop(a)), key=lambda a: _concern(a, now))
    freed = accumulate(runs, lambda chosen, run: [*chosen, run], initial=stopping)
    for chosen in freed:
        if covers(freed_by(chosen), shortage):
            break
    else:
        return None
    # Runs with little to lose may be too small to matter beside a larger one.
    for run in reversed(chosen[len(stopping) :]):
        others = [a for a in chosen if a is not run]
        if covers(freed_by(others), shortage):
            chosen = others
    stops = chosen[len(stopping) :]
    return Preemption(stops, sum(_loss(run, now) for run in stops))


def stoppable_memory(executor: ExecutorState) -> int:
    """Return the megabytes of memory of best-effort runs that are stopped if other work needs it.

    Includes runs that are being started or stopped.
    """
    runs = executor.all_best_effort()
    return sum(a.task.step.spec.demand.memory_mb for a in runs if _is_of_stoppable_step(a))


def _may_stop(attempt: Attempt) -> bool:
    """Whether a best-effort run may be stopped in favour of work with a reservation now."""
    return attempt.phase is Phase.RUNNING and _is_of_stoppable_step(attempt)


def _is_of_stoppable_step(attempt: Attempt) -> bool:
    """Whether runs of a step are ever stopped in favour of work with a reservation.

    The stop of one task of a gang loses the work of all, and the placement policy of a queue may
    refuse a ticket for any other executor.
    """
    step = attempt.task.step
    if step.spec.gang or step.spec.standing:
        return False
    return not (step.run.job.requires_ticket or step.run.job.closing)


def _concern(attempt: Attempt, now: float) -> float:
    """Return the loss by a stop, weighted so that the same task is not stopped again and again."""
    return _loss(attempt, now) * (1 + attempt.task.preemptions)


def _loss(attempt: Attempt, now: float) -> float:
    """Return the work that a stop throws away, in core-seconds.

    A run that saves checkpoints saves one when it is stopped.
    """
    spec = attempt.task.step.spec
    done_s = 0.0 if spec.checkpoints else attempt.full_pace_s_at(now)
    return (done_s + RESTART_S) * spec.demand.milli_cpu / 1000


def _ends_in_s(attempt: Attempt, now: float) -> float:
    """Return the seconds until a run is expected to end."""
    if attempt.phase is Phase.STOPPING:
        return max(attempt.stop_sent_at + STOP_S - now, 0.0)
    step = attempt.task.step
    if step.spec.standing or not attempt.pace:
        return NEVER_ENDS
    expected_s = step.run.job.expected_durations_s[step.index]
    if attempt.progress:
        left_s = expected_s * (1.0 - attempt.progress / FULL_PROGRESS)
    else:
        left_s = max(expected_s - attempt.full_pace_s_at(now), 0.0)
    return left_s * FULL_PACE / attempt.pace
