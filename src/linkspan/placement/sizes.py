"""Learns the resources that each kind of work uses, since declared sizes are inaccurate."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from linkspan.model.resources import NO_RESOURCES, Resources

MAX_KINDS = 2_000
"""Limit on the kinds kept; the least recently measured kind is dropped first."""

PEAK_DECAY = 0.999
"""Decay of the learned peak per measurement below it, as a factor."""

HEADROOM_FACTOR = 1.0
"""Reserved resources as a factor of the learned peak; a peak needs no extra margin."""


@dataclass(slots=True)
class _LearnedPeak:
    milli_cpu: float = 0.0
    memory_mb: float = 0.0
    accelerators: int = 0
    samples: int = 0


class SizeModel:
    """Decaying peak of the resource use of each kind of work.

    Example:
        >>> sizes = SizeModel()
        >>> sizes.learn("merge", Resources(3000, 2000))
        >>> sizes.needed("merge", Resources(1000, 4000))
        Resources(milli_cpu=3000, memory_mb=4000, accelerators=0)
    """

    def __init__(self) -> None:
        self._kinds: OrderedDict[str, _LearnedPeak] = OrderedDict()

    def __repr__(self) -> str:
        return f"SizeModel(kinds={len(self._kinds)})"

    def learn(self, kind: str, used: Resources) -> None:
        """Update the peak of a kind with the resources that one of its tasks used."""
        peak = self._kinds.setdefault(kind, _LearnedPeak())
        self._kinds.move_to_end(kind)
        peak.milli_cpu = max(used.milli_cpu, peak.milli_cpu * PEAK_DECAY)
        peak.memory_mb = max(used.memory_mb, peak.memory_mb * PEAK_DECAY)
        peak.accelerators = max(used.accelerators, peak.accelerators)
        peak.samples += 1
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)

    def needed(self, kind: str, declared: Resources) -> Resources:
        """Return the resources that a task of a kind has to reserve, at least the declared ones."""
        peak = self._kinds.get(kind)
        if peak is None:
            return declared
        used = Resources(
            round(peak.milli_cpu * HEADROOM_FACTOR),
            round(peak.memory_mb * HEADROOM_FACTOR),
            peak.accelerators,
        )
        return declared.elementwise_max(used if peak.samples else NO_RESOURCES)
