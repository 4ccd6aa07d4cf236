"""The tail of the ledger, where the log no longer has the records that a scheduler asks for."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.ledger.codec import encode
from linkspan.ledger.records import Decision, Record, Submitted
from linkspan.ledger.snapshot import snapshot_parts
from linkspan.scheduler.ledger_tail import LedgerTail
from linkspan.scheduler.messages import LedgerRecovered, PageRead
from linkspan.scheduler.snapshots import ledger_stream
from linkspan.services.ports import LogPage
from tests.builders import LedgerBuilder, job
from tests.event_recorder import EventRecorder
from tests.standins.fake_log import FakeLog

HALL = "rennes-a"
STREAM = ledger_stream(HALL)


class _EndingLog:
    """A log that gets one more record at each read at its end, and then cancels its reader."""

    def __init__(self, log: FakeLog, *more: Decision) -> None:
        self._log = log
        self._more = [(decision,) for decision in more]

    async def append(self, stream: str, body: bytes) -> int:
        raise NotImplementedError

    async def read(self, stream: str, start: int, *, wait_s: float = 0.0) -> LogPage:
        page = self._log.read(stream, start)
        if page.entries:
            return page
        if not self._more:
            raise asyncio.CancelledError
        self._log.append(stream, _record(start, *self._more.pop(0)))
        return self._log.read(stream, start)


def _record(offset: int, *decisions: Decision) -> bytes:
    return encode(Record("s1", offset, offset, decisions))


def test_a_ledger_after_a_gap_is_recovered_once_and_pages_follow_it() -> None:
    """Guards against a scheduler that decides by a ledger whose first records it never read.

    The tail delivers nothing before a whole snapshot, then the ledger, then the pages behind it.
    """
    log = FakeLog()
    built = LedgerBuilder(HALL).with_worker().with_job(job("a"))
    (part,) = snapshot_parts(built.ledger)
    for body in (b"dropped", b"dropped"):
        log.append(STREAM, body)
    for offset, decision in enumerate((Submitted(job("b")), part, Submitted(job("c"))), 2):
        log.append(STREAM, _record(offset, decision))
    log.append(STREAM, b"\xff")
    log.firsts[STREAM] = 2
    events, delivered = EventRecorder(), list[PageRead | LedgerRecovered]()
    tail = LedgerTail(_EndingLog(log, Submitted(job("d"))), events, HALL, delivered.append)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(tail.run())
    assert events.named("LOG_GAP") == [{"first": 2}]
    recovered, page = delivered
    assert isinstance(recovered, LedgerRecovered)
    assert set(recovered.ledger.job_numbers) == {"a", "b", "c"}
    assert recovered.ledger.next_offset == 6
    assert isinstance(page, PageRead)
    assert [offset for offset, _ in page.entries] == [6]
