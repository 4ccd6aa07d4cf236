"""Reads new records at the end of a log stream."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from linkspan.errors import LogUnavailable
from linkspan.events import Event

if TYPE_CHECKING:
    from linkspan.events import EventLog
    from linkspan.services.ports import LogPage, LogPort

LOG_READ_WAIT_S = 2.0
"""Time for which a read waits for a new record.

State computed from the log is as old as the start of its last read, and a scheduler places tasks
only by state of at most 5 s. Twice this time must fit into that limit, or no task is placed while
the log has no new records."""

LOG_RETRY_S = 0.5
"""Mean delay before the next read after the log did not respond."""


class LogTail:
    """Reads a stream, with a delay after failures and one log event per outage.

    Args:
        log: The platform's log.
        events: Event log for the start and end of outages.
        stream: Name of the stream.
    """

    def __init__(self, log: LogPort, events: EventLog, stream: str) -> None:
        self._log = log
        self._events = events
        self._stream = stream
        self._down = False
        self.read_started_at = float("-inf")

    def __repr__(self) -> str:
        return f"LogTail({self._stream!r}, down={self._down})"

    async def read(self, start: int, *, wait_s: float = LOG_READ_WAIT_S) -> LogPage | None:
        """Return the next page, or None after a failed read and a delay.

        Raises:
            LogGap: The log no longer retains the record at ``start``.
        """
        self.read_started_at = time.monotonic()
        try:
            page = await self._log.read(self._stream, start, wait_s=wait_s)
        except LogUnavailable as error:
            if not self._down:
                self._events.write(Event.LOG_DOWN, stream=self._stream, reason=str(error))
            self._down = True
            await asyncio.sleep(LOG_RETRY_S * random.uniform(0.5, 1.5))
            return None
        if self._down:
            self._down = False
            self._events.write(Event.LOG_BACK, stream=self._stream)
        return page
