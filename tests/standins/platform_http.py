"""The platform's store and executors over HTTP, as small as the adapter's tests need."""

from __future__ import annotations

import json
from base64 import b64encode
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from struct import pack
from typing import Any

from aiohttp import web

from linkspan.errors import OffsetConflict, ProducerFenced, ProducerGap
from linkspan.store.types import Partition, Producer, Record
from tests.standins.memory_store import MemoryStore


class StoreServer:
    """Speaks the store's protocol over a store in memory.

    Attributes:
        store: What it holds.
        status: Status of all answers, ``None`` for true ones.
        page_keys: Keys in one page of the newest.
        asked: Name and query of each call, in order.
    """

    def __init__(self, *, page_keys: int = 2) -> None:
        self.store = MemoryStore()
        self.status: int | None = None
        self.page_keys = page_keys
        self.asked: list[tuple[str, dict[str, str]]] = []

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.status:
            return web.Response(status=self.status)
        topic = request.query["topic"]
        keyed = topic.startswith("keyed.")
        place = Partition(topic.removeprefix("keyed."), int(request.query["part"]), keyed)
        name = request.path.rpartition("/")[2]
        self.asked.append((name, dict(request.query)))
        return await getattr(self, "_" + name.replace("-", "_"))(request, place)

    async def _log_append(self, request: web.BaseRequest, place: Partition) -> web.Response:
        query = request.query
        producer = None
        if "producer" in query:
            numbers = int(query["epoch"]), int(query["callSeq"])
            producer = Producer(query["producer"], *numbers)
        at = int(query["at"]) if "at" in query else None
        records = list(_records(await request.read(), place.keyed))
        try:
            done = self.store.apply(place, records, at, producer)
        except OffsetConflict as error:
            return web.json_response({"end": error.end}, status=412)
        except ProducerFenced as error:
            return web.json_response({"reason": "fenced", "epoch": error.epoch}, status=409)
        except ProducerGap as error:
            return web.json_response({"reason": "seq", "callSeq": error.wanted}, status=409)
        return web.json_response({"offset": done.offset, "end": done.end})

    async def _log_read(self, request: web.BaseRequest, place: Partition) -> web.Response:
        log = self.store.log(place)
        start = int(request.query["from"])
        if start < log.first:
            return web.json_response({"first": log.first}, status=410)
        body = pack(">QQ", log.end, log.first)
        limit = 1024 * int(request.query.get("max_kb", "1024"))
        for entry in log.entries[start:]:
            value = entry.value
            if place.keyed:
                value = bytes((len(entry.key),)) + entry.key + value
            if len(body) + len(value) + 4 > limit:
                break
            body += pack(">I", len(value)) + value
        return web.Response(body=body)

    async def _log_newest(self, request: web.BaseRequest, place: Partition) -> web.Response:
        log = self.store.log(place)
        newest = {entry.key.decode(): entry for entry in log.entries}
        keys = sorted(key for key, entry in newest.items() if entry.value)
        keys = [key for key in keys if key > request.query.get("dependsOn", "")]
        items = [
            {
                "privateKey": key,
                "value": b64encode(newest[key].value).decode(),
                "offset": newest[key].offset,
            }
            for key in keys[: self.page_keys]
        ]
        more = len(keys) > self.page_keys
        return web.json_response({"items": items, "more": more, "end": log.end})


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
    """Answers what it is told to and keeps what it was asked."""

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
    """Serve on a free loopback port and give its address."""
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    try:
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()
