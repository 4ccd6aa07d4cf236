"""A bound on log lines of one kind."""

from __future__ import annotations


class LogRateLimiter:
    """Lets so many lines pass in a second and counts the others.

    Args:
        most: Lines in a second.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._second = 0
        self._passed = 0
        self._left_out = 0

    def __repr__(self) -> str:
        return f"LogRateLimiter({self._most})"

    def take(self, now: float) -> int | None:
        """Return how many lines were left out since the last one, ``None`` to leave this out.

        Args:
            now: Steady time.
        """
        second = int(now)
        if second != self._second:
            self._second, self._passed = second, 0
        if self._passed >= self._most:
            self._left_out += 1
            return None
        self._passed += 1
        left_out, self._left_out = self._left_out, 0
        return left_out
