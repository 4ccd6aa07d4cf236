"""Types that pass between the product and a log store."""

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
        keyed: Whether records have keys, of which the newest are kept for good.
    """

    topic: str
    number: int = 0
    keyed: bool = False


class Record(NamedTuple):
    """A record to append.

    Attributes:
        value: Its bytes; empty in a keyed partition drops the key.
        key: Its key, only in keyed partitions.
    """

    value: bytes
    key: bytes = b""


class Entry(NamedTuple):
    """A record and its place."""

    offset: int
    value: bytes
    key: bytes = b""


class Page(NamedTuple):
    """Records from an offset on.

    Attributes:
        entries: The records, in order.
        end: First offset that was not yet written when the store answered.
    """

    entries: tuple[Entry, ...]
    end: int


class KeyPage(NamedTuple):
    """Newest records of some keys.

    Attributes:
        entries: The records, in order of keys.
        end: First offset that was not yet written when the store answered.
        more: Whether keys follow after the last one.
    """

    entries: tuple[Entry, ...]
    end: int
    more: bool = False


class Producer(NamedTuple):
    """Writer whose appends the store applies once, in sequence.

    Attributes:
        name: Its name.
        epoch: Its epoch; the store refuses epochs below the highest seen.
        sequence: Number of the append within the epoch.
    """

    name: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Appended:
    """Outcome of an append.

    Attributes:
        offset: Offset of the first record.
        end: First offset after the records.
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
        """Append records, all or none.

        Args:
            partition: Where to.
            records: The records; none only sets the producer's epoch.
            at: Append only if the partition ends there.
            producer: Writer, for appends that are to be applied once.

        Raises:
            StoreRefused: Nothing was done.
            StoreUnanswered: No answer; it may be done, even seconds later.
            OffsetConflict: The partition does not end at ``at``.
            ProducerFenced: A higher epoch has written.
            ProducerGap: The sequence number does not follow the last one.
        """

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        """Return records from ``start`` on, waiting up to ``wait_s`` for one.

        Raises:
            StoreRefused: Nothing was done.
            StoreUnanswered: No answer.
            LogGap: Records at ``start`` are gone.
        """

    async def end(self, partition: Partition, start: int) -> int:
        """Return the offset of the next record to be written, without the records.

        Args:
            partition: Where.
            start: An offset whose record is not gone.

        Raises:
            StoreRefused: Nothing was done.
            StoreUnanswered: No answer.
            LogGap: Records at ``start`` are gone.
        """

    async def newest_page(self, partition: Partition, *, after: bytes | None = None) -> KeyPage:
        """Return the newest records of the first keys, or of those after a key.

        Raises:
            StoreRefused: Nothing was done.
            StoreUnanswered: No answer.
        """

    async def newest(self, partition: Partition) -> Page:
        """Return the newest record of each key; the pages are no snapshot.

        The page's ``end`` is that of the first answer: reading on from there
        misses nothing.

        Raises:
            StoreRefused: Nothing was done.
            StoreUnanswered: No answer.
        """
