"""A client session that answers each call with the same status and body."""

from __future__ import annotations

from collections.abc import AsyncIterator
from types import TracebackType
from typing import Any

MAX_CALLS = 50
"""Calls after which a client is considered to repeat a call for ever."""


class _Content:
    def __init__(self, body: bytes) -> None:
        self._body = body

    async def iter_any(self) -> AsyncIterator[bytes]:
        yield self._body


class FixedAnswer:
    """An HTTP answer that is its own asynchronous context manager."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.content = _Content(body)
        self._body = body

    async def __aenter__(self) -> FixedAnswer:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        return None

    async def read(self) -> bytes:
        return self._body


class FixedSession:
    """Stand-in for an HTTP client's session.

    Args:
        status: Status of all answers.
        body: Body of all answers.
    """

    def __init__(self, status: int, body: bytes) -> None:
        self.answer = FixedAnswer(status, body)
        self.urls: list[str] = []

    def post(self, url: str, **_fields: Any) -> FixedAnswer:
        return self.request("post", url)

    def get(self, url: str, **_fields: Any) -> FixedAnswer:
        return self.request("get", url)

    def request(self, _method: str, url: str, **_fields: Any) -> FixedAnswer:
        self.urls.append(url)
        assert len(self.urls) < MAX_CALLS, "the client repeats its calls without end"
        return self.answer
