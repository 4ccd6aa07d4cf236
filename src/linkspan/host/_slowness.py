"""How slow a host is, as it observes itself, and how long it lets others claim first."""

from __future__ import annotations

LOADING_SHARE = 0.5
"""Seconds of delay for a second of loading the program, which is the same work on each host.
Hosts of two cores load it in some 0.3 s and those of half a core in 0.7 s; apart by 0.2 s, the
first have claimed before the others look."""

MAX_DELAY_S = 0.3
"""Longest delay of a claim: a shard without an owner starts nothing, and a host of the hall is
to claim a released one before another hall's does, after 0.6 s."""

LAG_KEPT = 0.9
"""Part of a lag that still counts at the next look: a burst is forgotten within seconds."""


class Slowness:
    """Observes a host's loading and the lag of its loop.

    An owner gives the orders of a hall, some half a core at a hundred executors. Hosts of a
    hall differ by four times in cores, and the weak ones are many: unless they wait, a shard
    goes to one of them five times of six.

    Args:
        loaded_s: Time that the program took to load, in seconds.
    """

    def __init__(self, loaded_s: float) -> None:
        self._loaded_s = loaded_s
        self._lag_s = 0.0

    def __repr__(self) -> str:
        return f"Slowness(loaded_s={self._loaded_s:.3f}, lag_s={self._lag_s:.3f})"

    @property
    def delay_s(self) -> float:
        """Time for which this host lets others claim a shard first, in seconds."""
        return min(LOADING_SHARE * self._loaded_s + self._lag_s, MAX_DELAY_S)

    def note_lag(self, lag_s: float) -> None:
        """Take in by how much a sleep of the loop was too long, in seconds."""
        self._lag_s = max(lag_s, LAG_KEPT * self._lag_s)
