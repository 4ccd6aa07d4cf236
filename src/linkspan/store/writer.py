"""Appends that happen exactly once, in groups, whatever answers are lost."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import (
    LinkspanError,
    ProducerFenced,
    ProducerGap,
    StoreRefused,
    StoreUnanswered,
)
from linkspan.store.types import Producer, Record

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from linkspan.store.types import Partition, Store

MAX_GROUP_BYTES = 256 * 1024
"""Bytes in one append: an eighth of what the store takes, so that a slow link is
not held by one call for longer than a retry takes."""

RETRY_S = 0.1
"""First pause after a failed append, in seconds; doubled up to the next."""

MAX_RETRY_S = 0.5
"""Longest pause between appends: a quarter of the two seconds in which an owner
is to be replaced, so that a store that is back is noticed well within them."""


@dataclass(slots=True)
class _Item:
    """One write that waits.

    Attributes:
        records: Records to append together.
        done: Resolved with their first offset.
        patient: Whether to go on after a refusal.
        size: Bytes of the records with their frames.
    """

    records: tuple[Record, ...]
    done: asyncio.Future[int]
    patient: bool
    size: int = field(init=False)

    def __post_init__(self) -> None:
        self.size = sum(len(r.key) + len(r.value) + 5 for r in self.records)


class GroupWriter:
    """Writes records of one partition in groups, one append at a time.

    The store numbers a producer's appends, so an append without an answer is
    sent again until it gets one: it is then applied once, also when the first
    sending arrives seconds late.

    Args:
        store: Where to write.
        partition: Partition to write to.
        name: The producer's name.
        epoch: The producer's epoch.
        may_renumber: Whether the producer may begin a higher epoch of its own when
            the store lost track of it. Not for epochs that are fencing tokens.
        on_health: Called with whether the store answers, at each change.
        on_renumber: Called with the new epoch whenever one is begun.
        rewrite: Returns a record as it is sent again after so many sendings without an
            answer, each of which may stand in the log.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        *,
        name: str,
        epoch: int,
        may_renumber: bool = False,
        on_health: Callable[[bool], None] = lambda _healthy: None,
        on_renumber: Callable[[int], None] = lambda _epoch: None,
        rewrite: Callable[[Record, int], Record] = lambda record, _unanswered: record,
    ) -> None:
        self._store = store
        self._partition = partition
        self._name = name
        self._epoch = epoch
        self._may_renumber = may_renumber
        self._sequence = 1
        self._queue: deque[_Item] = deque()
        self._wake = asyncio.Event()
        self._healthy = True
        self._failed_at = float("-inf")
        self._unanswered = 0
        self._on_health = on_health
        self._on_renumber = on_renumber
        self._rewrite = rewrite

    def __repr__(self) -> str:
        return f"GroupWriter({self._partition}, {self._name!r}, {len(self._queue)} queued)"

    @property
    def healthy(self) -> bool:
        """Whether the last append was answered."""
        return self._healthy

    @property
    def failed_at(self) -> float:
        """Steady time of the last append that was refused or not answered."""
        return self._failed_at

    def write(self, records: Sequence[Record], *, patient: bool = True) -> asyncio.Future[int]:
        """Queue records and return a future of their first offset.

        Args:
            records: Records to append together.
            patient: Whether to go on after a refusal. An impatient write fails
                with ``StoreRefused`` when surely nothing of it was done.
        """
        item = _Item(tuple(records), asyncio.get_running_loop().create_future(), patient)
        self._queue.append(item)
        self._wake.set()
        return item.done

    async def run(self) -> None:
        """Write until cancelled.

        Raises:
            ProducerFenced: A higher epoch has written.
            ProducerGap: The store lost track of this producer.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            while group := self._next_group():
                await self._write_group(group)

    def _next_group(self) -> list[_Item]:
        group: list[_Item] = []
        size = 0
        while self._queue and (not group or size + self._queue[0].size <= MAX_GROUP_BYTES):
            item = self._queue.popleft()
            size += item.size
            group.append(item)
        return group

    async def _write_group(self, group: list[_Item]) -> None:
        self._unanswered = 0
        pause = RETRY_S
        while group:
            try:
                offset = await self._append(group)
            except StoreRefused as error:
                self._set_health(False)
                if not self._unanswered:
                    group = _without_impatient(group, error)
            except StoreUnanswered:
                self._set_health(False)
                self._unanswered += 1
            except ProducerFenced as error:
                for item in group:
                    _fail(item, error)
                raise
            except ProducerGap as error:
                if not self._may_renumber:
                    for item in group:
                        _fail(item, error)
                    raise
                # The store lost track of this producer. The group may be there already:
                # readers fold records idempotently, and none of them hides another.
                self._epoch += 1
                self._sequence = 1
                self._on_renumber(self._epoch)
            else:
                self._set_health(True)
                _resolve(group, offset)
                return
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RETRY_S)

    async def _append(self, group: list[_Item]) -> int:
        times = self._unanswered
        records = [self._rewrite(record, times) for item in group for record in item.records]
        producer = Producer(self._name, self._epoch, self._sequence)
        appended = await self._store.append(self._partition, records, producer=producer)
        self._sequence += 1
        return appended.offset

    def _set_health(self, healthy: bool) -> None:
        if not healthy:
            self._failed_at = steady()
        if healthy != self._healthy:
            self._healthy = healthy
            self._on_health(healthy)


def _without_impatient(group: list[_Item], error: StoreRefused) -> list[_Item]:
    for item in group:
        if not item.patient:
            _fail(item, error)
    return [item for item in group if item.patient]


def _fail(item: _Item, error: LinkspanError) -> None:
    if not item.done.done():
        item.done.set_exception(error)
        # A waiter that has left must not leave a warning behind.
        item.done.exception()


def _resolve(group: list[_Item], offset: int) -> None:
    for item in group:
        if not item.done.done():
            item.done.set_result(offset)
        offset += len(item.records)
