"""The platform's store, as PROTOCOL.md describes it: a log with keyed topics, linearizable.

One process, one event loop: each append and each read is one step. It refuses what is over
``record_bytes`` or ``call_bytes`` with 413 (the page names the limits, not the status).
"""

from __future__ import annotations

import asyncio
from base64 import b64encode
from dataclasses import dataclass, field
from struct import pack, unpack_from

from standins.http import Request, Response, Server, json_response

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PAGE_KEYS = 500
PAGE_BYTES = 1_000_000
MAX_WAIT_S = 30.0
KEPT_ANSWERS = 5
ANSWER_S = 0.004


@dataclass
class _Producer:
    epoch: int
    sequence: int
    answers: dict[int, dict[str, int]] = field(default_factory=dict)


@dataclass
class Log:
    """One partition."""

    records: list[bytes] = field(default_factory=list)
    producers: dict[str, _Producer] = field(default_factory=dict)
    newest: dict[bytes, tuple[int, bytes]] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Offset after the last record."""
        return len(self.records)

    def add(self, records: list[bytes], *, keyed: bool) -> None:
        """Add records and wake those who wait for one."""
        for record in records:
            if keyed:
                size = record[0] + 1
                key, value = record[1:size], record[size:]
                if value:
                    self.newest[key] = (self.end, value)
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        if records:
            self.grown.set()
            self.grown = asyncio.Event()


class Store:
    """State of the store and its HTTP interface.

    Attributes:
        too_large: Topic, producer and bytes of each record that was refused for its size.
        appends: Number of appends that were answered 200, by topic.
    """

    def __init__(self) -> None:
        self._logs: dict[tuple[str, int], Log] = {}
        self.too_large: list[tuple[str, str, int]] = []
        self.appends: dict[str, int] = {}

    async def open(self) -> str:
        """Listen and return the address."""
        return await Server(self.handle).open()

    def log(self, topic: str, part: int = 0) -> Log:
        """Return a partition, which is made at its first use."""
        return self._logs.setdefault((topic, part), Log())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator or an executor; an empty value drops the key."""
        raw = bytes((len(key),)) + key.encode() + value
        self.log(topic).add([raw], keyed=True)

    async def handle(self, request: Request) -> Response:
        """Answer one call."""
        await asyncio.sleep(ANSWER_S)
        name = request.path.rpartition("/")[2]
        if name == "log-append":
            return self._append(request)
        if name == "log-read":
            return await self._read(request)
        if name == "log-newest":
            return self._newest(request)
        return json_response({}, 404)

    def _append(self, request: Request) -> Response:
        query = request.query
        topic = query["topic"]
        records, position = [], 0
        while position < len(request.body):
            (size,) = unpack_from(">I", request.body, position)
            records.append(request.body[position + 4 : position + 4 + size])
            position += 4 + size
        largest = max(map(len, records), default=0)
        if largest > RECORD_BYTES or len(request.body) > CALL_BYTES:
            self.too_large.append((topic, query.get("producer", ""), largest))
            return json_response({"reason": "size"}, 413)
        log = self.log(topic, int(query["part"]))
        if "at" in query and log.end != int(query["at"]):
            return json_response({"end": log.end}, 412)
        producer = None
        sequence = 0
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["callSeq"])
            producer = log.producers.get(query["producer"])
            if producer is None or producer.epoch < epoch:
                producer = log.producers[query["producer"]] = _Producer(epoch, sequence - 1)
            if epoch < producer.epoch:
                return json_response({"reason": "fenced", "epoch": producer.epoch}, 409)
            if sequence in producer.answers:
                return json_response(producer.answers[sequence])
            if sequence != producer.sequence + 1:
                wanted = producer.sequence + 1
                return json_response({"reason": "seq", "callSeq": wanted}, 409)
        offset = log.end
        log.add(records, keyed=topic.startswith("keyed."))
        answer = {"offset": offset, "end": log.end}
        if producer:
            producer.sequence = sequence
            producer.answers[sequence] = answer
            producer.answers.pop(sequence - KEPT_ANSWERS, None)
        self.appends[topic] = self.appends.get(topic, 0) + 1
        return json_response(answer)

    async def _read(self, request: Request) -> Response:
        query = request.query
        log = self.log(query["topic"], int(query["part"]))
        start = int(query["from"])
        wait_s = min(int(query.get("waitMs", 0)) / 1000, MAX_WAIT_S)
        if start >= log.end and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await log.grown.wait()
            except TimeoutError:
                pass
        limit = 1024 * int(query.get("max_kb", 1024))
        parts = [pack(">QQ", log.end, 0)]
        size = 0
        for record in log.records[start:]:
            if size and size + len(record) > limit:
                break
            parts += (pack(">I", len(record)), record)
            size += len(record)
        return Response(200, b"".join(parts), "application/octet-stream")

    def _newest(self, request: Request) -> Response:
        log = self.log(request.query["topic"], int(request.query["part"]))
        after = request.query.get("dependsOn", "").encode()
        items: list[dict[str, object]] = []
        size, more = 0, False
        for key in sorted(k for k in log.newest if k > after):
            offset, value = log.newest[key]
            if items and (len(items) >= PAGE_KEYS or size + len(value) > PAGE_BYTES):
                more = True
                break
            items.append(
                {"privateKey": key.decode(), "value": b64encode(value).decode(), "offset": offset}
            )
            size += len(value)
        return json_response({"items": items, "more": more, "end": log.end})
