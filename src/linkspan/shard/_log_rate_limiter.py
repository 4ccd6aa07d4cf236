"""Rate limit for log lines of one kind."""

from __future__ import annotations


class LogRateLimiter:
    """Admits a limited number of lines per second and counts the suppressed ones.

    Args:
        max_per_s: Number of lines admitted per second.
    """

    def __init__(self, max_per_s: int) -> None:
        self._max_per_s = max_per_s
        self._second = 0
        self._admitted = 0
        self._suppressed = 0

    def __repr__(self) -> str:
        return f"LogRateLimiter({self._max_per_s})"

    def admit(self, now: float) -> int | None:
        """Decide whether a line may be written.

        Args:
            now: Steady time.

        Returns:
            Number of lines suppressed since the last admitted one, or ``None`` if this line is
            suppressed, too.
        """
        second = int(now)
        if second != self._second:
            self._second, self._admitted = second, 0
        if self._admitted >= self._max_per_s:
            self._suppressed += 1
            return None
        self._admitted += 1
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed
