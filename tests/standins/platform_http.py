"""The platform's store and executors over HTTP, reduced to what the adapter's tests need."""

from __future__ import annotations

import asyncio
import json
from base64 import b64encode
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from struct import pack
from typing import Any

from aiohttp import web

from linkspan.errors import (
    LogGap,
    OffsetConflict,
    ProducerFenced,
    ProducerGap,
    StoreRefused,
    StoreUnanswered,
)
from linkspan.store.types import Partition, Producer, Record
from tests.standins.memory_store import MemoryStore, StoreLink

MAX_READ_KB = 1_024
"""Maximum kilobytes of one answer if the reader sets no limit."""

MAX_READ_RECORDS = 100_000
"""Maximum records of one answer: so many that the limit in kilobytes applies first."""

SILENCE_S = 30.0
"""Time for which the connection of a lost answer stays open: above every caller's timeout."""


class StoreServer:
    """Serves the store's protocol for a store in memory.

    Attributes:
        store: State of the store, with its own switches for faults.
        status: Status of all answers while it is set.
        delay_s: Delay of each call in seconds.
        page_keys: Maximum keys in one page of the newest records.
        hosts: Calling host of each server port, for the faults that apply to single hosts.
        last_conditional: Host of the last successful conditional append.
        asked: Name and query of each call, in order.
    """

    def __init__(self, *, page_keys: int = 2) -> None:
        self.store = MemoryStore()
        self.status: int | None = None
        self.delay_s = 0.0
        self.page_keys = page_keys
        self.hosts: dict[int, str] = {}
        self.last_conditional = ""
        self.asked: list[tuple[str, dict[str, str]]] = []

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.status:
            return web.Response(status=self.status)
        await asyncio.sleep(self.delay_s)
        topic = request.query["topic"]
        keyed = topic.startswith("keyed.")
        place = Partition(topic.removeprefix("keyed."), int(request.query["part"]), keyed)
        name = request.path.rpartition("/")[2]
        self.asked.append((name, dict(request.query)))
        link = StoreLink(self.store, self.hosts.get(local_port(request), ""))
        link.listed_keys = self.page_keys
        link.read_records = MAX_READ_RECORDS
        try:
            return await getattr(self, "_" + name.replace("-", "_"))(request, place, link)
        except StoreRefused as error:
            return web.Response(status=error.status)
        except StoreUnanswered:
            return await no_answer()

    async def _log_append(
        self, request: web.BaseRequest, place: Partition, link: StoreLink
    ) -> web.Response:
        query = request.query
        producer = None
        if "producer" in query:
            numbers = int(query["epoch"]), int(query["callSeq"])
            producer = Producer(query["producer"], *numbers)
        at = int(query["at"]) if "at" in query else None
        records = list(_records(await request.read(), place.keyed))
        try:
            done = await link.append(place, records, at=at, producer=producer)
        except OffsetConflict as error:
            return web.json_response({"end": error.end}, status=412)
        except ProducerFenced as error:
            return web.json_response({"reason": "fenced", "epoch": error.epoch}, status=409)
        except ProducerGap as error:
            return web.json_response(
                {"reason": "seq", "callSeq": error.expected_sequence}, status=409
            )
        if at is not None:
            self.last_conditional = self.hosts.get(local_port(request), "")
        return web.json_response({"offset": done.offset, "end": done.end})

    async def _log_read(
        self, request: web.BaseRequest, place: Partition, link: StoreLink
    ) -> web.Response:
        query = request.query
        wait_s = int(query.get("waitMs", 0)) / 1000
        limit = 1024 * int(query.get("max_kb", MAX_READ_KB))
        try:
            page = await link.read(place, int(query["from"]), wait_s=wait_s)
        except LogGap as gap:
            return web.json_response({"first": gap.first}, status=410)
        # The store may drop records during a read. The entries of the answer are still
        # numbered from the requested offset.
        first = min(self.store.log(place).first, int(query["from"]))
        body = pack(">QQ", page.end, first)
        for entry in page.entries:
            value = entry.value
            if place.keyed:
                value = bytes((len(entry.key),)) + entry.key + value
            if len(body) + len(value) + 4 > limit:
                break
            body += pack(">I", len(value)) + value
        return web.Response(body=body)

    async def _log_newest(
        self, request: web.BaseRequest, place: Partition, link: StoreLink
    ) -> web.Response:
        after = request.query.get("dependsOn")
        page = await link.newest_records_page(place, after=after.encode() if after else None)
        items = [
            {
                "privateKey": entry.key.decode(),
                "value": b64encode(entry.value).decode(),
                "offset": entry.offset,
            }
            for entry in page.entries
        ]
        return web.json_response({"items": items, "more": page.more, "end": page.end})

    async def _log_trim(
        self, request: web.BaseRequest, place: Partition, _link: StoreLink
    ) -> web.Response:
        log = self.store.log(place)
        log.first = max(log.first, min(int(request.query["before"]), log.end))
        return web.json_response({})


def local_port(request: web.BaseRequest) -> int:
    """Return the server port of a request."""
    assert request.transport
    return int(request.transport.get_extra_info("sockname")[1])


async def no_answer() -> web.StreamResponse:
    """Leave a request unanswered until its caller has given up."""
    await asyncio.sleep(SILENCE_S)
    return web.Response(status=503)


def _records(body: bytes, keyed: bool) -> list[Record]:
    records = []
    while body:
        size = int.from_bytes(body[:4], "big")
        value, body = body[4 : 4 + size], body[4 + size :]
        if keyed:
            end = value[0] + 1
            records.append(Record(value[end:], value[1:end]))
        else:
            records.append(Record(value))
    return records


class ExecutorServer:
    """Returns prepared answers, and records the requests.

    Attributes:
        answers: Status and fields of the next answers, in order.
        asked: Path, target incarnation and body of each request, in order.
    """

    def __init__(self) -> None:
        self.answers: list[tuple[int, dict[str, Any]]] = []
        self.asked: list[tuple[str, str, dict[str, Any]]] = []

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        target = request.headers.get("Linkspan-Target-Instance", "")
        self.asked.append((request.path, target, json.loads(await request.read())))
        status, fields = self.answers.pop(0)
        return web.json_response(fields, status=status)


@asynccontextmanager
async def serving(handler: Any) -> AsyncIterator[str]:
    """Serve on a free loopback port within the context and yield the address."""
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    try:
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()
