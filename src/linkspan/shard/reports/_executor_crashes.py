"""Executors that fell, and which of them fell together or again and again."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.task import Task

SIMULTANEOUS_CRASH_MARGIN_S = 0.1
"""Added to the times between which an executor can have fallen: a rack loses its power in
less, and a task that is started again takes longer to fall once more."""

MIN_REPEATED_CRASHES = 2
"""Falls at one address within the time below, with no suspect tried there, from which on it may
be the executor that is at fault."""

RECENT_CRASH_S = 30.0
"""Time for which a fall counts against its address."""


class ExecutorCrash(NamedTuple):
    """An executor that fell.

    Attributes:
        executor_id: The executor.
        address: Where it was.
        after: Steady time of its last answer.
        by: Steady time since when it is silent.
        had_isolated_task: Whether a suspect was tried there, apart from others: that explains it.
        blamed_tasks: Tasks that it named.
    """

    executor_id: str
    address: str
    after: float
    by: float
    had_isolated_task: bool
    blamed_tasks: set[Task]

    def may_be_simultaneous_with(self, other: ExecutorCrash) -> bool:
        """Whether two executors may have fallen at the same time."""
        return (
            self.after <= other.by + SIMULTANEOUS_CRASH_MARGIN_S
            and other.after <= self.by + SIMULTANEOUS_CRASH_MARGIN_S
        )


def crash_prone_addresses(falls: Iterable[ExecutorCrash], now: float) -> set[str]:
    """Return the addresses at which executors fell again and again of late."""
    counts = Counter(
        f.address for f in falls if not f.had_isolated_task and now - f.by < RECENT_CRASH_S
    )
    return {address for address, count in counts.items() if count >= MIN_REPEATED_CRASHES}
