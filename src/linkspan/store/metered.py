"""Wrapper around a store that counts and times its calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import LinkspanError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Sequence
    from typing import TypeVar

    from linkspan.metrics import HostMetrics
    from linkspan.store.types import Appended, KeyPage, Page, Partition, Producer, Record, Store

    T = TypeVar("T")


class MeteredStore:
    """Forwards calls to a store and records their outcomes and durations as metrics.

    Args:
        store: Store to forward calls to.
        metrics: Metrics of the host.
    """

    def __init__(self, store: Store, metrics: HostMetrics) -> None:
        self._store = store
        self._metrics = metrics

    def __repr__(self) -> str:
        return f"MeteredStore({self._store!r})"

    async def append(
        self,
        partition: Partition,
        records: Sequence[Record],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        """Append records; see :meth:`linkspan.store.types.Store.append`."""
        pending_call = self._store.append(partition, records, at=at, producer=producer)
        return await self._timed("append", pending_call)

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        """Read records; see :meth:`linkspan.store.types.Store.read`."""
        pending_call = self._store.read(partition, start, wait_s=wait_s)
        return await self._timed("wait" if wait_s else "read", pending_call)

    async def end(self, partition: Partition, start: int) -> int:
        """Return the end offset; see :meth:`linkspan.store.types.Store.end`."""
        return await self._timed("end", self._store.end(partition, start))

    async def newest_records_page(
        self, partition: Partition, *, after: bytes | None = None
    ) -> KeyPage:
        """Read a page of the newest records.

        See :meth:`linkspan.store.types.Store.newest_records_page`.
        """
        return await self._timed("newest", self._store.newest_records_page(partition, after=after))

    async def newest_records(self, partition: Partition) -> Page:
        """Read the newest record of each key.

        See :meth:`linkspan.store.types.Store.newest_records`.
        """
        return await self._timed("newest", self._store.newest_records(partition))

    async def _timed(self, call: str, pending_call: Awaitable[T]) -> T:
        started_at = steady()
        try:
            answer = await pending_call
        except LinkspanError as error:
            self._metrics.count("store_calls", call=call, outcome=type(error).__name__)
            raise
        self._metrics.count("store_calls", call=call, outcome="done")
        if call != "wait":
            self._metrics.observe("store_call", steady() - started_at, call=call)
        return answer
