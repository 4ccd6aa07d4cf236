"""Carries callers' requests to executors and whole answers back."""

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
    passed_on,
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

MAX_HELD_BYTES = 1_048_576
"""Answers up to this size are held until they are whole."""

PIECE_BYTES = 65_536
"""Size of the pieces in which longer answers and feeds pass through."""

FORWARDED_HEADER = "Linkspan-Forwarded"
"""Marks a request that comes from a gateway of another hall; it goes no further."""

NOT_SENT_HEADER = "Linkspan-Not-Sent"
"""Marks our own answer to a request of which no byte went to an executor."""

FAR_SILENCE_S = 120.0
"""Silence after which a gateway of another hall is not counted on; it is heard seldom."""

IDLE_S = 60.0
"""Longest silence within a feed."""

_SAFE_FAILURES = (aiohttp.ClientConnectorError,)
"""Failures before any byte went out."""


class UpstreamFailed(Exception):
    """An executor gave no whole answer.

    Args:
        sent: Whether a byte of the request may have reached it.
        reason: What happened.
    """

    def __init__(self, *, sent: bool, reason: str) -> None:
        super().__init__(reason)
        self.sent = sent


class Call(NamedTuple):
    """A caller's request on its way.

    Attributes:
        request: The request.
        pool: Its service's pool.
        terms: What its headers ask for.
        body: Its whole body, empty for a feed.
        deadline: Our time in seconds by which its answer is of use.
    """

    request: web.Request
    pool: ServicePool
    terms: RequestTerms
    body: bytes
    deadline: float

    def left(self) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline - time.monotonic())


class Dispatched(NamedTuple):
    """What became of a request.

    Attributes:
        answer: The answer for the caller.
        sent: Whether a byte of it may have reached any executor.
    """

    answer: web.StreamResponse
    sent: bool


class Proxy:
    """Handles ``/services/NAME/...``.

    Args:
        node: The daemon.
        router: The services' pools.
        claimer: Grants requests that must not be repeated.
    """

    def __init__(self, node: Node, router: Router, claimer: Claimer) -> None:
        self._node = node
        self._router = router
        self._claimer = claimer
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0, keepalive_timeout=15)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
        )
        # The library would send a repeatable request again by itself, outside our budget.
        self._session._retry_connection = False

    def __repr__(self) -> str:
        return f"Proxy({self._router!r})"

    async def close(self) -> None:
        """Close the connections to executors."""
        await self._session.close()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a caller's request."""
        started = time.monotonic()
        name = request.match_info["service"]
        pool = self._router.pools.get(name)
        if pool is None:
            text = f"no service {name!r:.80}; publish services/NAME first"
            return self._count(name, started, problem(404, "unknown_service", text))
        try:
            terms = request_terms(request.method, request.headers, pool.service)
        except InvalidInput as error:
            refusal = problem(400, "invalid_input", str(error), field=error.field)
            return self._count(name, started, refusal)
        try:
            async with asyncio.timeout(terms.budget_s):
                body = b"" if terms.stream else await request.read()
        except TimeoutError:
            text = "not run: the body did not arrive before the deadline; send it faster"
            return self._count(name, started, problem(408, "slow_sender", text))
        call = Call(request, pool, terms, body, started + terms.budget_s)
        return self._count(name, started, await self._forward_or_serve(call))

    def _count(
        self, service: str, started: float, answer: web.StreamResponse
    ) -> web.StreamResponse:
        metrics = self._node.metrics
        metrics.requests.inc({"service": service, "status": str(answer.status)})
        metrics.latency.observe({"service": service}, time.monotonic() - started)
        return answer

    async def _forward_or_serve(self, call: Call) -> web.StreamResponse:
        pool = call.pool
        if not pool.has_executor and FORWARDED_HEADER not in call.request.headers:
            other = self._gateway_elsewhere(pool.service.name)
            if other is not None:
                return await self._forward(call, other)
        return await self._serve(call)

    def _gateway_elsewhere(self, service: str) -> Heartbeat | None:
        """Return a gateway of another hall that has executors of the service."""
        now, node = time.monotonic(), self._node
        known = [
            peer.heartbeat
            for peer in node.directory.known(role="gateway")
            if service in peer.heartbeat.serves
            and peer.heartbeat.hall != node.settings.hall
            and not peer.heartbeat.draining
            and now - peer.received_at <= FAR_SILENCE_S
        ]
        return random.choice(known) if known else None

    async def _forward(self, call: Call, other: Heartbeat) -> web.StreamResponse:
        """Pass a request on whole; the other gateway claims and limits it as its own."""
        service = call.pool.service.name
        self._node.events.write(Event.FORWARDED, service=service, hall=other.hall, to=other.name)
        base = f"http://{other.callers}/services/{service}"
        try:
            return await self._exchange(call, base, {FORWARDED_HEADER: self._node.settings.hall})
        except UpstreamFailed as error:
            return self._failed(error, call, sent=error.sent)

    async def _serve(self, call: Call) -> web.StreamResponse:
        pool = call.pool
        pool.retries.earn()
        entered = await self._router.enter(pool, call.left())
        if isinstance(entered, Refused):
            text = f"not run: {entered.why.value}; come back after {entered.retry_after_s} s"
            kind = entered.why.name.lower()
            return self._refuse(pool, kind, text, 503, entered.retry_after_s)
        if not call.terms.key:
            return (await self._dispatch(call, entered.executor)).answer
        return await self._dispatch_once(call, entered.executor)

    async def _dispatch_once(self, call: Call, executor: str) -> web.StreamResponse:
        """Claim the request's key while its slot is held, then send it.

        The key is given back when the request was surely not sent, so that the
        caller can come back with it.
        """
        pool = call.pool
        claim: Claim | None = None
        try:
            key = f"{pool.service.name}/{call.terms.key}"
            claim = await self._claimer.claim(key, timeout_s=call.left())
        except LogUnavailable:
            text = "not run: the log did not grant it in time; send it again with the same key"
            return self._refuse(pool, "log", text, 503, 2)
        finally:
            if claim is None:
                self._settle(pool, executor, "dropped", time.monotonic())
        if claim is None:
            text = (
                "this key was dispatched before, its outcome is with that request's caller; "
                "if that was told 'not run', use a new key"
            )
            return problem(409, "already_dispatched", text)
        dispatched = await self._dispatch(call, executor)
        if not dispatched.sent:
            self._claimer.release(claim)
        return dispatched.answer

    async def _dispatch(self, call: Call, first: str) -> Dispatched:
        """Send the request to an executor, and again elsewhere where that is allowed."""
        pool = call.pool
        executor: str | None = first
        tried, sent = "", False
        while executor is not None:
            tried = executor
            try:
                return Dispatched(await self._attempt(call, executor), True)
            except UpstreamFailed as error:
                last = error
            executor, sent = None, sent or last.sent
            if not sent or call.terms.repeatable:
                executor = pool.again(tried, time.monotonic())
        self._node.events.write(
            Event.REQUEST_FAILED, service=pool.service.name, executor=tried, reason=str(last)
        )
        return Dispatched(self._failed(last, call, sent=sent), sent)

    def _failed(self, error: UpstreamFailed, call: Call, *, sent: bool) -> web.Response:
        wait = call.pool.retry_after(time.monotonic())
        if not sent:
            answer = problem(503, "not_run", f"not run: {error}; come back", retry_after_s=wait)
            answer.headers[NOT_SENT_HEADER] = "yes"
            return answer
        if not call.left():
            text = "no answer before the deadline; it may have run"
            return problem(504, "outcome_unknown", text, retry_after_s=wait)
        text = f"no whole answer: {error}; it may have run"
        return problem(502, "outcome_unknown", text, retry_after_s=wait)

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
        """Send the request to one executor; always frees its slot."""
        began = time.monotonic()
        pool = call.pool
        executor = pool.executors[name]
        outcome = "dropped"
        try:
            answer = await self._exchange(call, f"http://{executor.address}", {})
            outcome = "failed" if answer.status in (502, 503) else "answered"
            self._log_routed(pool, name, answer.status, began)
            return answer
        except UpstreamFailed:
            outcome = "failed"
            raise
        finally:
            self._settle(pool, name, outcome, began)

    def _settle(self, pool: ServicePool, name: str, outcome: str, began: float) -> None:
        now = time.monotonic()
        if outcome == "answered":
            pool.answered(name, now - began, now)
        elif outcome == "failed" and pool.failed(name, now):
            self._node.events.write(
                Event.EXECUTOR_EJECTED, service=pool.service.name, executor=name
            )
        elif outcome == "dropped":
            pool.dropped(name, now)
        self._router.wake(pool)

    def _log_routed(self, pool: ServicePool, name: str, status: int, began: float) -> None:
        self._node.events.write(
            Event.ROUTED,
            service=pool.service.name,
            executor=name,
            status=status,
            upstream_ms=round((time.monotonic() - began) * 1000, 1),
            in_flight=pool.in_flight,
            queued=pool.queued,
        )

    async def _exchange(
        self, call: Call, base: str, extra: Mapping[str, str]
    ) -> web.StreamResponse:
        """Send the request to ``base`` and bring the answer back.

        Raises:
            UpstreamFailed: There was no whole answer.
        """
        request, terms, left = call.request, call.terms, call.left()
        headers = passed_on(request.headers)
        headers[DEADLINE_HEADER] = str(max(1, int(left * 1000)))
        headers.update(extra)
        url = URL(base + _raw_tail(request), encoded=True)
        timeout = aiohttp.ClientTimeout(
            total=None if terms.stream else max(left, 0.001), sock_read=IDLE_S, connect=1.0
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
                return await self._bring_back(request, upstream, terms)
        except _SAFE_FAILURES as error:
            raise UpstreamFailed(sent=False, reason=f"{error.__class__.__name__}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise UpstreamFailed(sent=True, reason=f"{error.__class__.__name__}") from error

    async def _bring_back(
        self, request: web.Request, upstream: aiohttp.ClientResponse, terms: RequestTerms
    ) -> web.StreamResponse:
        length = upstream.content_length
        headers = passed_on(upstream.headers)
        headers.popall(NOT_SENT_HEADER, None)
        if not terms.stream and length is not None and length <= MAX_HELD_BYTES:
            body = await upstream.read()
            return web.Response(status=upstream.status, headers=headers, body=body)
        return await self._stream_back(request, upstream, headers)

    async def _stream_back(
        self, request: web.Request, upstream: aiohttp.ClientResponse, headers: CIMultiDict[str]
    ) -> web.StreamResponse:
        """Pass pieces on as the caller takes them; a cut one cuts the caller too."""
        answer = web.StreamResponse(status=upstream.status, headers=headers)
        await answer.prepare(request)
        try:
            async for piece in upstream.content.iter_chunked(PIECE_BYTES):
                await answer.write(piece)
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
    """Return path and query after the service's name, byte for byte as they came."""
    path, mark, query = request.raw_path.partition("?")
    return "/" + path.split("/", 3)[3] + mark + query
