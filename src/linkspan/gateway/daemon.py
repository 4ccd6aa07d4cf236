"""The gateway process: its listeners and background tasks."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from aiohttp import web

from linkspan.events import Event
from linkspan.gateway.claimer import Claimer
from linkspan.gateway.jobs import JobsApi
from linkspan.gateway.operators import OperatorsApi
from linkspan.gateway.proxy import Proxy
from linkspan.gateway.router import Router
from linkspan.runtime.node import Node, split_address
from linkspan.runtime.operator_app import listen, make_operator_app, problem

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from linkspan.peer.messages import Heartbeat
    from linkspan.settings import GatewaySettings

START_INTERVALS = 3
"""Reads of the host list, and heartbeats, that a gateway waits for before it uses a slot."""


def start_delay_s(settings: GatewaySettings) -> float:
    """Return the time for which a gateway that starts collects heartbeats, in seconds.

    In this time the host list shows it the other gateways, and each of them sends a heartbeat.
    """
    return START_INTERVALS * max(settings.hosts_poll_s, settings.heartbeat_s)


class GatewayDaemon:
    """One gateway process.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, settings: GatewaySettings) -> None:
        self._settings = settings
        self._node = Node("gateway", settings)
        self._router: Router | None = None
        self._open_requests = 0
        self._caller_address = ""

    def __repr__(self) -> str:
        return f"GatewayDaemon({self._node.name!r}, open_requests={self._open_requests})"

    async def serve(self) -> int:
        """Run until a stop is requested, and return the exit code."""
        node, settings = self._node, self._settings
        await node.start()
        router = self._router = Router(
            node.name, node.address, settings.hall, start_delay_s=start_delay_s(settings)
        )
        claimer = Claimer(node)
        proxy = Proxy(node, router, claimer)
        node.complete_heartbeat = self._complete_heartbeat
        node.heartbeats.subscribe(router.on_heartbeat)
        node.disconnected_addresses.subscribe(router.on_connection_refused)
        node.host_lists.subscribe(router.on_hosts)
        node.config_states.subscribe(router.on_config)
        node.spawn(router.run())
        node.spawn(claimer.run_appends())
        node.spawn(claimer.run_tail())
        caller_runner, caller_address = await listen(
            self._make_caller_app(proxy), *split_address(settings.listen)
        )
        self._caller_address = caller_address
        operator_app = make_operator_app(node, self._reasons_not_ready)
        operators_api = OperatorsApi(node, router, timeout_s=settings.answer_timeout_s)
        operators_api.add_routes(operator_app)
        operator_runner, operator_address = await listen(
            operator_app, *split_address(settings.operator_listen)
        )
        node.events.write(
            Event.LISTENING, peer=node.address, operator=operator_address, callers=caller_address
        )
        await node.wait_for_stop()
        await self._drain(caller_runner)
        await operator_runner.cleanup()
        await proxy.close()
        return await node.close()

    def _make_caller_app(self, proxy: Proxy) -> web.Application:
        @web.middleware
        async def count_open_requests(
            request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
        ) -> web.StreamResponse:
            self._open_requests += 1
            try:
                answer = await handler(request)
                if self._node.draining and not answer.prepared:
                    answer.force_close()
                return answer
            except web.HTTPRequestEntityTooLarge:
                limit = self._settings.max_body_bytes
                return problem(413, "too_large", f"body over {limit} bytes; send less")
            finally:
                self._open_requests -= 1

        app = web.Application(
            client_max_size=self._settings.max_body_bytes, middlewares=[count_open_requests]
        )
        app.router.add_route("*", "/services/{service}/{tail:.*}", proxy.handle)
        JobsApi(self._node, timeout_s=self._settings.answer_timeout_s).add_routes(app)
        return app

    def _reasons_not_ready(self) -> list[str]:
        reasons = []
        if self._node.draining:
            reasons.append("draining")
        if not self._node.config.version:
            reasons.append("no configuration read yet")
        if self._router is None or not self._router.shares.is_confirmed:
            reasons.append("slots not divided with the other gateways yet")
        return reasons

    async def _drain(self, caller_runner: web.AppRunner) -> None:
        """Wait until load balancers stop sending, then finish the open requests."""
        await asyncio.sleep(self._settings.drain_notice_s)
        for site in list(caller_runner.sites):
            await site.stop()
        deadline = time.monotonic() + self._settings.drain_limit_s
        while self._open_requests and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        await caller_runner.cleanup()

    def _complete_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        router = self._router
        if router is None:
            return heartbeat
        members, heard = router.describe_division()
        self._node.metrics.in_flight.set({}, router.in_flight)
        return dataclasses.replace(
            heartbeat,
            members=members,
            heard=heard,
            in_flight=router.in_flight,
            callers=self._caller_address,
            serves=router.served_services,
        )
