"""What callers outside the limits send: byte sequences by kind, in a registry."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from tests.job_builders import QUEUE

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 262_144
"""Limits in the operator's default configuration."""

ENDLESS_BYTES = 2_000_000
"""Bytes that one connection sends of a kind without end: a hundred times the largest head."""

BOMB_BYTES = 64_000_000
"""Size of the body that a compressed one stands for."""

Sender = Callable[["Target"], Iterator[bytes]]

KINDS: dict[str, Sender] = {}
"""All kinds by name."""


@dataclass(frozen=True, slots=True)
class Target:
    """What one connection asks for.

    Attributes:
        job_id: Job that its requests name.
    """

    job_id: str

    def head(self, *fields: str, method: str = "POST", path: str | None = None) -> bytes:
        """Return the head of a request with these fields after its ``Host``."""
        target = QUEUE.prefix + self.job_id if path is None else path
        lines = (f"{method} {target} HTTP/1.1", f"Host: {QUEUE.host}", *fields, "", "")
        return "\r\n".join(lines).encode()

    def open_head(self) -> bytes:
        """Return a head without its end."""
        return self.head()[: -len(b"\r\n")]


def kind(name: str) -> Callable[[Sender], Sender]:
    """Register a kind under a name."""

    def register(sender: Sender) -> Sender:
        KINDS[name] = sender
        return sender

    return register


def repeat(piece: bytes, total: int) -> Iterator[bytes]:
    """Yield a piece until about this many bytes have been yielded, none more."""
    for _ in range(total // len(piece)):
        yield piece


@kind("idle")
def _idle(_target: Target) -> Iterator[bytes]:
    yield b""


@kind("blank-lines")
def _blank_lines(_target: Target) -> Iterator[bytes]:
    yield from repeat(b"\r\n" * 8_192, ENDLESS_BYTES)


@kind("request-line")
def _request_line(_target: Target) -> Iterator[bytes]:
    yield b"GET /"
    yield from repeat(b"a" * 16_384, ENDLESS_BYTES)


@kind("header-line")
def _header_line(target: Target) -> Iterator[bytes]:
    yield target.open_head() + b"X-A: "
    yield from repeat(b"a" * 16_384, ENDLESS_BYTES)


@kind("header-lines")
def _header_lines(target: Target) -> Iterator[bytes]:
    yield target.open_head()
    yield from repeat(b"X-A: aaaaaaaa\r\n" * 1_024, ENDLESS_BYTES)


@kind("header-pieces")
def _header_pieces(target: Target) -> Iterator[bytes]:
    yield target.open_head()
    yield from repeat(b"X-A: aaaaaaaa\r\n", MAX_HEAD_BYTES - 200)


@kind("many-fields")
def _many_fields(target: Target) -> Iterator[bytes]:
    """A head of very many short fields, and a body that stops short of its end."""
    fields = ["a:"] * ((MAX_HEAD_BYTES - 400) // len("a:\r\n"))
    yield target.head(*fields, "Content-Length: 4000") + b"x" * 3_999


@kind("body")
def _body(target: Target) -> Iterator[bytes]:
    yield target.head(f"Content-Length: {MAX_BODY_BYTES}") + b"x" * (MAX_BODY_BYTES - 1)


@kind("body-pieces")
def _body_pieces(target: Target) -> Iterator[bytes]:
    yield target.head(f"Content-Length: {MAX_BODY_BYTES}")
    yield from repeat(b"x" * 1_024, MAX_BODY_BYTES - 1)


@kind("small-bodies")
def _small_bodies(target: Target) -> Iterator[bytes]:
    yield target.head("Content-Length: 16000") + b"x" * 15_999


@kind("long-waits")
def _long_waits(target: Target) -> Iterator[bytes]:
    """A body that stops short, of a caller that would wait for an hour."""
    fields = f"Content-Length: {MAX_BODY_BYTES}", "Linkspan-Timeout-Ms: 3600000"
    yield target.head(*fields) + b"x" * (MAX_BODY_BYTES - 1)


@kind("chunks")
def _chunks(target: Target) -> Iterator[bytes]:
    yield target.head("Transfer-Encoding: chunked")
    yield from repeat(b"8000\r\n" + b"x" * 32_768 + b"\r\n", MAX_BODY_BYTES + 56)


@kind("small-chunks")
def _small_chunks(target: Target) -> Iterator[bytes]:
    yield target.head("Transfer-Encoding: chunked")
    yield from repeat(b"1\r\nx\r\n" * 2_048, MAX_BODY_BYTES * 6 - 1)


@kind("chunk-pieces")
def _chunk_pieces(target: Target) -> Iterator[bytes]:
    """One-byte chunks of which each arrives alone."""
    yield target.head("Transfer-Encoding: chunked")
    yield from repeat(b"1\r\nx\r\n", 6_000)


@kind("chunks-without-end")
def _chunks_without_end(target: Target) -> Iterator[bytes]:
    yield target.head("Transfer-Encoding: chunked")
    yield from repeat(b"8000\r\n" + b"x" * 32_768 + b"\r\n", ENDLESS_BYTES)


@kind("chunk-extension")
def _chunk_extension(target: Target) -> Iterator[bytes]:
    yield target.head("Transfer-Encoding: chunked") + b"1;"
    yield from repeat(b"a" * 16_384, ENDLESS_BYTES)


@kind("chunk-size")
def _chunk_size(target: Target) -> Iterator[bytes]:
    """A chunk's size with leading zeros without end."""
    yield target.head("Transfer-Encoding: chunked")
    yield from repeat(b"0" * 16_384, ENDLESS_BYTES)


@kind("trailers")
def _trailers(target: Target) -> Iterator[bytes]:
    yield target.head("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
    yield from repeat(b"X-A: aaaaaaaa\r\n" * 1_024, ENDLESS_BYTES)


@kind("compressed")
def _compressed(target: Target) -> Iterator[bytes]:
    """A small body that stands for a large one, short of its end."""
    body = _BOMB
    yield target.head("Content-Encoding: deflate", f"Content-Length: {len(body) + 1}") + body


_BOMB = zlib.compress(bytes(BOMB_BYTES), 9)


@kind("pipelined")
def _pipelined(target: Target) -> Iterator[bytes]:
    """Requests without end, of a caller that reads no response."""
    yield from repeat(target.head(method="GET", path=QUEUE.prefix) * 100, ENDLESS_BYTES)


@kind("upgrade")
def _upgrade(target: Target) -> Iterator[bytes]:
    """An upgrade to another protocol, and bytes of it without end."""
    fields = "Connection: Upgrade", "Upgrade: websocket", "Content-Length: 9"
    yield target.head(*fields)
    yield from repeat(b"x" * 16_384, ENDLESS_BYTES)


@kind("unread-body")
def _unread_body(target: Target) -> Iterator[bytes]:
    """A body for a path that no queue has, short of its end."""
    fields = (f"Content-Length: {MAX_BODY_BYTES}",)
    yield target.head(*fields, path="/nowhere") + b"x" * (MAX_BODY_BYTES - 1)


@kind("garbage")
def _garbage(_target: Target) -> Iterator[bytes]:
    yield from repeat(bytes(range(256)) * 64, ENDLESS_BYTES)


@kind("many-steps")
def _many_steps(target: Target) -> Iterator[bytes]:
    """A whole job of very many steps, each of which takes three bytes."""
    body = b'{"spec":"text","steps":[' + b",".join([b"{}"] * 9_999) + b"]}"
    yield target.head(f"Content-Length: {len(body)}") + body
