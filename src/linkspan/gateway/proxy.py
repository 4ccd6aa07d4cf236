"""Forwards callers' requests to executors and returns the answers."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, NamedTuple

from aiohttp import web

from linkspan.errors import InvalidInput, LogUnavailable
from linkspan.events import Event
from linkspan.gateway.request_terms import request_terms
from linkspan.gateway.upstream import NOT_SENT_HEADER, Call, Upstream, UpstreamError
from linkspan.routing.pool import Refused
from linkspan.runtime.operator_app import problem

if TYPE_CHECKING:
    from linkspan.gateway.claimer import Claimer
    from linkspan.gateway.router import Router
    from linkspan.peer.messages import Heartbeat
    from linkspan.routing.claims import Claim
    from linkspan.routing.pool import ServicePool
    from linkspan.runtime.node import Node

FORWARDED_HEADER = "Linkspan-Forwarded"
"""Marks a request from a gateway of another hall; such a request is not forwarded again."""

MAX_REMOTE_SILENCE_S = 120.0
"""Limits the age of the last heartbeat of a gateway to which requests are forwarded.

Gateways of other halls send heartbeats rarely."""


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
        self._upstream = Upstream()

    def __repr__(self) -> str:
        return f"Proxy({self._router!r})"

    async def close(self) -> None:
        """Close the connections to executors."""
        await self._upstream.close()

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
            return await self._upstream.exchange(
                call, base, {FORWARDED_HEADER: self._node.settings.hall}
            )
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
            answer = await self._upstream.exchange(call, f"http://{executor.address}", {})
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
