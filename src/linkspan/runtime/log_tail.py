"""Readings of a log stream's end."""

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

LOG_WAIT_S = 2.0
"""How long a reading of the log waits for a new record. A fold is as old as the beginning of
its last reading, and a scheduler places tasks by one of five seconds at most: twice this
time has to fit, or none is placed while the log is quiet."""

LOG_RETRY_S = 0.5
"""Mean pause after the log gave no answer."""


class LogTail:
    """Reads a stream's end, with a pause and one event when the log is down.

    Args:
        log: The platform's log.
        events: Where outages are told.
        stream: The stream.
    """

    def __init__(self, log: LogPort, events: EventLog, stream: str) -> None:
        self._log = log
        self._events = events
        self._stream = stream
        self._down = False
        self.read_started_at = float("-inf")

    def __repr__(self) -> str:
        return f"LogTail({self._stream!r}, down={self._down})"

    async def read(self, start: int, *, wait_s: float = LOG_WAIT_S) -> LogPage | None:
        """Return the next page, or None after a failure and a pause.

        Raises:
            LogGap: ``start`` is past the log's retention.
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
