"""Executors that fell, and which of them fell together or again and again."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.task import Task

SAME_TIME_S = 0.1
"""Added to the times between which an executor can have fallen: a rack loses its power in
less, and a task that is started again takes longer to fall once more."""

OFTEN = 2
"""Falls at one address within the time below, with no suspect tried there, from which on it may
be the executor that is at fault."""

LATELY_S = 30.0
"""Time for which a fall counts against its address."""


class Fall(NamedTuple):
    """An executor that fell.

    Attributes:
        executor_id: The executor.
        address: Where it was.
        after: Steady time of its last answer.
        by: Steady time since when it is silent.
        tried: Whether a suspect was tried there, apart from others: that explains it.
        named: Tasks that it named.
    """

    executor_id: str
    address: str
    after: float
    by: float
    tried: bool
    named: set[Task]

    def may_be_one_with(self, other: Fall) -> bool:
        """Whether two executors may have fallen at the same time."""
        return self.after <= other.by + SAME_TIME_S and other.after <= self.by + SAME_TIME_S


def falling_addresses(falls: Iterable[Fall], now: float) -> set[str]:
    """Return the addresses at which executors fell again and again of late."""
    counts = Counter(f.address for f in falls if not f.tried and now - f.by < LATELY_S)
    return {address for address, count in counts.items() if count >= OFTEN}
