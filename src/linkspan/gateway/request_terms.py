"""Parses the request headers that set deadline, repeatability, idempotency key and streaming."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from multidict import CIMultiDict

from linkspan.errors import InvalidInput

if TYPE_CHECKING:
    from collections.abc import Mapping

    from linkspan.config.document import ServiceConfig

DEADLINE_HEADER = "Linkspan-Deadline-Ms"
"""Milliseconds until the deadline; the forwarded request carries the remaining time."""

REPEATABLE_HEADER = "Linkspan-Repeatable"
"""``yes`` or ``no``; without it GET, HEAD, OPTIONS, PUT and DELETE are repeatable."""

KEY_HEADER = "Idempotency-Key"
"""Identifies a non-repeatable request; the caller sends the same key in every retry."""

STREAM_HEADER = "Linkspan-Stream"
"""``yes`` to stream request and answer in chunks and without a total timeout."""

_REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-connection",
        "host",
        "content-length",
    }
)
"""Headers that apply to one connection and are not forwarded."""


class RequestTerms(NamedTuple):
    """Conditions under which a request is handled.

    Attributes:
        timeout_s: Seconds from arrival until the deadline.
        repeatable: Whether the request may be sent again after a failure.
        key: Key under which the request runs at most once; empty if it has no such limit.
        stream: Whether request body and answer are streamed.
    """

    timeout_s: float
    repeatable: bool
    key: str
    stream: bool


def request_terms(method: str, headers: Mapping[str, str], service: ServiceConfig) -> RequestTerms:
    """Parse the terms of a request from its headers.

    Raises:
        InvalidInput: A header is malformed, or the headers contradict each other.
    """
    repeatable_header = _parse_choice(headers, REPEATABLE_HEADER, ("yes", "no", ""))
    key = headers.get(KEY_HEADER, "") if repeatable_header == "no" else ""
    if repeatable_header == "no":
        _check_key(method, key)
    repeatable = repeatable_header == "yes" or (
        repeatable_header == "" and method in _REPEATABLE_METHODS
    )
    stream = _parse_choice(headers, STREAM_HEADER, ("yes", "no", "")) == "yes"
    return RequestTerms(_parse_timeout_s(headers, service), repeatable, key, stream)


def _check_key(method: str, key: str) -> None:
    if method not in ("POST", "PATCH"):
        raise InvalidInput(REPEATABLE_HEADER, f"'no' with {method}", "use POST or PATCH")
    if not key or len(key) > 128 or not key.isascii() or not key.isprintable():
        remedy = "give 1 to 128 printable characters, the same in every resend"
        raise InvalidInput(KEY_HEADER, "missing or malformed", remedy)


def _parse_choice(headers: Mapping[str, str], name: str, allowed: tuple[str, ...]) -> str:
    value = headers.get(name, "").strip().lower()
    if value not in allowed:
        raise InvalidInput(name, f"{value!r:.40}", "give yes or no, or leave it out")
    return value


def _parse_timeout_s(headers: Mapping[str, str], service: ServiceConfig) -> float:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return service.deadline_ms / 1000
    if (
        not (text.isascii() and text.isdecimal())
        or not 1 <= int(text[:10]) <= service.max_deadline_ms
    ):
        remedy = f"give whole milliseconds from 1 to {service.max_deadline_ms}"
        raise InvalidInput(DEADLINE_HEADER, f"{text!r:.40}", remedy)
    return int(text) / 1000


def forwarded_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the end-to-end headers of a message, including repeated ones.

    Headers listed in ``Connection`` are hop-by-hop headers, too.
    """
    connection_headers = {part.strip().lower() for part in headers.get("Connection", "").split(",")}
    excluded = HOP_BY_HOP_HEADERS | connection_headers
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in excluded
    )
