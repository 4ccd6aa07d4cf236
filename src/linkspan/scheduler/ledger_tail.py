"""Reads the hall's ledger from the log, for the task that owns the core."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.errors import LogGap, RecordError
from linkspan.events import Event
from linkspan.ledger.codec import decode
from linkspan.ledger.snapshot import Recovery
from linkspan.runtime.log_tail import LogTail
from linkspan.scheduler.messages import LedgerRecovered, PageRead
from linkspan.scheduler.snapshots import ledger_stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.events import EventLog
    from linkspan.ledger.records import Record
    from linkspan.services.ports import LogPage, LogPort


class LedgerTail:
    """Follows the hall's stream from its first record, over gaps with the help of a snapshot.

    Args:
        log: The platform's log.
        events: Event log.
        hall: The hall.
        deliver: Called with each page, and with a ledger that was recovered after a gap.
    """

    def __init__(
        self,
        log: LogPort,
        events: EventLog,
        hall: str,
        deliver: Callable[[PageRead | LedgerRecovered], None],
    ) -> None:
        self._tail = LogTail(log, events, ledger_stream(hall))
        self._events = events
        self._hall = hall
        self._deliver = deliver
        self._next_offset = 0
        self._recovery: Recovery | None = None

    def __repr__(self) -> str:
        return f"LedgerTail({self._hall!r}, next={self._next_offset})"

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                page = await self._tail.read(self._next_offset)
            except LogGap as gap:
                self._events.write(Event.LOG_GAP, first=gap.first)
                self._recovery = Recovery(self._hall, gap.first)
                self._next_offset = gap.first
                continue
            if page is not None:
                self._on_page(page)

    def _on_page(self, page: LogPage) -> None:
        entries = tuple((entry.offset, _decode_or_none(entry.body)) for entry in page.entries)
        if entries:
            self._next_offset = entries[-1][0] + 1
        if self._recovery is None:
            self._deliver(PageRead(entries, page.end, self._tail.read_started_at))
        else:
            self._recover(self._recovery, entries)

    def _recover(self, recovery: Recovery, entries: tuple[tuple[int, Record | None], ...]) -> None:
        recovery.feed((offset, record) for offset, record in entries if record is not None)
        if recovery.ledger is not None:
            recovery.ledger.skip(self._next_offset - 1)
            self._deliver(LedgerRecovered(recovery.ledger))
            self._recovery = None


def _decode_or_none(body: bytes) -> Record | None:
    try:
        return decode(body)
    except RecordError:
        return None
