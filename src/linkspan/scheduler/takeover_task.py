"""The asyncio task that moves the queues of lost halls to live ones."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from linkspan.errors import LogGap, LogUnavailable, RecordError
from linkspan.events import Event
from linkspan.ledger.codec import decode, encode
from linkspan.ledger.ledger import Ledger
from linkspan.ledger.records import Record
from linkspan.ledger.snapshot import Recovery
from linkspan.scheduler.snapshots import ledger_stream
from linkspan.scheduler.takeover import handovers, takeover_hall, takeovers

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.ledger.records import TakenOver
    from linkspan.runtime.node import Node
    from linkspan.scheduler.core import SchedulerCore

CHECKS_PER_SILENCE = 10
"""Number of checks of the halls within the silence after which a hall counts as lost."""


class HallReader:
    """Reads another hall's ledger up to the log's end.

    Args:
        node: The daemon's node.
        hall: Name of the other hall.
    """

    def __init__(self, node: Node, hall: str) -> None:
        self._node = node
        self._hall = hall
        self._next_offset = 0
        self._recovery = Recovery(hall, 0)
        self.last_record_at = time.monotonic()

    def __repr__(self) -> str:
        return f"HallReader({self._hall!r}, next={self._next_offset})"

    async def read(self) -> Ledger | None:
        """Return the ledger at the log's end, or None until it is recovered from a snapshot.

        Raises:
            LogUnavailable: The log did not answer.
        """
        while True:
            try:
                page = await self._node.log.read(ledger_stream(self._hall), self._next_offset)
            except LogGap as gap:
                self._recovery, self._next_offset = Recovery(self._hall, gap.first), gap.first
                continue
            for entry in page.entries:
                self._next_offset = entry.offset + 1
                self.last_record_at = time.monotonic()
                with contextlib.suppress(RecordError):
                    self._recovery.feed([(entry.offset, decode(entry.body))])
            if self._next_offset >= page.end:
                return self._recovery.ledger


class TakeoverTask:
    """Hands the queue of a lost hall over to this hall, and takes the jobs over.

    A hall counts as lost when no heartbeat of its schedulers arrives and no record
    is added to its ledger for ``silence_s``. A wrong decision is harmless, since the
    order of that hall's stream decides between its placements and the handovers.

    Args:
        node: The daemon's node.
        core: The core of this scheduler.
        on_takeovers: Called with the takeover records for this hall's ledger.
        silence_s: Time in seconds without heartbeats and records after which a
            hall counts as lost.
    """

    def __init__(
        self,
        node: Node,
        core: SchedulerCore,
        on_takeovers: Callable[[list[TakenOver]], None],
        *,
        silence_s: float,
    ) -> None:
        self._node = node
        self._core = core
        self._on_takeovers = on_takeovers
        self._silence_s = silence_s
        self._started = time.monotonic()
        self._readers: dict[str, HallReader] = {}
        self._has_resent_takeovers = False

    def __repr__(self) -> str:
        return f"TakeoverTask(lost={sorted(self._readers)})"

    async def run(self) -> None:
        """Check the halls at regular intervals while this scheduler is the leader."""
        while True:
            await asyncio.sleep(self._silence_s / CHECKS_PER_SILENCE)
            now = time.monotonic()
            if not self._core.leads(now):
                self._readers.clear()
                self._has_resent_takeovers = False
                continue
            with contextlib.suppress(LogUnavailable):
                await self._resend_takeovers()
                for hall in self._silent_halls(now):
                    await self._take_over(hall)

    def _silent_halls(self, now: float) -> list[str]:
        """Return the silent halls whose queues this hall has to take over."""
        own = self._node.settings.hall
        document = self._node.config.state.document
        halls = {key.removeprefix("halls/") for key in document if key.startswith("halls/")}
        live = {own}
        for peer in self._node.directory.known(role="scheduler"):
            if now - peer.received_at <= self._silence_s:
                live.add(peer.heartbeat.hall)
        silent = sorted(halls - live) if now - self._started > self._silence_s else []
        for hall in self._readers.keys() - silent:
            del self._readers[hall]
        return [hall for hall in silent if takeover_hall(hall, live & (halls | {own})) == own]

    async def _take_over(self, hall: str) -> None:
        reader = self._readers.setdefault(hall, HallReader(self._node, hall))
        lost = await reader.read()
        if lost is None:
            return
        self._on_takeovers(list(takeovers(lost, self._core.ledger)))
        if time.monotonic() - reader.last_record_at < self._silence_s:
            return
        decisions = tuple(handovers(lost, self._node.settings.hall))
        if not decisions:
            return
        self._node.events.write(Event.HALL_LOST, lost=hall, jobs=len(decisions))
        record = Record(self._core.name, 0, lost.next_offset, decisions)
        await self._node.log.append(ledger_stream(hall), encode(record))
        handed_over = await reader.read()
        if handed_over is not None:
            self._on_takeovers(list(takeovers(handed_over, self._core.ledger)))

    async def _resend_takeovers(self) -> None:
        """Repeat the takeover records of jobs that this hall lost, once per period as leader.

        The hall that started to take the jobs over may have crashed before it recorded
        them. Its ledger ignores jobs that it has already taken over.
        """
        if self._has_resent_takeovers:
            return
        for handover in list(self._core.ledger.handovers.values()):
            record = Record(self._core.name, 0, 2**48, (handover.taken,))
            await self._node.log.append(ledger_stream(handover.hall), encode(record))
        self._has_resent_takeovers = True
