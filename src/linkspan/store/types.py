"""Interface of the log store and the types of its calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence


class Partition(NamedTuple):
    """One ordered log.

    Attributes:
        topic: Name of the topic.
        number: Number of the partition in it, from 0.
        keyed: Whether records have keys; the newest record of each key never expires.
    """

    topic: str
    number: int = 0
    keyed: bool = False


class Record(NamedTuple):
    """A record to append.

    Attributes:
        value: Content of the record; an empty value in a keyed partition removes the key.
        key: Key of the record, in keyed partitions only.
    """

    value: bytes
    key: bytes = b""


class Entry(NamedTuple):
    """A record in the log, with its offset."""

    offset: int
    value: bytes
    key: bytes = b""


class Page(NamedTuple):
    """Result of a read of records.

    Attributes:
        entries: The records, in order of offsets.
        end: Offset of the next record to be written, as of the store's answer.
    """

    entries: tuple[Entry, ...]
    end: int


class KeyPage(NamedTuple):
    """Page of the newest records of the keys.

    Attributes:
        entries: The records, in order of keys.
        end: Offset of the next record to be written, as of the store's answer.
        more: Whether there are keys after the last one of the page.
    """

    entries: tuple[Entry, ...]
    end: int
    more: bool = False


class Producer(NamedTuple):
    """Writer whose appends the store applies once, in order of their sequence numbers.

    Attributes:
        name: Name of the producer.
        epoch: Epoch of the producer; the store refuses epochs below the highest seen.
        sequence: Sequence number of the append within the epoch.
    """

    name: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Appended:
    """Result of an append.

    Attributes:
        offset: Offset of the first appended record.
        end: Offset after the last appended record.
    """

    offset: int
    end: int


class Store(Protocol):
    """An append-only log store."""

    async def append(
        self,
        partition: Partition,
        records: Sequence[Record],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        """Append records atomically.

        Args:
            partition: Partition to append to.
            records: The records; an empty sequence only sets the producer's epoch.
            at: If given, append only if the partition ends at this offset.
            producer: The producer, for appends that must be applied exactly once.

        Raises:
            StoreRefused: The store refused the call; nothing was appended.
            StoreUnanswered: No answer; the append may still take effect, even seconds later.
            OffsetConflict: The partition does not end at ``at``.
            ProducerFenced: A producer with a higher epoch has written.
            ProducerGap: The sequence number does not follow the last one.
        """

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        """Return records from ``start`` on, waiting up to ``wait_s`` for the first one.

        Raises:
            StoreRefused: The store refused the call.
            StoreUnanswered: The store did not answer.
            LogGap: The record at ``start`` has expired.
        """

    async def end(self, partition: Partition, start: int) -> int:
        """Return the offset of the next record to be written, without reading records.

        Args:
            partition: Partition whose end to return.
            start: An offset whose record has not expired.

        Raises:
            StoreRefused: The store refused the call.
            StoreUnanswered: The store did not answer.
            LogGap: The record at ``start`` has expired.
        """

    async def newest_records_page(
        self, partition: Partition, *, after: bytes | None = None
    ) -> KeyPage:
        """Return a page of the newest record of each key, from the first key or after a key on.

        Raises:
            StoreRefused: The store refused the call.
            StoreUnanswered: The store did not answer.
        """

    async def newest_records(self, partition: Partition) -> Page:
        """Return the newest record of each key.

        The records are read page by page, so they are not a consistent snapshot. The ``end`` of
        the result is that of the first page: reading from there on misses nothing.

        Raises:
            StoreRefused: The store refused the call.
            StoreUnanswered: The store did not answer.
        """
