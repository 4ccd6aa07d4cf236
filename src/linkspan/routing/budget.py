"""A budget that limits retries and hedged requests to a small share of the traffic."""

from __future__ import annotations


class RetryBudget:
    """Limits extra requests to a ratio of the original requests.

    Implemented as a token bucket to which each original request adds ``ratio``
    tokens. During a full outage the load grows by a factor of at most ``1 + ratio``.

    Args:
        ratio: Extra requests allowed per original request.
        burst: Capacity of the token bucket, in extra requests.

    Example:
        >>> budget = RetryBudget(ratio=0.5, burst=1)
        >>> [budget.try_withdraw(), budget.earn(), budget.earn()]
        [False, None, None]
        >>> [budget.try_withdraw(), budget.try_withdraw()]
        [True, False]
    """

    def __init__(self, *, ratio: float = 0.1, burst: float = 10.0) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = 0.0

    def __repr__(self) -> str:
        return f"RetryBudget(tokens={self._tokens:.1f})"

    def earn(self) -> None:
        """Add the tokens of one original request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_withdraw(self) -> bool:
        """Take one token for an extra request; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
