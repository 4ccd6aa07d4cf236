"""Decisions that wait for an append or are in flight, grouped into records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.ledger.codec import MAX_RECORD_BYTES, size_bound
from linkspan.ledger.records import Placed, Record

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from linkspan.ledger.records import Decision

MAX_DECISION_BYTES = MAX_RECORD_BYTES // 2
"""Limit on the encoded size of the decisions in one record."""


class Outbox:
    """Queues decisions, and keeps sent ones until they show up in the log.

    A record that shows up late is harmless, since every decision names the state
    that it changes. The outbox therefore forgets a record after a timeout, and the
    scheduler makes its decisions again where they still apply.

    Args:
        writer: Writer name in the records.
        timeout_s: Time in seconds after which a sent record counts as lost.
    """

    def __init__(self, writer: str, timeout_s: float) -> None:
        self._writer = writer
        self._timeout_s = timeout_s
        self._serial = 0
        self._queued: dict[Decision, None] = {}
        self._sent: dict[int, tuple[float, frozenset[Decision]]] = {}

    def __repr__(self) -> str:
        return f"Outbox({self._writer!r}, queued={len(self._queued)}, sent={len(self._sent)})"

    def holds(self, decision: Decision) -> bool:
        """Return whether the decision is queued or in flight."""
        if decision in self._queued:
            return True
        return any(decision in decisions for _, decisions in self._sent.values())

    def add(self, decisions: Iterable[Decision]) -> None:
        """Queue the decisions that are neither queued nor in flight."""
        for decision in decisions:
            if not self.holds(decision):
                self._queued[decision] = None

    def placements(self) -> Iterable[Placed]:
        """Yield the placements that are queued or in flight."""
        for decision in self._queued:
            if isinstance(decision, Placed):
                yield decision
        for _, decisions in self._sent.values():
            for decision in decisions:
                if isinstance(decision, Placed):
                    yield decision

    def next_record(self, read_offset: int, now: float) -> Record | None:
        """Return the next record to append, or None when no decision is queued.

        Args:
            read_offset: First log offset that this scheduler has not read.
            now: Time in seconds.
        """
        if not self._queued:
            return None
        self._serial += 1
        decisions = tuple(self._as_many_as_fit())
        for decision in decisions:
            del self._queued[decision]
        self._sent[self._serial] = (now, frozenset(decisions))
        return Record(self._writer, self._serial, read_offset, decisions)

    def _as_many_as_fit(self) -> Iterator[Decision]:
        """Yield queued decisions in order until the next would exceed the size limit."""
        remaining = MAX_DECISION_BYTES
        for position, decision in enumerate(self._queued):
            remaining -= size_bound(decision)
            if remaining < 0 and position:
                return
            yield decision

    def on_record(self, record: Record) -> None:
        """Drop a record of this scheduler that showed up in the log."""
        if record.writer == self._writer:
            self._sent.pop(record.serial, None)

    def expire(self, now: float) -> None:
        """Forget records that did not show up in the log in time."""
        expired = [
            serial for serial, (sent, _) in self._sent.items() if now - sent > self._timeout_s
        ]
        for serial in expired:
            del self._sent[serial]
