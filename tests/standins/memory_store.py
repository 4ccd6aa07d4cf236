"""A log store in memory, with outages, lost answers and late appends to switch on."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Sequence
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
from linkspan.store.types import Appended, Entry, Page, Partition, Producer, Record

ANSWER_S = 0.004
TIMEOUT_S = 1.0


@dataclass
class _Log:
    entries: list[Entry] = field(default_factory=list)
    first: int = 0
    epochs: dict[str, tuple[int, int]] = field(default_factory=dict)
    answers: dict[tuple[str, int, int], Appended] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        return len(self.entries)


class MemoryStore:
    """State of the store.

    Attributes:
        refusing: Hosts that get refusals.
        silent: Hosts that get no answer, and whose calls are not done.
        losing: Share of appends that are done and not answered.
        late: Whether lost appends are done seconds later.
    """

    def __init__(self, seed: int = 0) -> None:
        self._logs: defaultdict[Partition, _Log] = defaultdict(_Log)
        self.random = Random(seed)
        self.refusing: set[str] = set()
        self.silent: set[str] = set()
        self.losing = 0.0
        self.late = False

    @property
    def partitions(self) -> tuple[Partition, ...]:
        return tuple(self._logs)

    def log(self, partition: Partition) -> _Log:
        return self._logs[partition]

    def forget(self, partition: Partition) -> None:
        """Drop a partition's records; the newest of each key stay."""
        log = self._logs[partition]
        log.first = log.end

    def put(self, partition: Partition, key: bytes, value: bytes) -> None:
        """Write as the platform itself does."""
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
            log.epochs[producer.name] = (producer.epoch, producer.sequence)
            log.answers[producer] = appended
        if records:
            log.grown.set()
            log.grown = asyncio.Event()
        return appended

    def _check(self, log: _Log, producer: Producer) -> Appended | None:
        epoch, sequence = log.epochs.get(producer.name, (producer.epoch, producer.sequence - 1))
        if producer.epoch < epoch:
            raise ProducerFenced(epoch)
        if producer in log.answers:
            return log.answers[producer]
        if producer.epoch == epoch and producer.sequence != sequence + 1:
            raise ProducerGap(sequence + 1)
        return None


class StoreLink:
    """One host's way to the store."""

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
        if store.losing and store.random.random() < store.losing:
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
        def do() -> None:
            try:
                self._store.apply(partition, records, at, producer)
            except (OffsetConflict, ProducerFenced, ProducerGap):
                # Its condition no longer holds: nothing is done.
                return

        if self._store.late:
            delay = 1.0 + 5.0 * self._store.random.random()
            asyncio.get_running_loop().call_later(delay, do)
        else:
            do()
        await asyncio.sleep(TIMEOUT_S)
        raise StoreUnanswered("answer lost")

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        await self._reach()
        log = self._store.log(partition)
        if start < log.first:
            raise LogGap(log.first)
        if start >= log.end and wait_s:
            grown = log.grown
            try:
                async with asyncio.timeout(wait_s):
                    await grown.wait()
            except TimeoutError:
                return Page((), log.end)
            await self._reach()
        await asyncio.sleep(ANSWER_S / 2)
        return Page(tuple(log.entries[start:]), log.end)

    async def newest(self, partition: Partition) -> Page:
        await self._reach()
        log = self._store.log(partition)
        newest = {entry.key: entry for entry in log.entries}
        return Page(tuple(e for e in newest.values() if e.value), log.end)

    async def _reach(self) -> None:
        await asyncio.sleep(ANSWER_S / 2)
        if self._host in self._store.refusing:
            raise StoreRefused(503)
        if self._host in self._store.silent:
            await asyncio.sleep(TIMEOUT_S)
            raise StoreUnanswered("silence")
