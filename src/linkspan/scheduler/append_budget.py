"""This scheduler's part of the log's appends, with backoff after failures."""

from __future__ import annotations

import random


class AppendBudget:
    """A token bucket of appends.

    Args:
        per_s: Appends a second for the whole hall.
        rng: Source of the backoff's jitter.
    """

    MAX_BACKOFF_S = 5.0

    def __init__(self, per_s: float, *, rng: random.Random | None = None) -> None:
        self._per_s = per_s
        self._random = rng or random.Random()
        self._tokens = 1.0
        self._filled = 0.0
        self._failures = 0
        self._blocked_until = 0.0

    def __repr__(self) -> str:
        return f"AppendBudget(per_s={self._per_s}, failures={self._failures})"

    def allows(self, now: float, schedulers: int) -> bool:
        """Return whether an append may be made now.

        Args:
            now: Time in seconds.
            schedulers: Schedulers that share the hall's part.
        """
        rate = self._per_s / max(schedulers, 1)
        self._tokens = min(2.0, self._tokens + (now - self._filled) * rate)
        self._filled = now
        return self._tokens >= 1.0 and now >= self._blocked_until

    def spend(self) -> None:
        """Count an append."""
        self._tokens -= 1.0

    def finished(self, now: float, *, answered: bool) -> None:
        """Note an append's end; failures in a row put the next one off."""
        if answered:
            self._failures = 0
            return
        self._failures += 1
        backoff = min(0.2 * 2**self._failures, self.MAX_BACKOFF_S)
        self._blocked_until = now + backoff * self._random.uniform(0.5, 1.0)
