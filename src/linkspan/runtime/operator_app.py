"""HTTP listener for operators of both daemons: health, readiness, metrics and drain."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Any

import orjson
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from linkspan.runtime.node import Node

OPEN_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})
"""Paths that require no token."""

MAX_OPERATOR_BODY_BYTES = 1_048_576
"""Maximum size of a request body from an operator."""


def json_response(value: Any, *, status: int = 200, headers: dict[str, str] | None = None) -> Any:
    """Return an HTTP response with a value as JSON."""
    body = orjson.dumps(value, default=list, option=orjson.OPT_INDENT_2)
    return web.Response(body=body, status=status, content_type="application/json", headers=headers)


def problem(
    status: int, kind: str, text: str, *, retry_after_s: int | None = None, **more: Any
) -> web.Response:
    """Return an error response with the kind of error and a text that names its remedy."""
    headers = {} if retry_after_s is None else {"Retry-After": str(retry_after_s)}
    response: web.Response = json_response(
        {"error": kind, "message": text, **more}, status=status, headers=headers
    )
    return response


def make_operator_app(node: Node, reasons_not_ready: Callable[[], list[str]]) -> web.Application:
    """Return the app with the endpoints that both daemons serve to operators.

    Args:
        node: The daemon.
        reasons_not_ready: Returns why the daemon is not ready, an empty list if it is.
    """

    @web.middleware
    async def check_token(
        request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        token = node.settings.operator_token
        sent = request.headers.get("Authorization", "").removeprefix("Bearer ")
        is_open = request.path in OPEN_PATHS
        if is_open or not token or hmac.compare_digest(sent.encode(), token.encode()):
            return await handler(request)
        return problem(401, "unauthorized", "send 'Authorization: Bearer TOKEN'")

    async def health(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def ready(request: web.Request) -> web.Response:
        reasons = reasons_not_ready()
        if reasons:
            return web.Response(text="; ".join(reasons) + "\n", status=503)
        return web.Response(text="ready\n")

    async def metrics(request: web.Request) -> web.Response:
        body, headers = node.metrics.page(request.headers.get("Accept", ""))
        return web.Response(body=body, headers=headers)

    async def drain(request: web.Request) -> web.Response:
        node.request_stop()
        return json_response({"draining": True})  # type: ignore[no-any-return]

    app = web.Application(client_max_size=MAX_OPERATOR_BODY_BYTES, middlewares=[check_token])
    app.router.add_get("/healthz", health)
    app.router.add_get("/readyz", ready)
    app.router.add_get("/metrics", metrics)
    app.router.add_post("/drain", drain)
    return app


async def listen(app: web.Application, host: str, port: int) -> tuple[web.AppRunner, str]:
    """Serve an app and return its runner and the bound ``ip:port``."""
    runner = web.AppRunner(app, access_log=None, handle_signals=False)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound = runner.addresses[0]
    return runner, f"{bound[0]}:{bound[1]}"
