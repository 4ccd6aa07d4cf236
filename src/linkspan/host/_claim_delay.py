"""Measures how slow a host is, to delay its claims so that faster hosts claim a shard first."""

from __future__ import annotations

DELAY_PER_LOAD_SECOND = 0.5
"""Seconds of delay per second of loading the program. Loading is the same work on each host, so
slow hosts claim later than fast ones, by more than the interval between two checks."""

MAX_CLAIM_DELAY_S = 0.3
"""Limits the delay of a claim, in seconds. A shard without an owner starts no tasks, and a host
of its hall must claim a released shard before hosts of other halls do, which is after 0.6 s."""

LAG_DECAY = 0.9
"""Decay factor of the lag per measurement, so that a burst of load has no effect after seconds."""


class ClaimDelay:
    """Delay of a host's claims, from its load time and the lag of its event loop.

    An owner sends all orders of a hall, which takes about half a core with a hundred executors.
    Hosts of a hall differ in cores. Without a delay they would be equally likely to become the
    owner, however slow they are.

    Args:
        loaded_s: Time that the program took to load, in seconds.
    """

    def __init__(self, loaded_s: float) -> None:
        self._loaded_s = loaded_s
        self._lag_s = 0.0

    def __repr__(self) -> str:
        return f"ClaimDelay(loaded_s={self._loaded_s:.3f}, lag_s={self._lag_s:.3f})"

    @property
    def delay_s(self) -> float:
        """Time that this host waits for others to claim a shard first, in seconds."""
        return min(DELAY_PER_LOAD_SECOND * self._loaded_s + self._lag_s, MAX_CLAIM_DELAY_S)

    def record_lag(self, lag_s: float) -> None:
        """Record by how much a sleep in the event loop overran, in seconds."""
        self._lag_s = max(lag_s, LAG_DECAY * self._lag_s)
