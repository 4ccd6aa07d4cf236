"""Learns what each kind of work really uses, since declared sizes are far off."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from linkspan.model.resources import NO_RESOURCES, Resources

KINDS_KEPT = 2_000
"""Kinds remembered; the one unseen for longest goes first."""

FORGET = 0.999
"""What is left of a learnt size for each smaller measurement."""

HEADROOM = 1.0
"""Room above the largest recent use, as a factor; a watermark needs none."""


@dataclass(slots=True)
class _Learnt:
    milli_cpu: float = 0.0
    memory_mb: float = 0.0
    accelerators: int = 0
    seen: int = 0


class SizeModel:
    """High use of each kind of work, which slowly forgets its peaks.

    Example:
        >>> sizes = SizeModel()
        >>> sizes.learn("merge", Resources(3000, 2000))
        >>> sizes.needed("merge", Resources(1000, 4000))
        Resources(milli_cpu=3000, memory_mb=4000, accelerators=0)
    """

    def __init__(self) -> None:
        self._kinds: OrderedDict[str, _Learnt] = OrderedDict()

    def __repr__(self) -> str:
        return f"SizeModel(kinds={len(self._kinds)})"

    def learn(self, kind: str, used: Resources) -> None:
        """Take in what one task of a kind used."""
        learnt = self._kinds.setdefault(kind, _Learnt())
        self._kinds.move_to_end(kind)
        learnt.milli_cpu = max(used.milli_cpu, learnt.milli_cpu * FORGET)
        learnt.memory_mb = max(used.memory_mb, learnt.memory_mb * FORGET)
        learnt.accelerators = max(used.accelerators, learnt.accelerators)
        learnt.seen += 1
        if len(self._kinds) > KINDS_KEPT:
            self._kinds.popitem(last=False)

    def needed(self, kind: str, declared: Resources) -> Resources:
        """Return what a task of a kind is to reserve: never less than declared."""
        learnt = self._kinds.get(kind)
        if learnt is None:
            return declared
        used = Resources(
            round(learnt.milli_cpu * HEADROOM),
            round(learnt.memory_mb * HEADROOM),
            learnt.accelerators,
        )
        return declared.elementwise_max(used if learnt.seen else NO_RESOURCES)
