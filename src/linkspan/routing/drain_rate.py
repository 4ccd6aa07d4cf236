"""How fast a service's requests leave, measured over the last seconds."""

from __future__ import annotations

from collections import deque


class DrainRate:
    """Rate of completions over a sliding window.

    Args:
        window_s: Length of the window in seconds.
        samples: Most completions that are remembered.
    """

    def __init__(self, *, window_s: float = 5.0, samples: int = 512) -> None:
        self._window_s = window_s
        self._times: deque[float] = deque(maxlen=samples)

    def __repr__(self) -> str:
        return f"DrainRate(samples={len(self._times)})"

    def note(self, now: float) -> None:
        """Count a completion at this time, in seconds."""
        self._times.append(now)

    def forget(self) -> None:
        """Begin anew: what was seen tells nothing of what could have left."""
        self._times.clear()

    def per_second(self, now: float) -> float:
        """Return completions a second, 0 when there were none lately."""
        while self._times and self._times[0] < now - self._window_s:
            self._times.popleft()
        if len(self._times) < 2:
            return 0.0
        return len(self._times) / max(now - self._times[0], 1e-3)
