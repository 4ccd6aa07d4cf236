"""HTTP client of the platform's log store."""

from __future__ import annotations

import asyncio
from base64 import b64decode
from struct import Struct
from struct import error as StructError
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import aiohttp
import orjson

from linkspan._typed import parse_int, parse_list, parse_object, parse_text
from linkspan.errors import (
    LogGap,
    OffsetConflict,
    ProducerFenced,
    ProducerGap,
    StoreRefused,
    StoreUnanswered,
)
from linkspan.platform._transmission import recorded_transmission
from linkspan.store.bounds import IDLE_TIMEOUT_S, MAX_READ_BYTES, MAX_RESPONSE_S
from linkspan.store.types import Appended, Entry, KeyPage, Page, Partition

if TYPE_CHECKING:
    from collections.abc import Sequence

    from linkspan.store.types import Producer, Record

CONFIG_RECORDS = Partition("op", keyed=True)
"""Partition that the operator writes: the configuration, evacuations and maintenance waves."""

EXECUTOR_RECORDS = Partition("servers", keyed=True)
"""Partition in which each executor registers itself under its id."""

CONFIG_KEY = b"config"
"""Key of the configuration among the operator's records."""

EVACUATION_KEY_PREFIX = b"evacuate/"
"""Prefix of the keys of evacuations among the operator's records; the rest names the hall."""

_RECORD_LENGTH = Struct(">I")
_PAGE_HEADER = Struct(">QQ")

_MIN_READ_KB = 1
"""Smallest limit that a read can set on its records, in kilobytes."""

_NOT_EXECUTED_STATUSES = frozenset((429, 503, 507))
"""Statuses of calls that the store certainly did not execute."""


class StoreClient:
    """HTTP client of the log store.

    Args:
        session: Shared client session.
        address: ``ip:port`` of the store.
        timeout_s: Maximum time without received data, in addition to any requested wait.
        max_response_s: Maximum time for a complete response, in addition to any requested wait.
        max_read_bytes: Maximum size of the records to request in one read.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        *,
        timeout_s: float = IDLE_TIMEOUT_S,
        max_response_s: float = MAX_RESPONSE_S,
        max_read_bytes: int = MAX_READ_BYTES,
    ) -> None:
        self._session = session
        self._base = f"http://{address}/api/"
        self._timeout_s = timeout_s
        self._max_response_s = max_response_s
        self._read_kb = max_read_bytes // 1024

    def __repr__(self) -> str:
        return f"StoreClient({self._base!r})"

    async def append(
        self,
        partition: Partition,
        records: Sequence[Record],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        """Append records; see :meth:`linkspan.store.types.Store.append`."""
        query = _partition_query(partition)
        if at is not None:
            query += f"&at={at}"
        if producer:
            query += f"&producer={producer.name}&epoch={producer.epoch}"
            query += f"&callSeq={producer.sequence}"
        body = b"".join(_encode_record(partition, record) for record in records)
        status, data = await self._call("POST", f"log-append?{query}", body)
        return _parse_append_result(status, data)

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        """Read records; see :meth:`linkspan.store.types.Store.read`."""
        path = f"log-read?{_partition_query(partition)}&from={start}&max_kb={self._read_kb}"
        if wait_s:
            path += f"&waitMs={round(wait_s * 1000)}"
        return _parse_page(partition, start, await self._read_records(path, wait_s=wait_s))

    async def end(self, partition: Partition, start: int) -> int:
        """Return the end; see :meth:`linkspan.store.types.Store.end`."""
        # The header of the response holds the end, so the smallest number of records suffices.
        path = f"log-read?{_partition_query(partition)}&from={start}&max_kb={_MIN_READ_KB}"
        return _parse_end(await self._read_records(path))

    async def newest_records(self, partition: Partition) -> Page:
        """Read each key's newest record; see :meth:`linkspan.store.types.Store.newest_records`."""
        page = await self.newest_records_page(partition)
        entries, end = list(page.entries), page.end
        while page.more:
            page = await self.newest_records_page(partition, after=entries[-1].key)
            entries += page.entries
        return Page(tuple(entries), end)

    async def newest_records_page(
        self, partition: Partition, *, after: bytes | None = None
    ) -> KeyPage:
        """Read one page of keys; see :meth:`linkspan.store.types.Store.newest_records_page`."""
        # "dependsOn" is the wire name of the key after which the page starts.
        rest = "" if after is None else f"&dependsOn={quote(after, safe='')}"
        status, data = await self._call("GET", f"log-newest?{_partition_query(partition)}{rest}")
        _check_status(status)
        page = _parse_key_page(data)
        if page.more and page.entries[-1].key == after:
            raise StoreUnanswered("store repeats a page of keys; read again")
        return page

    async def _read_records(self, path: str, *, wait_s: float = 0.0) -> bytes:
        status, data = await self._call("GET", path, wait_s=wait_s)
        if status == 410:
            raise LogGap(_parse_int_field(_parse_json_object(data), "first"))
        _check_status(status)
        return data

    async def _call(
        self, method: str, path: str, body: bytes | None = None, *, wait_s: float = 0.0
    ) -> tuple[int, bytes]:
        with recorded_transmission() as transmission:
            try:
                async with (
                    asyncio.timeout(self._max_response_s + wait_s),
                    asyncio.timeout(self._timeout_s + wait_s) as idle,
                    self._session.request(method, self._base + path, data=body) as response,
                ):
                    return response.status, await self._read_body(response, idle)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                if transmission.failed_unsent(error):
                    raise StoreRefused(0) from error
                text = f"store: {error!r}; the call may still take effect"
                raise StoreUnanswered(text) from error

    async def _read_body(self, response: aiohttp.ClientResponse, idle: asyncio.Timeout) -> bytes:
        loop = asyncio.get_running_loop()
        parts: list[bytes] = []
        idle.reschedule(loop.time() + self._timeout_s)
        async for part in response.content.iter_any():
            parts.append(part)
            idle.reschedule(loop.time() + self._timeout_s)
        return b"".join(parts)


def _partition_query(partition: Partition) -> str:
    prefix = "keyed." if partition.keyed else ""
    return f"topic={prefix}{partition.topic}&part={partition.number}"


def _encode_record(partition: Partition, record: Record) -> bytes:
    body = record.value
    if partition.keyed:
        body = bytes((len(record.key),)) + record.key + body
    return _RECORD_LENGTH.pack(len(body)) + body


def _parse_page(partition: Partition, start: int, data: bytes) -> Page:
    try:
        return _parse_records(partition, start, data)
    except (StructError, IndexError, ValueError) as error:
        raise StoreUnanswered(f"store sent a truncated page ({error}); read again") from error


def _parse_end(data: bytes) -> int:
    try:
        end, _first = _PAGE_HEADER.unpack_from(data)
    except StructError as error:
        raise StoreUnanswered(f"store sent a truncated page ({error}); read again") from error
    return int(end)


def _parse_records(partition: Partition, start: int, data: bytes) -> Page:
    end, first = _PAGE_HEADER.unpack_from(data)
    position = _PAGE_HEADER.size
    offset = max(start, first)
    entries = []
    while position < len(data):
        (size,) = _RECORD_LENGTH.unpack_from(data, position)
        position += _RECORD_LENGTH.size
        body = data[position : position + size]
        if len(body) < size:
            raise ValueError("last record is truncated")
        entries.append(_parse_entry(partition, offset, body))
        position += size
        offset += 1
    return Page(tuple(entries), end)


def _parse_entry(partition: Partition, offset: int, body: bytes) -> Entry:
    if not partition.keyed:
        return Entry(offset, body)
    size = body[0] + 1
    if len(body) < size:
        raise ValueError("key is truncated")
    return Entry(offset, body[size:], body[1:size])


def _parse_newest_entry(row: dict[str, Any]) -> Entry:
    # "privateKey" is the wire name of the record's key; it is not a secret.
    value = b64decode(parse_text(row.get("value") or ""))
    return Entry(parse_int(row["offset"]), value, parse_text(row["privateKey"]).encode())


def _parse_key_page(data: bytes) -> KeyPage:
    fields = _parse_json_object(data)
    try:
        entries = tuple(
            _parse_newest_entry(parse_object(row)) for row in parse_list(fields.get("items"))
        )
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnanswered(
            f"store sent an invalid page of keys ({error!r}); read again"
        ) from error
    return KeyPage(entries, _parse_int_field(fields, "end"), bool(entries and fields.get("more")))


def _parse_append_result(status: int, data: bytes) -> Appended:
    """Return the result of an append, or raise the error that the response stands for.

    Where the response cannot be parsed, the append may or may not have taken effect.
    """
    if status < 400:
        fields = _parse_json_object(data)
        return Appended(_parse_int_field(fields, "offset"), _parse_int_field(fields, "end"))
    if status == 412:
        raise OffsetConflict(_optional_int_field(data, "end"))
    if status == 409:
        raise _parse_producer_error(data)
    _check_status(status)
    raise StoreUnanswered(f"store answered {status}; it may not understand the call")


def _parse_int_field(fields: dict[str, Any], name: str) -> int:
    try:
        return parse_int(fields[name])
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnanswered(f"store sent no valid {name} ({error!r}); call again") from error


def _optional_int_field(data: bytes, name: str) -> int:
    """Return an optional number of an error response, 0 where it is missing or invalid."""
    try:
        return _parse_int_field(_parse_json_object(data), name)
    except StoreUnanswered:
        return 0


def _parse_json_object(data: bytes) -> dict[str, Any]:
    try:
        value = orjson.loads(data or b"{}")
    except orjson.JSONDecodeError as error:
        raise StoreUnanswered(f"store sent invalid JSON ({error}); call again") from error
    return value if isinstance(value, dict) else {}


def _parse_producer_error(data: bytes) -> ProducerFenced | ProducerGap:
    # Status 409 stands for both errors; the reason distinguishes them.
    if _parse_json_object(data).get("reason") == "fenced":
        return ProducerFenced(_optional_int_field(data, "epoch"))
    return ProducerGap(_optional_int_field(data, "callSeq") or _optional_int_field(data, "wanted"))


def _check_status(status: int) -> None:
    if status in _NOT_EXECUTED_STATUSES:
        raise StoreRefused(status)
    if status >= 400:
        raise StoreUnanswered(f"store answered {status}; it may not understand the call")
