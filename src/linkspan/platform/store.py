"""Client of the platform's log store."""

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
from linkspan.store.bounds import IDLE_TIMEOUT_S, MAX_READ_BYTES, MAX_RESPONSE_S
from linkspan.store.types import Appended, Entry, KeyPage, Page, Partition

if TYPE_CHECKING:
    from collections.abc import Sequence

    from linkspan.store.types import Producer, Record

CONFIG_RECORDS = Partition("op", keyed=True)
"""Where the operator writes: the configuration and maintenance waves."""

EXECUTOR_RECORDS = Partition("servers", keyed=True)
"""Where executors register themselves, each under its id."""

CONFIG_KEY = b"config"
"""Key of the configuration among the operator's records."""

_LENGTH = Struct(">I")
_READ_HEAD = Struct(">QQ")

_MIN_KB = 1
"""Smallest size of an answer to a read that can be asked for, in kilobytes."""

_NOTHING_DONE = frozenset((429, 503, 507))
"""Statuses of calls of which the store has surely done nothing."""


class StoreClient:
    """The log store over HTTP.

    Args:
        session: Shared client session.
        address: ``ip:port`` of the store.
        timeout_s: Time that an answer may be silent, beside any wait asked for.
        whole_s: Time that a whole answer may take, beside any wait asked for.
        read_bytes: Bytes of records to ask for in one read.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        *,
        timeout_s: float = IDLE_TIMEOUT_S,
        whole_s: float = MAX_RESPONSE_S,
        read_bytes: int = MAX_READ_BYTES,
    ) -> None:
        self._session = session
        self._base = f"http://{address}/api/"
        self._timeout_s = timeout_s
        self._whole_s = whole_s
        self._read_kb = read_bytes // 1024

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
        query = _place(partition)
        if at is not None:
            query += f"&at={at}"
        if producer:
            query += f"&producer={producer.name}&epoch={producer.epoch}"
            query += f"&callSeq={producer.sequence}"
        body = b"".join(_frame(partition, record) for record in records)
        status, answer = await self._call("POST", f"log-append?{query}", body)
        return _appended(status, answer)

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        """Read records; see :meth:`linkspan.store.types.Store.read`."""
        path = f"log-read?{_place(partition)}&from={start}&max_kb={self._read_kb}"
        if wait_s:
            path += f"&waitMs={round(wait_s * 1000)}"
        return _page(partition, start, await self._records(path, wait_s=wait_s))

    async def end(self, partition: Partition, start: int) -> int:
        """Find the end; see :meth:`linkspan.store.types.Store.end`."""
        # The answer's head tells the end, however little of the records is asked for.
        path = f"log-read?{_place(partition)}&from={start}&max_kb={_MIN_KB}"
        return _end(await self._records(path))

    async def newest_records(self, partition: Partition) -> Page:
        """Read the newest keys; see :meth:`linkspan.store.types.Store.newest_records`."""
        page = await self.newest_records_page(partition)
        entries, end = list(page.entries), page.end
        while page.more:
            page = await self.newest_records_page(partition, after=entries[-1].key)
            entries += page.entries
        return Page(tuple(entries), end)

    async def newest_records_page(
        self, partition: Partition, *, after: bytes | None = None
    ) -> KeyPage:
        """Read a page of keys; see :meth:`linkspan.store.types.Store.newest_records_page`."""
        # "dependsOn" is the wire's name for the key to go on after.
        rest = "" if after is None else f"&dependsOn={quote(after, safe='')}"
        status, answer = await self._call("GET", f"log-newest?{_place(partition)}{rest}")
        _check(status)
        page = _key_page(answer)
        if page.more and page.entries[-1].key == after:
            raise StoreUnanswered("store repeats a page of keys; read again")
        return page

    async def _records(self, path: str, *, wait_s: float = 0.0) -> bytes:
        status, answer = await self._call("GET", path, wait_s=wait_s)
        if status == 410:
            raise LogGap(_whole(_object(answer), "first"))
        _check(status)
        return answer

    async def _call(
        self, method: str, path: str, body: bytes | None = None, *, wait_s: float = 0.0
    ) -> tuple[int, bytes]:
        try:
            async with (
                asyncio.timeout(self._whole_s + wait_s),
                asyncio.timeout(self._timeout_s + wait_s) as silence,
                self._session.request(method, self._base + path, data=body) as answer,
            ):
                return answer.status, await self._read_on(answer, silence)
        except aiohttp.ClientConnectorError as error:
            raise StoreRefused(0) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnanswered(f"store: {error!r}; the call may be done later") from error

    async def _read_on(self, answer: aiohttp.ClientResponse, silence: asyncio.Timeout) -> bytes:
        loop = asyncio.get_running_loop()
        parts: list[bytes] = []
        silence.reschedule(loop.time() + self._timeout_s)
        async for part in answer.content.iter_any():
            parts.append(part)
            silence.reschedule(loop.time() + self._timeout_s)
        return b"".join(parts)


def _place(partition: Partition) -> str:
    prefix = "keyed." if partition.keyed else ""
    return f"topic={prefix}{partition.topic}&part={partition.number}"


def _frame(partition: Partition, record: Record) -> bytes:
    body = record.value
    if partition.keyed:
        body = bytes((len(record.key),)) + record.key + body
    return _LENGTH.pack(len(body)) + body


def _page(partition: Partition, start: int, answer: bytes) -> Page:
    try:
        return _records(partition, start, answer)
    except (StructError, IndexError, ValueError) as error:
        raise StoreUnanswered(f"store sent a cut page ({error}); read again") from error


def _end(answer: bytes) -> int:
    try:
        end, _first = _READ_HEAD.unpack_from(answer)
    except StructError as error:
        raise StoreUnanswered(f"store sent a cut page ({error}); read again") from error
    return int(end)


def _records(partition: Partition, start: int, answer: bytes) -> Page:
    end, first = _READ_HEAD.unpack_from(answer)
    position = _READ_HEAD.size
    offset = max(start, first)
    entries = []
    while position < len(answer):
        (size,) = _LENGTH.unpack_from(answer, position)
        position += _LENGTH.size
        body = answer[position : position + size]
        if len(body) < size:
            raise ValueError("last record is not whole")
        entries.append(_entry(partition, offset, body))
        position += size
        offset += 1
    return Page(tuple(entries), end)


def _entry(partition: Partition, offset: int, body: bytes) -> Entry:
    if not partition.keyed:
        return Entry(offset, body)
    size = body[0] + 1
    if len(body) < size:
        raise ValueError("key is not whole")
    return Entry(offset, body[size:], body[1:size])


def _newest_entry(row: dict[str, Any]) -> Entry:
    # "privateKey" is nothing secret: it is the record's key.
    value = b64decode(parse_text(row.get("value") or ""))
    return Entry(parse_int(row["offset"]), value, parse_text(row["privateKey"]).encode())


def _key_page(answer: bytes) -> KeyPage:
    fields = _object(answer)
    try:
        entries = tuple(_newest_entry(parse_object(row)) for row in parse_list(fields.get("items")))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnanswered(f"store sent no page of keys ({error!r}); read again") from error
    return KeyPage(entries, _whole(fields, "end"), bool(entries and fields.get("more")))


def _appended(status: int, answer: bytes) -> Appended:
    """Return the outcome of an append; what is done is not told where it cannot be read."""
    if status < 400:
        fields = _object(answer)
        return Appended(_whole(fields, "offset"), _whole(fields, "end"))
    if status == 412:
        raise OffsetConflict(_told(answer, "end"))
    if status == 409:
        raise _producer_error(answer)
    _check(status)
    raise StoreUnanswered(f"store answered {status}; the call may not be understood")


def _whole(fields: dict[str, Any], name: str) -> int:
    try:
        return parse_int(fields[name])
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnanswered(f"store sent no {name} ({error!r}); call again") from error


def _told(answer: bytes, name: str) -> int:
    """Return a number beside a status that says all by itself, 0 where it is not told."""
    try:
        return _whole(_object(answer), name)
    except StoreUnanswered:
        return 0


def _object(answer: bytes) -> dict[str, Any]:
    try:
        value = orjson.loads(answer or b"{}")
    except orjson.JSONDecodeError as error:
        raise StoreUnanswered(f"store sent no JSON ({error}); call again") from error
    return value if isinstance(value, dict) else {}


def _producer_error(answer: bytes) -> ProducerFenced | ProducerGap:
    # The status alone does not say which of both it is.
    if _object(answer).get("reason") == "fenced":
        return ProducerFenced(_told(answer, "epoch"))
    return ProducerGap(_told(answer, "callSeq") or _told(answer, "wanted"))


def _check(status: int) -> None:
    if status in _NOTHING_DONE:
        raise StoreRefused(status)
    if status >= 400:
        raise StoreUnanswered(f"store answered {status}; the call may not be understood")
