"""Rate limit for this scheduler's appends to the log, with backoff after failures."""

from __future__ import annotations

import random


class AppendBudget:
    """A token bucket that limits appends to this scheduler's share of the hall's rate.

    Args:
        per_s: Appends per second for the whole hall.
        rng: Random generator for the backoff jitter.
    """

    MAX_BACKOFF_S = 5.0

    def __init__(self, per_s: float, *, rng: random.Random | None = None) -> None:
        self._appends_per_s = per_s
        self._random = rng or random.Random()
        self._tokens = 1.0
        self._refilled_at = 0.0
        self._failures = 0
        self._blocked_until = 0.0

    def __repr__(self) -> str:
        return f"AppendBudget(per_s={self._appends_per_s}, failures={self._failures})"

    def allows(self, now: float, schedulers: int) -> bool:
        """Return whether an append is allowed now.

        Args:
            now: Time in seconds.
            schedulers: Number of schedulers that share the hall's rate.
        """
        rate = self._appends_per_s / max(schedulers, 1)
        self._tokens = min(2.0, self._tokens + (now - self._refilled_at) * rate)
        self._refilled_at = now
        return self._tokens >= 1.0 and now >= self._blocked_until

    def spend(self) -> None:
        """Take the token of one append."""
        self._tokens -= 1.0

    def on_append_finished(self, now: float, *, answered: bool) -> None:
        """Record the end of an append; consecutive failures delay the next one exponentially."""
        if answered:
            self._failures = 0
            return
        self._failures += 1
        backoff = min(0.2 * 2**self._failures, self.MAX_BACKOFF_S)
        self._blocked_until = now + backoff * self._random.uniform(0.5, 1.0)
