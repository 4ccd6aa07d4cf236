"""Measures the recent rate at which a service completes requests."""

from __future__ import annotations

from collections import deque


class DrainRate:
    """Rate of completed requests over a sliding window.

    Args:
        window_s: Length of the window in seconds.
        max_samples: Maximum number of completions kept.
    """

    def __init__(self, *, window_s: float = 5.0, max_samples: int = 512) -> None:
        self._window_s = window_s
        self._times: deque[float] = deque(maxlen=max_samples)

    def __repr__(self) -> str:
        return f"DrainRate(samples={len(self._times)})"

    def record(self, now: float) -> None:
        """Record a completion at ``now``, in seconds."""
        self._times.append(now)

    def reset(self) -> None:
        """Discard all samples, for example because they reflect low demand and not capacity."""
        self._times.clear()

    def per_second(self, now: float) -> float:
        """Return completions per second, or 0 if the window holds fewer than two."""
        while self._times and self._times[0] < now - self._window_s:
            self._times.popleft()
        if len(self._times) < 2:
            return 0.0
        return len(self._times) / max(now - self._times[0], 1e-3)
