"""Snapshots of the ledger and the configuration, written before the log drops old records."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from linkspan.errors import LogUnavailable
from linkspan.events import Event
from linkspan.ledger.codec import encode
from linkspan.ledger.records import Record
from linkspan.ledger.snapshot import snapshot_parts

if TYPE_CHECKING:
    from linkspan.ledger.ledger import Ledger
    from linkspan.runtime.node import Node
    from linkspan.settings import SchedulerSettings

RETRY_S = 5.0
"""Delay after a snapshot that could not be appended to the log."""


def ledger_stream(hall: str) -> str:
    """Return the name of a hall's ledger stream in the platform's log."""
    return f"ledger-{hall}"


class Snapshots:
    """Appends a snapshot after a number of records or a time, whichever comes first.

    Args:
        node: The daemon's node.
        settings: The settings, with the snapshot intervals.
    """

    def __init__(self, node: Node, settings: SchedulerSettings) -> None:
        self._node = node
        self._settings = settings
        self._last_offset = 0
        self._last_time_s = time.monotonic()
        self._in_progress = False

    def __repr__(self) -> str:
        return f"Snapshots(offset={self._last_offset}, in_progress={self._in_progress})"

    def start_if_due(self, ledger: Ledger) -> None:
        """Start a snapshot if one is due and none is in progress."""
        records = ledger.next_offset - self._last_offset
        is_late = time.monotonic() - self._last_time_s >= self._settings.snapshot_s
        if self._in_progress or not (is_late or records >= self._settings.snapshot_records):
            return
        self._in_progress = True
        self._node.spawn(self._append(ledger))

    async def _append(self, ledger: Ledger) -> None:
        """Append the current state in parts, at the rate that the settings allow for appends."""
        offset, parts = ledger.next_offset, snapshot_parts(ledger)
        stream = ledger_stream(self._settings.hall)
        try:
            for part in parts:
                record = Record(self._node.name, 0, ledger.next_offset, (part,))
                await self._node.log.append(stream, encode(record))
                await asyncio.sleep(1.0 / self._settings.appends_per_s)
            await self._node.snapshot_config()
            self._last_offset, self._last_time_s = offset, time.monotonic()
            total_bytes = sum(len(part.body) for part in parts)
            self._node.events.write(
                Event.SNAPSHOT, as_of=offset, parts=len(parts), bytes=total_bytes
            )
        except LogUnavailable:
            await asyncio.sleep(RETRY_S)
        finally:
            self._in_progress = False
