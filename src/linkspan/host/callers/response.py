"""Responses as the bytes that a connection carries (RFC 9112)."""

from __future__ import annotations

import time
from email.utils import formatdate
from functools import lru_cache
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Tells a caller to send the body that it has announced."""


def announces_close(response: web.Response) -> bool:
    """Return whether the connection is to be closed after a response."""
    if response.keep_alive is False:
        return True
    return response.headers.get("Connection", "").lower() == "close"


def encode(response: web.Response, *, close: bool, with_body: bool = True) -> bytes:
    """Return the bytes of a response.

    Args:
        response: The response.
        close: Whether to announce that the connection will be closed.
        with_body: Whether to send the body; its length is sent in any case.
    """
    body = response.body if isinstance(response.body, bytes) else b""
    lines = [f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items() if name not in _OWN]
    lines += [f"Content-Length: {len(body)}", f"Date: {_date(int(time.time()))}"]
    if close:
        lines.append("Connection: close")
    head = "\r\n".join((*lines, "", "")).encode()
    return head + body if with_body else head


_OWN = frozenset({"Connection", "Content-Length", "Date"})
"""Fields that are set for each response."""


@lru_cache(maxsize=1)
def _date(second: int) -> str:
    return formatdate(second, usegmt=True)
