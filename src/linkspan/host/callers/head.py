"""Heads of requests: the request line and the header fields (RFC 9112, sections 3 and 5)."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import lru_cache
from urllib.parse import unquote

from linkspan.errors import MalformedRequest

HEAD_END = re.compile(rb"\n\r?\n")
"""End of a head. Line ends without a carriage return are found here and refused by the parser."""

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++"
_VALUE = rb"[^\x00-\x08\x0a-\x1f\x7f]*+"
_REQUEST_LINE = re.compile(rb"(" + _TOKEN + rb") ([!-~]++) HTTP/1\.([01])\r\n")
_FIELDS = re.compile(rb"(?:" + _TOKEN + rb":" + _VALUE + rb"\r\n)*+\r\n")

_FRAMING_FIELDS = re.compile(
    rb"(?i)\r\n(connection|content-length|transfer-encoding|expect):[ \t]*([^\r]*)"
)
"""Fields that say where a request ends and what follows it, with their values."""

_METHODS = frozenset(
    {b"GET", b"HEAD", b"POST", b"PUT", b"DELETE", b"CONNECT", b"OPTIONS", b"TRACE", b"PATCH"}
)
"""Methods of RFC 9110 and RFC 5789. Figures are kept by method, so callers must not invent any."""

_MAX_LENGTH_DIGITS = 18
"""Digits of a content length that are read: any longer one exceeds every limit of a body."""


class HeadFields:
    """Header fields of a request, looked up in the bytes that arrived.

    A head of 16 KB can have thousands of fields; one object for each would take a hundred times its
    size.

    Args:
        head: Whole and valid head.
    """

    __slots__ = ("_head",)

    def __init__(self, head: bytes) -> None:
        self._head = head

    def __repr__(self) -> str:
        return f"HeadFields({len(self._head)} bytes)"

    def get(self, name: str, default: str = "") -> str:
        """Return the value of the first field with a name, in any case of letters.

        Example:
            >>> HeadFields(b"GET / HTTP/1.1\\r\\nHost:  a.example \\r\\n\\r\\n").get("host")
            'a.example'
        """
        match = _line_of(name).search(self._head)
        return _text(match[1]) if match else default


@lru_cache(maxsize=32)
def _line_of(name: str) -> re.Pattern[bytes]:
    """Return the pattern of a field with a name."""
    return re.compile(rb"(?i)\r\n" + re.escape(name.encode()) + rb":[ \t]*([^\r]*)")


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request.

    Attributes:
        method: Method, for example ``POST``.
        path: Path without the query, with its escapes resolved.
        headers: Header fields.
        body_length: Length of the body in bytes, ``None`` if it comes in chunks.
        keep_alive: Whether the caller may send another request on the connection.
        expects_continue: Whether the caller waits for a go-ahead before it sends the body.
    """

    method: str
    path: str
    headers: HeadFields
    body_length: int | None
    keep_alive: bool
    expects_continue: bool


def parse_head(head: bytes) -> RequestHead:
    """Return the head of a request.

    Args:
        head: Bytes from the request line to the empty line after the fields.

    Raises:
        MalformedRequest: The head is not valid, or its framing could be understood in two ways.

    Example:
        >>> parse_head(b"GET /a%20b?c HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n").path
        '/a b'
    """
    line = _REQUEST_LINE.match(head)
    if line is None or not _FIELDS.fullmatch(head, line.end()):
        raise MalformedRequest("head")
    method, target, minor = line.groups()
    if method not in _METHODS:
        raise MalformedRequest("method")
    framing: dict[bytes, list[str]] = {}
    for name, value in _FRAMING_FIELDS.findall(head):
        framing.setdefault(name.lower(), []).append(_text(value).lower())
    modern = minor == b"1"
    return RequestHead(
        method.decode(),
        _path(target),
        HeadFields(head),
        _body_length(framing, chunks_allowed=modern),
        keep_alive=modern and "close" not in ",".join(framing.get(b"connection", ())),
        expects_continue=modern and framing.get(b"expect") == ["100-continue"],
    )


def _text(value: bytes) -> str:
    """Return the value of a field without white space at its end."""
    return value.rstrip(b" \t").decode("latin-1")


def _path(target: bytes) -> str:
    text = target.decode()
    if not text.startswith("/") and "://" in text:
        # A request in absolute form, as proxies receive it.
        _, _, rest = text.partition("://")
        text = "/" + rest.partition("/")[2]
    path = text.partition("?")[0]
    return unquote(path) if "%" in path else path


def _body_length(framing: dict[bytes, list[str]], *, chunks_allowed: bool) -> int | None:
    lengths = framing.get(b"content-length", [])
    encodings = framing.get(b"transfer-encoding")
    if not encodings:
        return _content_length(lengths)
    if lengths or not chunks_allowed or encodings != ["chunked"]:
        raise MalformedRequest("transfer encoding")
    return None


def _content_length(lengths: list[str]) -> int:
    if not lengths:
        return 0
    length = lengths[0]
    if len(lengths) > 1 or not (length.isascii() and length.isdigit()):
        raise MalformedRequest("content length")
    return int(length.lstrip("0")[:_MAX_LENGTH_DIGITS] or "0")
