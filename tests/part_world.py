"""A deployment whose store refuses the calls of some hosts for some topics."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from linkspan.errors import StoreRefused
from linkspan.store.types import Appended, KeyPage, Page, Partition, Producer, Record, Store
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.wide_world import WideWorld


class PartLink(StoreLink):
    """A host's link to a store that refuses the host's calls for some topics."""

    def __init__(self, store: MemoryStore, host: str, refused_topics: set[tuple[str, str]]) -> None:
        super().__init__(store, host)
        self._refused_topics = refused_topics

    async def append(
        self,
        partition: Partition,
        records: Sequence[Record],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        await self._check_available(partition)
        return await super().append(partition, records, at=at, producer=producer)

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        await self._check_available(partition)
        page = await super().read(partition, start, wait_s=wait_s)
        await self._check_available(partition)
        return page

    async def end(self, partition: Partition, start: int) -> int:
        await self._check_available(partition)
        return await super().end(partition, start)

    async def newest_records_page(
        self, partition: Partition, *, after: bytes | None = None
    ) -> KeyPage:
        await self._check_available(partition)
        return await super().newest_records_page(partition, after=after)

    async def _check_available(self, partition: Partition) -> None:
        if (self._host, partition.topic) in self._refused_topics:
            raise StoreRefused(503)


@dataclass
class PartWorld(WideWorld):
    """A deployment whose store is unavailable in part.

    Attributes:
        refused_topics: Pairs of host and topic whose calls the store refuses.
    """

    refused_topics: set[tuple[str, str]] = field(default_factory=set)

    def store_link(self, host: str) -> Store:
        return PartLink(self.store, host, self.refused_topics)
