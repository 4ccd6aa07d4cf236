"""The platform's discovery, which writes the executors' entries to the store later than made."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextvars import Context
from dataclasses import dataclass, field
from math import ceil

from tests.virtual_time import world_time

Write = Callable[[], None]


@dataclass
class Discovery:
    """Writes entries in their order, each some time after it is made.

    Attributes:
        beat_s: Interval between an executor's reports of its entry, in seconds; 0 if it reports
            each change at once.
        lag_s: Time from the report until the entry is in the store, in seconds.
    """

    beat_s: float = 0.0
    lag_s: float = 0.0
    _pending: deque[tuple[float, Write]] = field(default_factory=deque)

    def write(self, write: Write) -> None:
        """Carry out a write of an entry, at once without a beat and a lag."""
        if not self.beat_s and not self.lag_s and not self._pending:
            write()
            return
        due = self._due(world_time())
        self._pending.append((due, write))
        # An empty context: the platform writes even if the calling host stops.
        asyncio.get_running_loop().call_at(due, self._write_until, due, context=Context())

    def _due(self, now: float) -> float:
        reported = ceil(now / self.beat_s) * self.beat_s if self.beat_s else now
        last = self._pending[-1][0] if self._pending else now
        return max(reported + self.lag_s, last)

    def _write_until(self, due: float) -> None:
        while self._pending and self._pending[0][0] <= due:
            _, write = self._pending.popleft()
            write()
