"""What a host has read of each hall: its last summary, with its age, and the trend of waits."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from linkspan.shard.handover.summary import HallSummary

TREND_S = 6.0
"""Time over which the trend of waiting work is taken, in seconds: some four summaries, and a third
of the period of demand that swings within 17 s."""

MIN_TREND_S = 1.0
"""Time between the first and the last summary below which there is no trend, in seconds."""


class _Sample(NamedTuple):
    """Waiting work of a hall at one time, in thousandths of a core."""

    at: float
    waiting: int
    queued: int


class Growth(NamedTuple):
    """Change of a hall's waiting work a second, in thousandths of a core.

    Attributes:
        waiting: Change of what best-effort tasks wait for.
        queued: Change of what other tasks wait for.
    """

    waiting: float = 0.0
    queued: float = 0.0


class HallReading(NamedTuple):
    """The last summary of a hall, as a host has read it.

    Attributes:
        summary: The summary.
        read_at: Steady time at which it was first seen.
        growth: Trend of the hall's waiting work.
    """

    summary: HallSummary
    read_at: float
    growth: Growth = Growth()


class HallReadings:
    """Readings of halls, by shard."""

    def __init__(self) -> None:
        self._readings: dict[int, HallReading] = {}
        self._samples: dict[int, deque[_Sample]] = {}

    def __repr__(self) -> str:
        return f"HallReadings({self._readings!r})"

    @property
    def by_shard(self) -> Mapping[int, HallReading]:
        """The readings."""
        return self._readings

    def read(self, shard: int, summary: HallSummary, now: float) -> HallReading:
        """Apply the last summary of a hall and return its reading.

        A summary that is the same object as before is not newer.
        """
        known = self._readings.get(shard)
        if known is not None and known.summary is summary:
            return known
        samples = self._samples.setdefault(shard, deque())
        samples.append(_Sample(now, summary.waiting, summary.queued))
        while samples[0].at < now - TREND_S:
            samples.popleft()
        reading = HallReading(summary, now, growth_of(samples))
        self._readings[shard] = reading
        return reading


def growth_of(samples: Sequence[_Sample]) -> Growth:
    """Return the trend between the first and the last sample."""
    first, last = samples[0], samples[-1]
    span_s = last.at - first.at
    if span_s < MIN_TREND_S:
        return Growth()
    return Growth((last.waiting - first.waiting) / span_s, (last.queued - first.queued) / span_s)
