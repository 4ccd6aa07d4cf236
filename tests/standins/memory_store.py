"""A log store in memory, with outages, lost answers and late appends for tests to switch on."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Sequence
from contextvars import Context
from dataclasses import dataclass, field
from random import Random

from linkspan.errors import (
    LogGap,
    OffsetConflict,
    ProducerFenced,
    ProducerGap,
    StoreRefused,
    StoreUnanswered,
)
from linkspan.store.types import Appended, Entry, KeyPage, Page, Partition, Producer, Record

ANSWER_S = 0.004
TIMEOUT_S = 1.0

MAX_READ_RECORDS = 40
"""Maximum records in one answer to a read: few, so that readers receive groups in parts."""

MAX_PAGE_KEYS = 20
"""Maximum keys in one page of the newest records. The pages are read at different times."""


@dataclass
class _Log:
    entries: list[Entry] = field(default_factory=list)
    first: int = 0
    epochs: dict[str, tuple[int, int]] = field(default_factory=dict)
    answers: dict[tuple[str, int, int], Appended] = field(default_factory=dict)
    forgotten: set[str] = field(default_factory=set)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        return len(self.entries)


class MemoryStore:
    """State of the store.

    Attributes:
        refusing: Hosts whose calls are refused.
        silent: Hosts whose calls are neither carried out nor answered.
        silent_topics: Topics of which a host's reads are not answered, by host.
        read_duration_s: Duration of answers to reads in seconds, by host and topic.
        lost_answer_share: Probability that an append is carried out but not answered.
        late: Whether appends without an answer are carried out seconds later.
        page_delays: Delays in seconds of a host's next calls for pages of newest records, by
            host and partition.
    """

    def __init__(self, seed: int = 0) -> None:
        self._logs: defaultdict[Partition, _Log] = defaultdict(_Log)
        self.random = Random(seed)
        self.refusing: set[str] = set()
        self.silent: set[str] = set()
        self.silent_topics: defaultdict[str, set[str]] = defaultdict(set)
        self.read_duration_s: dict[tuple[str, str], float] = {}
        self.lost_answer_share = 0.0
        self.late = False
        self.page_delays: defaultdict[tuple[str, Partition], list[float]] = defaultdict(list)

    @property
    def partitions(self) -> tuple[Partition, ...]:
        """Partitions used so far."""
        return tuple(self._logs)

    def log(self, partition: Partition) -> _Log:
        return self._logs[partition]

    def calm(self) -> None:
        """End all refusals, silences and losses."""
        self.refusing.clear()
        self.silent.clear()
        self.lost_answer_share = 0.0

    def forget(self, partition: Partition) -> None:
        """Drop a partition's records except the newest one of each key."""
        log = self._logs[partition]
        log.first = log.end

    def forget_producers(self, partition: Partition) -> None:
        """Forget the sequences of all producers: each has to begin a higher epoch."""
        log = self._logs[partition]
        log.forgotten.update(log.epochs)
        log.epochs.clear()
        log.answers.clear()

    def put(self, partition: Partition, key: bytes, value: bytes) -> None:
        """Write one record without condition or producer, as the platform does."""
        self.apply(partition, [Record(value, key)], None, None)

    def apply(
        self,
        partition: Partition,
        records: Sequence[Record],
        at: int | None,
        producer: Producer | None,
    ) -> Appended:
        log = self._logs[partition]
        if at is not None and log.end != at:
            raise OffsetConflict(log.end)
        if producer:
            answered = self._check(log, producer)
            if answered:
                return answered
        offset = log.end
        for record in records:
            log.entries.append(Entry(log.end, record.value, record.key))
        appended = Appended(offset, log.end)
        if producer:
            log.forgotten.discard(producer.name)
            log.epochs[producer.name] = (producer.epoch, producer.sequence)
            log.answers[producer] = appended
        if records:
            log.grown.set()
            log.grown = asyncio.Event()
        return appended

    def _check(self, log: _Log, producer: Producer) -> Appended | None:
        if producer.name in log.forgotten and producer.sequence > 1:
            raise ProducerGap(1)
        epoch, sequence = log.epochs.get(producer.name, (producer.epoch, producer.sequence - 1))
        if producer.epoch < epoch:
            raise ProducerFenced(epoch)
        if producer in log.answers:
            return log.answers[producer]
        if producer.epoch == epoch and producer.sequence != sequence + 1:
            raise ProducerGap(sequence + 1)
        return None


class StoreLink:
    """Link of one host to the store."""

    listed_keys = MAX_PAGE_KEYS
    read_records = MAX_READ_RECORDS

    def __init__(self, store: MemoryStore, host: str) -> None:
        self._store = store
        self._host = host

    async def append(
        self,
        partition: Partition,
        records: Sequence[Record],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        await self._reach()
        store = self._store
        if store.lost_answer_share and store.random.random() < store.lost_answer_share:
            await self._lose(partition, records, at, producer)
        answer = store.apply(partition, records, at, producer)
        await asyncio.sleep(ANSWER_S / 2)
        return answer

    async def _lose(
        self,
        partition: Partition,
        records: Sequence[Record],
        at: int | None,
        producer: Producer | None,
    ) -> None:
        def append_lost() -> None:
            try:
                self._store.apply(partition, records, at, producer)
            except (OffsetConflict, ProducerFenced, ProducerGap):
                # The condition of the append no longer holds: the store does nothing.
                return

        if self._store.late:
            delay = 1.0 + 5.0 * self._store.random.random()
            # An empty context: the store appends even if the calling host stops.
            asyncio.get_running_loop().call_later(delay, append_lost, context=Context())
        else:
            append_lost()
        await asyncio.sleep(TIMEOUT_S)
        raise StoreUnanswered("answer lost")

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        await self._reach(reads=partition.topic)
        log = self._store.log(partition)
        if start < log.first:
            raise LogGap(log.first)
        if start >= log.end and wait_s:
            grown = log.grown
            try:
                async with asyncio.timeout(wait_s):
                    await grown.wait()
            except TimeoutError:
                page = Page((), log.end)
                await self._send_answer(partition)
                return page
            await self._reach(reads=partition.topic)
        page = Page(tuple(log.entries[start : start + self.read_records]), log.end)
        await self._send_answer(partition)
        return page

    async def end(self, partition: Partition, start: int) -> int:
        await self._reach()
        log = self._store.log(partition)
        if start < log.first:
            raise LogGap(log.first)
        end = log.end
        await self._send_answer(partition)
        return end

    async def newest_records(self, partition: Partition) -> Page:
        entries: list[Entry] = []
        end = -1
        after: bytes | None = None
        while True:
            page = await self.newest_records_page(partition, after=after)
            end = page.end if end < 0 else end
            entries += page.entries
            if not page.more:
                return Page(tuple(entries), end)
            after = page.entries[-1].key

    async def newest_records_page(
        self, partition: Partition, *, after: bytes | None = None
    ) -> KeyPage:
        delays = self._store.page_delays[self._host, partition]
        await asyncio.sleep(delays.pop(0) if delays else 0.0)
        await self._reach(reads=partition.topic)
        log = self._store.log(partition)
        newest = {entry.key: entry for entry in log.entries if entry.key > (after or b"")}
        rows = sorted((e for e in newest.values() if e.value), key=lambda e: e.key)
        page = KeyPage(tuple(rows[: self.listed_keys]), log.end, len(rows) > self.listed_keys)
        await self._send_answer(partition)
        return page

    async def _send_answer(self, partition: Partition) -> None:
        duration_s = self._store.read_duration_s.get((self._host, partition.topic), 0.0)
        await asyncio.sleep(max(ANSWER_S / 2, duration_s))

    async def _reach(self, *, reads: str = "") -> None:
        await asyncio.sleep(ANSWER_S / 2)
        if self._host in self._store.refusing:
            raise StoreRefused(503)
        if self._host in self._store.silent or reads in self._store.silent_topics[self._host]:
            await asyncio.sleep(TIMEOUT_S)
            raise StoreUnanswered("silence")
