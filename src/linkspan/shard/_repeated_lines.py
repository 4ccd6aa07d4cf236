"""Log lines about lasting conditions, written again after a while and limited in number."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from linkspan.shard.attempt import NEVER

if TYPE_CHECKING:
    from collections.abc import Mapping

K = TypeVar("K")

MAX_LINES_PER_CHECK = 10
"""Limits the lines of one check; the conditions that have lasted longest come first."""


class RepeatedLines(Generic[K]):
    """Decides which conditions get a line at a check.

    Args:
        repeat_s: Time after which a condition that lasts gets another line, in seconds. It is
            a little below a multiple of the interval between checks.
    """

    def __init__(self, repeat_s: float) -> None:
        self._repeat_s = repeat_s
        self._written_at: dict[K, float] = {}

    def __repr__(self) -> str:
        return f"RepeatedLines({self._repeat_s})"

    def due(self, lasted_s: Mapping[K, float], now: float) -> list[K]:
        """Return the conditions that get a line now, the longest-lasting first.

        Args:
            lasted_s: All conditions found at this check, with the time that each has lasted.
            now: Steady time.

        Example:
            >>> lines = RepeatedLines(2.5)
            >>> lines.due({"a": 3.0, "b": 9.0}, 10.0), lines.due({"a": 4.0}, 11.0)
            (['b', 'a'], [])
            >>> lines.due({"a": 6.0}, 13.0)
            ['a']
        """
        self._written_at = {k: at for k, at in self._written_at.items() if k in lasted_s}
        due_before = now - self._repeat_s
        due = [k for k in lasted_s if self._written_at.get(k, NEVER) <= due_before]
        due.sort(key=lambda key: -lasted_s[key])
        del due[MAX_LINES_PER_CHECK:]
        self._written_at |= dict.fromkeys(due, now)
        return due
