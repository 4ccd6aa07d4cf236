"""Deadlines of requests, bounded by the caller's timeout and by a drain of the host."""

from __future__ import annotations

import asyncio
import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from linkspan.clock import steady

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ANSWER_MARGIN_S = 0.15
"""Time reserved for the transfer of a timeout response to the caller, in seconds."""

MIN_WAIT_S = 0.05
"""Minimum time for a request, in seconds, however short the caller's timeout is."""


class CallerWaits:
    """Waits of requests with deadlines, which a drain brings forward.

    A process that ends closes all connections however long their callers would wait, so a drain
    shortens every wait, including those that began before it.
    """

    def __init__(self) -> None:
        self._active: set[asyncio.Timeout] = set()
        self._drain_deadline = math.inf

    def __repr__(self) -> str:
        return f"CallerWaits(open={len(self._active)}, draining={self.draining})"

    @property
    def draining(self) -> bool:
        """Whether a drain has begun."""
        return self._drain_deadline < math.inf

    def drain(self, until: float) -> None:
        """End all waits early enough to answer before a steady time."""
        self._drain_deadline = until - ANSWER_MARGIN_S
        at = _loop_time(self._drain_deadline)
        for wait in self._active:
            if not wait.expired() and (wait.when() or math.inf) > at:
                wait.reschedule(at)

    def deadline(self, timeout_s: float) -> float:
        """Return the steady time by which to answer a request, given the caller's timeout."""
        now = steady()
        latest = min(now + timeout_s - ANSWER_MARGIN_S, self._drain_deadline)
        return max(latest, now + MIN_WAIT_S)

    @asynccontextmanager
    async def until(self, deadline: float) -> AsyncIterator[None]:
        """Limit a wait to a steady time or to the deadline of a drain, whichever is earlier.

        Raises:
            TimeoutError: The deadline has passed.
        """
        at = _loop_time(min(deadline, self._drain_deadline))
        async with asyncio.timeout_at(at) as wait:
            self._active.add(wait)
            try:
                yield
            finally:
                self._active.discard(wait)


def _loop_time(at: float) -> float:
    """Convert a steady time to the clock of the event loop."""
    return asyncio.get_running_loop().time() + at - steady()
