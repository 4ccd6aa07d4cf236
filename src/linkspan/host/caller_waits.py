"""How long answers to callers may wait: for their own time, and no longer than a drain."""

from __future__ import annotations

import asyncio
import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from linkspan.clock import steady

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ANSWER_MARGIN_S = 0.15
"""Time kept for the way back of an answer that is given for want of time."""

MIN_WAIT_S = 0.05
"""Time that a call gets at least, however little its caller grants."""


class CallerWaits:
    """Bounds what callers wait for.

    A process that ends cuts what it still holds, however long callers would wait, so a
    drain shortens each wait, also those that began before it.
    """

    def __init__(self) -> None:
        self._open: set[asyncio.Timeout] = set()
        self._drained_at = math.inf

    def __repr__(self) -> str:
        return f"CallerWaits(open={len(self._open)}, draining={self.draining})"

    @property
    def draining(self) -> bool:
        """Whether a drain has begun."""
        return self._drained_at < math.inf

    def drain(self, until: float) -> None:
        """End all waits early enough for an answer before a steady time."""
        self._drained_at = until - ANSWER_MARGIN_S
        at = _loop_time(self._drained_at)
        for wait in self._open:
            if not wait.expired() and (wait.when() or math.inf) > at:
                wait.reschedule(at)

    def deadline(self, granted_s: float) -> float:
        """Return the steady time by which a caller that grants so long is answered."""
        now = steady()
        wanted = min(now + granted_s - ANSWER_MARGIN_S, self._drained_at)
        return max(wanted, now + MIN_WAIT_S)

    @asynccontextmanager
    async def until(self, deadline: float) -> AsyncIterator[None]:
        """Bound a wait by a steady time.

        Raises:
            TimeoutError: The time is over, or that of a drain is.
        """
        at = _loop_time(min(deadline, self._drained_at))
        async with asyncio.timeout_at(at) as wait:
            self._open.add(wait)
            try:
                yield
            finally:
                self._open.discard(wait)


def _loop_time(at: float) -> float:
    return asyncio.get_running_loop().time() + at - steady()
