"""HTTP interface for operators: configuration changes and the status of the gateway."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from aiohttp import web

from linkspan._fields import as_number, as_text, check_known_fields, parse_json_object
from linkspan.config.store import CONFIG_STREAM, Change, ChangeResult, apply_change, encode_change
from linkspan.config.validate import validate
from linkspan.errors import InvalidInput, LogUnavailable
from linkspan.events import Event
from linkspan.runtime.operator_app import json_response, problem

if TYPE_CHECKING:
    from linkspan.gateway.router import Router
    from linkspan.runtime.node import Node

RESULT_POLL_INTERVAL_S = 0.02
"""Interval between checks for the result of a published change."""


class OperatorsApi:
    """Serves ``/config`` and ``/status`` on the operator listener.

    Args:
        node: The daemon.
        router: Source of the services' status.
        timeout_s: Timeout for the log to show the result of a change.
    """

    def __init__(self, node: Node, router: Router, *, timeout_s: float) -> None:
        self._node = node
        self._router = router
        self._timeout_s = timeout_s

    def __repr__(self) -> str:
        return f"OperatorsApi(timeout_s={self._timeout_s})"

    def add_routes(self, app: web.Application) -> None:
        """Register the operator routes."""
        app.router.add_get("/config", self.get_config)
        app.router.add_post("/config/changes", self.publish)
        app.router.add_get("/config/changes/{change_id}", self.get_change)
        app.router.add_get("/status", self.get_status)

    async def get_config(self, request: web.Request) -> web.Response:
        """Answer ``GET /config``."""
        state = self._node.config.state
        return json_response(  # type: ignore[no-any-return]
            {"version": state.version, "document": dict(state.document)}
        )

    async def get_change(self, request: web.Request) -> web.Response:
        """Answer ``GET /config/changes/ID``."""
        result = self._node.config.result_of(request.match_info["change_id"])
        if result is None:
            text = "no verdict known here; it may be with the log, or be long past"
            return problem(404, "unknown_change", text)
        return _result_response(result, [])

    async def publish(self, request: web.Request) -> web.Response:
        """Answer ``POST /config/changes``."""
        try:
            change = parse_change(await request.read())
        except InvalidInput as error:
            return problem(400, "invalid_input", str(error), field=error.field)
        document = apply_change(self._node.config.state.document, change)
        findings = [
            finding
            for finding in validate(document)
            if finding.key in change.touched or finding.is_error
        ]
        if any(finding.is_error for finding in findings):
            listed = [finding._asdict() for finding in findings]
            text = f"{findings[0].key}: {findings[0].text}"
            self._node.events.write(Event.CONFIG_REFUSED, change=change.change_id, reason=text)
            return problem(422, "invalid_configuration", text, findings=listed)
        warnings = [f"{finding.key}: {finding.text}" for finding in findings]
        return await self._append_change(change, warnings)

    async def _append_change(self, change: Change, warnings: list[str]) -> web.Response:
        # An unanswered append may still have taken effect; the log shows whether it has.
        with contextlib.suppress(LogUnavailable):
            await self._node.log.append(CONFIG_STREAM, encode_change(change))
        result = await self._await_result(change.change_id)
        if result is None:
            text = (
                f"the log has not shown it yet; ask GET /config/changes/{change.change_id}, "
                "or publish it again under the same change_id"
            )
            return problem(202, "unknown_yet", text, retry_after_s=2)
        if not result.accepted:
            self._node.events.write(
                Event.CONFIG_REFUSED, change=change.change_id, reason=result.reason
            )
        return _result_response(result, warnings)

    async def _await_result(self, change_id: str) -> ChangeResult | None:
        deadline = time.monotonic() + self._timeout_s
        while time.monotonic() < deadline:
            result = self._node.config.result_of(change_id)
            if result is not None:
                return result
            await asyncio.sleep(RESULT_POLL_INTERVAL_S)
        return None

    async def get_status(self, request: web.Request) -> web.Response:
        """Answer ``GET /status``."""
        node, now = self._node, time.monotonic()
        peers = [
            {
                "name": peer.heartbeat.name,
                "role": peer.heartbeat.role,
                "hall": peer.heartbeat.hall,
                "config_version": peer.heartbeat.config,
                "heard_s_ago": round(now - peer.received_at, 1),
                "draining": peer.heartbeat.draining,
            }
            for peer in node.directory.all()
        ]
        listed = {
            host.address for host in node.host_lists.value if host.role in ("gateway", "scheduler")
        }
        heard = {peer.heartbeat.address for peer in node.directory.live(now)} | {node.address}
        return json_response(  # type: ignore[no-any-return]
            {
                "name": node.name,
                "hall": node.settings.hall,
                "config_version": node.config.version,
                "peers": sorted(peers, key=lambda peer: (peer["hall"], peer["name"])),
                "not_asked": sorted(listed - heard),
                "services": {name: self._service_status(name, now) for name in self._router.pools},
            }
        )

    def _service_status(self, name: str, now: float) -> dict[str, Any]:
        pool = self._router.pools[name]
        slots = pool.service.slots
        return {
            "in_flight": pool.in_flight,
            "queued": pool.queued,
            "executors": {
                executor.name: {
                    "in_flight": executor.in_flight,
                    "share": self._router.shares.share(executor.name, slots, now),
                    "latency_ms": round(executor.latency_s * 1000, 1),
                    "leaving": executor.leaving,
                    "set_aside": not executor.breaker.is_closed,
                }
                for executor in pool.executors.values()
            },
        }


def parse_change(body: bytes) -> Change:
    """Parse the JSON body of a configuration change.

    Raises:
        InvalidInput: The body is not a valid change.
    """
    fields = parse_json_object(body)
    check_known_fields("", fields, Change.__dataclass_fields__)
    values, deleted = fields.get("values", {}), fields.get("deleted", [])
    base = as_number("base", fields.get("base"), 0, 2**48)
    if not isinstance(values, Mapping):
        raise InvalidInput("values", "is no object", "give new values by key")
    if not isinstance(deleted, list) or not all(isinstance(key, str) for key in deleted):
        raise InvalidInput("deleted", "is no list of keys", "give the keys to remove")
    if not values and not deleted:
        raise InvalidInput("values", "nothing to change", "give values or deleted")
    change_id = as_text("change_id", fields.get("change_id"), max_length=128)
    author = as_text("author", fields.get("author"), max_length=128)
    return Change(change_id, base, author, dict(values), tuple(deleted))


def _result_response(result: ChangeResult, warnings: list[str]) -> web.Response:
    body = {
        "accepted": result.accepted,
        "version": result.version,
        "reason": result.reason,
        "conflicts": list(result.conflicts),
        "warnings": warnings,
    }
    return json_response(body, status=200 if result.accepted else 409)  # type: ignore[no-any-return]
