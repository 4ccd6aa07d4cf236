"""Forwards callers' requests to executors and returns the answers."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
from aiohttp import web
from yarl import URL

from linkspan.errors import InvalidInput, LogUnavailable
from linkspan.events import Event
from linkspan.gateway.request_terms import (
    DEADLINE_HEADER,
    RequestTerms,
    forwarded_headers,
    request_terms,
)
from linkspan.routing.pool import Refused
from linkspan.runtime.operator_app import problem

if TYPE_CHECKING:
    from collections.abc import Mapping

    from multidict import CIMultiDict

    from linkspan.gateway.claimer import Claimer
    from linkspan.gateway.router import Router
    from linkspan.peer.messages import Heartbeat
    from linkspan.routing.claims import Claim
    from linkspan.routing.pool import ServicePool
    from linkspan.runtime.node import Node

MAX_BUFFERED_BYTES = 1_048_576
"""Limits the size of answers that are buffered until complete; longer ones are streamed."""

CHUNK_BYTES = 65_536
"""Maximum size of the chunks in which answers are streamed."""

FORWARDED_HEADER = "Linkspan-Forwarded"
"""Marks a request from a gateway of another hall; such a request is not forwarded again."""

NOT_SENT_HEADER = "Linkspan-Not-Sent"
"""Marks an answer of the gateway to a request of which no byte was sent to an executor."""

MAX_REMOTE_SILENCE_S = 120.0
"""Limits the age of the last heartbeat of a gateway to which requests are forwarded.

Gateways of other halls send heartbeats rarely."""

MAX_STREAM_IDLE_S = 60.0
"""Limits the time between two reads from an executor's connection."""

_NOT_SENT_ERRORS = (aiohttp.ClientConnectorError,)
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


class DispatchResult(NamedTuple):
    """Result of dispatching a request.

    Attributes:
        answer: Answer for the caller.
        sent: Whether a byte of the request may have reached an executor.
    """

    answer: web.StreamResponse
    sent: bool


class Proxy:
    """Handles ``/services/NAME/...``.

    Args:
        node: The daemon.
        router: Owner of the service pools.
        claimer: Claims non-repeatable requests before they are dispatched.
    """

    def __init__(self, node: Node, router: Router, claimer: Claimer) -> None:
        self._node = node
        self._router = router
        self._claimer = claimer
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0, keepalive_timeout=15)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
        )
        # aiohttp would otherwise retry idempotent requests itself, outside the retry budget.
        self._session._retry_connection = False

    def __repr__(self) -> str:
        return f"Proxy({self._router!r})"

    async def close(self) -> None:
        """Close the connections to executors."""
        await self._session.close()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a caller's request."""
        started_at = time.monotonic()
        name = request.match_info["service"]
        pool = self._router.pools.get(name)
        if pool is None:
            text = f"no service {name!r:.80}; publish services/NAME first"
            return self._count_request(name, started_at, problem(404, "unknown_service", text))
        try:
            terms = request_terms(request.method, request.headers, pool.service)
        except InvalidInput as error:
            refusal = problem(400, "invalid_input", str(error), field=error.field)
            return self._count_request(name, started_at, refusal)
        try:
            async with asyncio.timeout(terms.timeout_s):
                body = b"" if terms.stream else await request.read()
        except TimeoutError:
            text = "not run: the body did not arrive before the deadline; send it faster"
            return self._count_request(name, started_at, problem(408, "slow_sender", text))
        call = Call(request, pool, terms, body, started_at + terms.timeout_s)
        return self._count_request(name, started_at, await self._forward_or_serve(call))

    def _count_request(
        self, service: str, started_at: float, answer: web.StreamResponse
    ) -> web.StreamResponse:
        metrics = self._node.metrics
        metrics.requests.inc({"service": service, "status": str(answer.status)})
        metrics.latency.observe({"service": service}, time.monotonic() - started_at)
        return answer

    async def _forward_or_serve(self, call: Call) -> web.StreamResponse:
        pool = call.pool
        if not pool.has_executor and FORWARDED_HEADER not in call.request.headers:
            remote = self._find_remote_gateway(pool.service.name)
            if remote is not None:
                return await self._forward(call, remote)
        return await self._serve(call)

    def _find_remote_gateway(self, service: str) -> Heartbeat | None:
        """Return a random gateway of another hall that has executors of the service."""
        now, node = time.monotonic(), self._node
        candidates = [
            peer.heartbeat
            for peer in node.directory.known(role="gateway")
            if service in peer.heartbeat.serves
            and peer.heartbeat.hall != node.settings.hall
            and not peer.heartbeat.draining
            and now - peer.received_at <= MAX_REMOTE_SILENCE_S
        ]
        return random.choice(candidates) if candidates else None

    async def _forward(self, call: Call, remote: Heartbeat) -> web.StreamResponse:
        """Forward a request to ``remote``, which applies its own limits and claims."""
        service = call.pool.service.name
        self._node.events.write(Event.FORWARDED, service=service, hall=remote.hall, to=remote.name)
        base = f"http://{remote.callers}/services/{service}"
        try:
            return await self._exchange(call, base, {FORWARDED_HEADER: self._node.settings.hall})
        except UpstreamError as error:
            return self._failure_response(error, call, sent=error.sent)

    async def _serve(self, call: Call) -> web.StreamResponse:
        pool = call.pool
        pool.retries.earn()
        assignment = await self._router.assign(pool, call.remaining_s())
        if isinstance(assignment, Refused):
            text = (
                f"not run: {assignment.reason.value}; come back after {assignment.retry_after_s} s"
            )
            kind = assignment.reason.name.lower()
            return self._refuse(pool, kind, text, 503, assignment.retry_after_s)
        if not call.terms.key:
            return (await self._dispatch(call, assignment.executor)).answer
        return await self._dispatch_once(call, assignment.executor)

    async def _dispatch_once(self, call: Call, executor: str) -> web.StreamResponse:
        """Claim the request's key, then dispatch the request to ``executor``.

        The executor's slot stays occupied meanwhile. The claim is released if the request
        was certainly not sent, so that the caller can retry with the same key.
        """
        pool = call.pool
        claim: Claim | None = None
        try:
            key = f"{pool.service.name}/{call.terms.key}"
            claim = await self._claimer.claim(key, timeout_s=call.remaining_s())
        except LogUnavailable:
            text = "not run: the log did not grant it in time; send it again with the same key"
            return self._refuse(pool, "log", text, 503, 2)
        finally:
            if claim is None:
                self._release_slot(pool, executor, "dropped", time.monotonic())
        if claim is None:
            text = (
                "this key was dispatched before, its outcome is with that request's caller; "
                "if that was told 'not run', use a new key"
            )
            return problem(409, "already_dispatched", text)
        result = await self._dispatch(call, executor)
        if not result.sent:
            self._claimer.release(claim)
        return result.answer

    async def _dispatch(self, call: Call, first_executor: str) -> DispatchResult:
        """Send the request to an executor, with retries at others if the terms allow them."""
        pool = call.pool
        executor: str | None = first_executor
        last_executor, sent = "", False
        while executor is not None:
            last_executor = executor
            try:
                return DispatchResult(await self._attempt(call, executor), True)
            except UpstreamError as error:
                last_error = error
            executor, sent = None, sent or last_error.sent
            if not sent or call.terms.repeatable:
                executor = pool.again(last_executor, time.monotonic())
        self._node.events.write(
            Event.REQUEST_FAILED,
            service=pool.service.name,
            executor=last_executor,
            reason=str(last_error),
        )
        return DispatchResult(self._failure_response(last_error, call, sent=sent), sent)

    def _failure_response(self, error: UpstreamError, call: Call, *, sent: bool) -> web.Response:
        retry_after_s = call.pool.retry_after(time.monotonic())
        if not sent:
            answer = problem(
                503, "not_run", f"not run: {error}; come back", retry_after_s=retry_after_s
            )
            answer.headers[NOT_SENT_HEADER] = "yes"
            return answer
        if not call.remaining_s():
            text = "no answer before the deadline; it may have run"
            return problem(504, "outcome_unknown", text, retry_after_s=retry_after_s)
        text = f"no whole answer: {error}; it may have run"
        return problem(502, "outcome_unknown", text, retry_after_s=retry_after_s)

    def _refuse(
        self, pool: ServicePool, kind: str, text: str, status: int, retry_after_s: int
    ) -> web.Response:
        self._node.events.write(
            Event.REQUEST_REFUSED,
            service=pool.service.name,
            reason=kind,
            queued=pool.queued,
            in_flight=pool.in_flight,
            retry_after_s=retry_after_s,
        )
        return problem(status, kind, text, retry_after_s=retry_after_s)

    async def _attempt(self, call: Call, name: str) -> web.StreamResponse:
        """Send the request to one executor, and release its slot in any case."""
        started_at = time.monotonic()
        pool = call.pool
        executor = pool.executors[name]
        outcome = "dropped"
        try:
            answer = await self._exchange(call, f"http://{executor.address}", {})
            outcome = "failed" if answer.status in (502, 503) else "answered"
            self._log_routed(pool, name, answer.status, started_at)
            return answer
        except UpstreamError:
            outcome = "failed"
            raise
        finally:
            self._release_slot(pool, name, outcome, started_at)

    def _release_slot(self, pool: ServicePool, name: str, outcome: str, started_at: float) -> None:
        now = time.monotonic()
        if outcome == "answered":
            pool.answered(name, now - started_at, now)
        elif outcome == "failed" and pool.failed(name, now):
            self._node.events.write(
                Event.EXECUTOR_EJECTED, service=pool.service.name, executor=name
            )
        elif outcome == "dropped":
            pool.dropped(name, now)
        self._router.process_queue(pool)

    def _log_routed(self, pool: ServicePool, name: str, status: int, started_at: float) -> None:
        self._node.events.write(
            Event.ROUTED,
            service=pool.service.name,
            executor=name,
            status=status,
            upstream_ms=round((time.monotonic() - started_at) * 1000, 1),
            in_flight=pool.in_flight,
            queued=pool.queued,
        )

    async def _exchange(
        self, call: Call, base: str, extra_headers: Mapping[str, str]
    ) -> web.StreamResponse:
        """Send the request to the server at ``base`` and return the answer.

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
