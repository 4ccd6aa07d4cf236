"""Executor crashes, and which of them were simultaneous or repeated at one address."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.attempt import NEVER
from linkspan.shard.incarnation import Incarnation

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.task import Task

SIMULTANEOUS_CRASH_MARGIN_S = 0.1
"""Margin added to the interval in which an executor can have crashed: a rack loses its power in
less, and a restarted task takes longer to crash again."""

MIN_REPEATED_CRASHES = 2
"""Crashes at one address within ``RECENT_CRASH_S``, without an isolated task there, from which on
the executor itself may be at fault."""

RECENT_CRASH_S = 30.0
"""Time for which a crash counts against its address."""


class ExecutorCrash(NamedTuple):
    """The crash of an executor.

    Attributes:
        executor_id: The executor's incarnation.
        address: The executor's address.
        alive_at: Steady time at which the executor was certainly alive, the latest known.
        silent_since: Steady time since when it has been silent.
        had_isolated_task: Whether an isolated task ran there, which explains the crash.
        blamed_tasks: Tasks that the crash counts against as its likely cause.
    """

    executor_id: str
    address: str
    alive_at: float
    silent_since: float
    had_isolated_task: bool
    blamed_tasks: set[Task]

    def may_be_simultaneous_with(self, other: ExecutorCrash) -> bool:
        """Whether two executors may have crashed at the same time."""
        return (
            self.alive_at <= other.silent_since + SIMULTANEOUS_CRASH_MARGIN_S
            and other.alive_at <= self.silent_since + SIMULTANEOUS_CRASH_MARGIN_S
        )


def crash_prone_addresses(crashes: Iterable[ExecutorCrash], now: float) -> set[str]:
    """Return the addresses at which executors crashed repeatedly within ``RECENT_CRASH_S``."""
    counts = Counter(
        crash.address
        for crash in crashes
        if not crash.had_isolated_task and now - crash.silent_since < RECENT_CRASH_S
    )
    return {address for address, count in counts.items() if count >= MIN_REPEATED_CRASHES}


def last_alive_at(executor: ExecutorState) -> float:
    """Return the latest steady time at which an executor was certainly alive.

    Answers to starts count as well as reports, although they do not name the incarnation. The
    executor was alive when such a start was sent; the answer may have been applied much later.
    """
    answered = (a.ordered_at for a in executor.attempts.values() if a.confirmed_at != NEVER)
    return max([executor.alive_at, *answered])


def crash_of(executor: ExecutorState, silent_since: float) -> ExecutorCrash:
    """Return the crash of an executor that has been silent since a steady time."""
    attempts = (*executor.attempts.values(), *executor.expired_attempts)
    had_isolated_task = any(attempt.isolated for attempt in attempts)
    return ExecutorCrash(
        executor.executor_id,
        executor.record.address,
        last_alive_at(executor),
        silent_since,
        had_isolated_task,
        set(),
    )


def simultaneous_crashes(state: ShardState, executor_crash: ExecutorCrash) -> list[ExecutorCrash]:
    """Return the other executors that may have crashed at the same time."""
    silent = (
        crash_of(e, e.silent_since) for e in state.executors.values() if e.silent_since is not None
    )
    return [
        other
        for other in (*state.executor_crashes, *silent)
        if _id_without_start_time(other) != _id_without_start_time(executor_crash)
        and executor_crash.may_be_simultaneous_with(other)
    ]


def _id_without_start_time(executor_crash: ExecutorCrash) -> str:
    """Return a crashed executor's id without start time; its incarnations never overlap."""
    return Incarnation.of(executor_crash.executor_id).executor_id
