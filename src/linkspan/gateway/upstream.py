"""Exchanges requests for answers with executors and with gateways of other halls."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
from aiohttp import web
from yarl import URL

from linkspan.gateway.request_terms import DEADLINE_HEADER, RequestTerms, forwarded_headers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from multidict import CIMultiDict

    from linkspan.routing.pool import ServicePool

MAX_BUFFERED_BYTES = 1_048_576
"""Limits the size of answers that are buffered until complete; longer ones are streamed."""

CHUNK_BYTES = 65_536
"""Maximum size of the chunks in which answers are streamed."""

NOT_SENT_HEADER = "Linkspan-Not-Sent"
"""Marks an answer of the gateway to a request of which no byte was sent to an executor."""

MAX_STREAM_IDLE_S = 60.0
"""Limits the time between two reads from an executor's connection."""

_NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)
"""Errors that occur before any byte of the request is sent."""


class UpstreamError(Exception):
    """An executor or remote gateway did not return a complete answer.

    Args:
        sent: Whether a byte of the request may have been received.
        reason: Name of the underlying error; part of the answer to the caller.
    """

    def __init__(self, *, sent: bool, reason: str) -> None:
        super().__init__(reason)
        self.sent = sent


class Call(NamedTuple):
    """A caller's request while the gateway handles it.

    Attributes:
        request: The HTTP request.
        pool: Pool of the requested service.
        terms: Terms from the request's headers.
        body: Complete body of the request; empty if the request is streamed.
        deadline: Monotonic time of the request's deadline, in seconds.
    """

    request: web.Request
    pool: ServicePool
    terms: RequestTerms
    body: bytes
    deadline: float

    def remaining_s(self) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline - time.monotonic())


class Upstream:
    """HTTP client for executors and gateways of other halls. It repeats no request."""

    def __init__(self) -> None:
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0, keepalive_timeout=15)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
        )
        # aiohttp would otherwise retry idempotent requests itself, outside the retry budget.
        self._session._retry_connection = False

    def __repr__(self) -> str:
        return "Upstream()"

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def exchange(
        self, call: Call, base: str, extra_headers: Mapping[str, str]
    ) -> web.StreamResponse:
        """Send a request to a server and return the answer.

        Args:
            call: The request.
            base: URL of the server, to which path and query of the request are added.
            extra_headers: Headers that are added to those of the request.

        Raises:
            UpstreamError: No complete answer was received.
        """
        request, terms, remaining_s = call.request, call.terms, call.remaining_s()
        headers = forwarded_headers(request.headers)
        headers[DEADLINE_HEADER] = str(max(1, int(remaining_s * 1000)))
        headers.update(extra_headers)
        url = URL(base + _raw_tail(request), encoded=True)
        timeout = aiohttp.ClientTimeout(
            total=None if terms.stream else max(remaining_s, 0.001),
            sock_read=MAX_STREAM_IDLE_S,
            connect=1.0,
        )
        try:
            async with self._session.request(
                request.method,
                url,
                headers=headers,
                data=request.content if terms.stream else call.body,
                timeout=timeout,
                allow_redirects=False,
            ) as upstream:
                return await self._return_answer(request, upstream, terms)
        except _NOT_SENT_ERRORS as error:
            raise UpstreamError(sent=False, reason=f"{error.__class__.__name__}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise UpstreamError(sent=True, reason=f"{error.__class__.__name__}") from error

    async def _return_answer(
        self, request: web.Request, upstream: aiohttp.ClientResponse, terms: RequestTerms
    ) -> web.StreamResponse:
        length = upstream.content_length
        headers = forwarded_headers(upstream.headers)
        headers.popall(NOT_SENT_HEADER, None)
        if not terms.stream and length is not None and length <= MAX_BUFFERED_BYTES:
            body = await upstream.read()
            return web.Response(status=upstream.status, headers=headers, body=body)
        return await self._stream_answer(request, upstream, headers)

    async def _stream_answer(
        self, request: web.Request, upstream: aiohttp.ClientResponse, headers: CIMultiDict[str]
    ) -> web.StreamResponse:
        """Stream the answer to the caller; abort the connection if the answer breaks off.

        Reading from the executor keeps pace with the caller.
        """
        answer = web.StreamResponse(status=upstream.status, headers=headers)
        await answer.prepare(request)
        try:
            async for chunk in upstream.content.iter_chunked(CHUNK_BYTES):
                await answer.write(chunk)
        except (aiohttp.ClientError, TimeoutError, OSError):
            if request.transport is not None:
                request.transport.abort()
            return answer
        except asyncio.CancelledError:
            upstream.close()
            raise
        await answer.write_eof()
        return answer


def _raw_tail(request: web.Request) -> str:
    """Return path and query after the service name, without decoding them."""
    path, separator, query = request.raw_path.partition("?")
    return "/" + path.split("/", 3)[3] + separator + query
