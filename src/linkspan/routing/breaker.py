"""A circuit breaker that keeps requests away from a failing executor for a limited time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Breaker:
    """Circuit breaker that opens after consecutive failures, then admits one probe per backoff.

    Args:
        failure_threshold: Consecutive failures that open the breaker.
        initial_backoff_s: Backoff after the breaker opens; doubles with each failed probe.
        max_backoff_s: Upper limit of the backoff before jitter is applied.
        jitter: Returns the factor to apply to a backoff, for example 0.5 to 1.5.
    """

    def __init__(
        self,
        *,
        failure_threshold: int = 5,
        initial_backoff_s: float = 1.0,
        max_backoff_s: float = 30.0,
        jitter: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._failure_threshold = failure_threshold
        self._initial_backoff_s = initial_backoff_s
        self._max_backoff_s = max_backoff_s
        self._jitter = jitter
        self._failures = 0
        self._open_count = 0
        self._open_until = 0.0
        self._probe_in_flight = False

    def __repr__(self) -> str:
        return f"Breaker(failures={self._failures}, open_until={self._open_until})"

    @property
    def is_closed(self) -> bool:
        """Whether requests pass without a limit."""
        return self._failures < self._failure_threshold

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent at ``now``, in seconds."""
        return self.is_closed or (now >= self._open_until and not self._probe_in_flight)

    def record_start(self) -> None:
        """Record that a request is sent; the request is a probe while the breaker is open."""
        self._probe_in_flight = not self.is_closed

    def record_success(self) -> None:
        """Record an answered request and close the breaker."""
        self._failures = self._open_count = 0
        self._probe_in_flight = False

    def record_abandoned(self) -> None:
        """Record a request whose end says nothing about the executor's health."""
        self._probe_in_flight = False

    def record_failure(self, now: float) -> bool:
        """Record a failed request at ``now``, in seconds.

        Returns:
            Whether this failure opened the breaker or extended its backoff.
        """
        self._probe_in_flight = False
        self._failures += 1
        if self.is_closed or (self._failures > self._failure_threshold and now < self._open_until):
            return False
        backoff = min(self._initial_backoff_s * 2**self._open_count, self._max_backoff_s)
        self._open_count += 1
        self._open_until = now + backoff * self._jitter()
        return True
