"""Reports of lasting conditions: gauges that are set and lines that are written at intervals."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from linkspan.clock import steady

if TYPE_CHECKING:
    from linkspan.shard._context import TenureContext

CHECK_INTERVAL_S = 1.0
"""Interval between checks, unless a report has its own."""


class PeriodicReport(ABC):
    """Looks at a shard at intervals, for operators; it decides nothing.

    Args:
        context: Components of the tenure.
        interval_s: Interval between checks, in seconds.
    """

    def __init__(self, context: TenureContext, *, interval_s: float = CHECK_INTERVAL_S) -> None:
        self._core = context.core
        self._hall = context.hall
        self._metrics = context.metrics
        self._interval_s = interval_s

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self._core!r})"

    async def report_loop(self) -> None:
        """Report until the tenure ends."""
        try:
            while True:
                await asyncio.sleep(self._interval_s)
                self.report(steady())
        finally:
            self.clear()

    @abstractmethod
    def report(self, now: float) -> None:
        """Set the gauges and write the lines that are due.

        Args:
            now: Steady time.
        """

    @abstractmethod
    def clear(self) -> None:
        """Set the gauges to what they are while this host does not own the shard."""
