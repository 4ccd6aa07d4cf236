"""Amounts of resources that workers have and tasks need."""

from __future__ import annotations

from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of processors, memory and accelerators.

    Attributes:
        milli_cpu: Processor time in thousandths of a core.
        memory_mb: Memory in megabytes (10**6 bytes).
        accelerators: Whole accelerators.

    Example:
        >>> Resources(1000, 512) + Resources(500, 256, 1)
        Resources(milli_cpu=1500, memory_mb=768, accelerators=1)
        >>> Resources(1000, 512).fits_within(Resources(999, 4096))
        False
    """

    milli_cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:  # type: ignore[override]
        return Resources(
            self.milli_cpu + other.milli_cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.milli_cpu - other.milli_cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Resources:
        """Return this amount multiplied by ``count``."""
        return Resources(self.milli_cpu * count, self.memory_mb * count, self.accelerators * count)

    def fits_within(self, available: Resources) -> bool:
        """Return whether this amount is at most ``available`` in every dimension."""
        return (
            self.milli_cpu <= available.milli_cpu
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def elementwise_max(self, other: Resources) -> Resources:
        """Return the larger of both amounts in each dimension."""
        return Resources(
            max(self.milli_cpu, other.milli_cpu),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )


NO_RESOURCES = Resources()
