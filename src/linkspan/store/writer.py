"""Appends records in groups, exactly once even if answers of the store are lost."""

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
"""Limits the bytes of one append to an eighth of what the store accepts, so that a call does
not occupy a slow link for longer than a retry takes."""

INITIAL_BACKOFF_S = 0.1
"""Initial backoff after a failed append, in seconds; it doubles up to ``MAX_BACKOFF_S``."""

MAX_BACKOFF_S = 0.5
"""Limits the backoff between appends, in seconds. It is a quarter of the two seconds within
which an owner must be replaced, so that the end of a store outage is noticed well in time."""


@dataclass(slots=True)
class _QueuedWrite:
    """A queued write.

    Attributes:
        records: Records to append together.
        done: Future of the offset of the first record.
        retry_refused: Whether to retry after a refusal.
        expires_at: Steady time from which it is not sent any more.
        size: Bytes of the records including their framing.
    """

    records: tuple[Record, ...]
    done: asyncio.Future[int]
    retry_refused: bool
    expires_at: float
    size: int = field(init=False)

    def __post_init__(self) -> None:
        self.size = sum(len(r.key) + len(r.value) + 5 for r in self.records)


class GroupWriter:
    """Writer of one partition that appends queued records in groups, one append at a time.

    The store deduplicates a producer's appends by sequence number. An append without an answer
    is therefore retried until it is answered, and takes effect once even if the first attempt
    arrives seconds late.

    Args:
        store: Store to write to.
        partition: Partition to write to.
        name: Name of the producer.
        epoch: Epoch of the producer.
        may_renumber: Whether the writer may begin a higher epoch when the store has lost the
            producer's sequence. Not allowed where the epoch is a fencing token.
        on_health: Called with whether the store answers, at each change.
        on_renumber: Called with the new epoch when the writer begins one.
        rewrite: Returns the record to send in a retry, given the record and the number of
            unanswered attempts; each of these may be in the log.
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
        self._queue: deque[_QueuedWrite] = deque()
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
        """Whether the last append succeeded."""
        return self._healthy

    @property
    def failed_at(self) -> float:
        """Steady time at which an append was last refused or left unanswered."""
        return self._failed_at

    def write(
        self,
        records: Sequence[Record],
        *,
        retry_refused: bool = True,
        max_age_s: float = float("inf"),
    ) -> asyncio.Future[int]:
        """Queue records and return a future of the offset of the first one.

        Args:
            records: Records to append together.
            retry_refused: Whether to retry after a refusal. Otherwise the write fails with
                ``StoreRefused`` once it is certain that none of its records was appended.
            max_age_s: Time for which to send them, in seconds. Then the write fails with
                ``StoreUnanswered``; what was sent before may still be appended. The writer must
                be one that may renumber.
        """
        done = asyncio.get_running_loop().create_future()
        write = _QueuedWrite(tuple(records), done, retry_refused, steady() + max_age_s)
        self._queue.append(write)
        self._wake.set()
        return write.done

    async def run(self) -> None:
        """Append queued records until cancelled.

        Raises:
            ProducerFenced: A producer with a higher epoch has written.
            ProducerGap: The store has lost the sequence of this producer.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            while group := self._next_group():
                await self._write_group(group)

    def _next_group(self) -> list[_QueuedWrite]:
        group: list[_QueuedWrite] = []
        size = 0
        while self._queue and (not group or size + self._queue[0].size <= MAX_GROUP_BYTES):
            write = self._queue.popleft()
            size += write.size
            group.append(write)
        return group

    async def _write_group(self, group: list[_QueuedWrite]) -> None:
        self._unanswered = 0
        backoff_s = INITIAL_BACKOFF_S
        while group := self._without_expired(group):
            try:
                offset = await self._append(group)
            except StoreRefused as error:
                self._set_health(False)
                if not self._unanswered:
                    group = _fail_without_retry(group, error)
            except StoreUnanswered:
                self._set_health(False)
                self._unanswered += 1
            except ProducerFenced as error:
                for write in group:
                    _fail(write, error)
                raise
            except ProducerGap as error:
                if not self._may_renumber:
                    for write in group:
                        _fail(write, error)
                    raise
                self._renumber()
            else:
                self._set_health(True)
                _resolve(group, offset)
                return
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _without_expired(self, group: list[_QueuedWrite]) -> list[_QueuedWrite]:
        """Give up the writes of a group that have expired, and return the others."""
        now = steady()
        expired = [write for write in group if write.expires_at <= now]
        if not expired:
            return group
        if self._unanswered:
            # An append with the same number would count as the one that holds these writes.
            self._renumber()
        for write in expired:
            _fail(write, StoreUnanswered("not appended in time"))
        return [write for write in group if write.expires_at > now]

    def _renumber(self) -> None:
        """Begin a higher epoch, after which the store carries out no append of a lower one.

        The present group may already be in the log under the old epoch. Appending it twice is
        harmless: readers apply records idempotently, and no record hides another.
        """
        self._epoch += 1
        self._sequence = 1
        self._on_renumber(self._epoch)

    async def _append(self, group: list[_QueuedWrite]) -> int:
        unanswered = self._unanswered
        records = [self._rewrite(record, unanswered) for write in group for record in write.records]
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


def _fail_without_retry(group: list[_QueuedWrite], error: StoreRefused) -> list[_QueuedWrite]:
    for write in group:
        if not write.retry_refused:
            _fail(write, error)
    return [write for write in group if write.retry_refused]


def _fail(write: _QueuedWrite, error: LinkspanError) -> None:
    if not write.done.done():
        write.done.set_exception(error)
        # Marks the exception as retrieved: asyncio would log a warning if the waiter has left.
        write.done.exception()


def _resolve(group: list[_QueuedWrite], offset: int) -> None:
    for write in group:
        if not write.done.done():
            write.done.set_result(offset)
        offset += len(write.records)
