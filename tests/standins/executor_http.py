"""An HTTP server for executors in memory."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from aiohttp import web

from linkspan.errors import Fenced, Unreachable, WrongIncarnation
from linkspan.platform.executors import task_from_wire, task_to_wire
from linkspan.shard.messages import PaceOrder, StartOrder, StartOutcome, StopOrder
from tests.hall_executors import HallExecutors
from tests.standins.memory_executor import ExecutorLink
from tests.standins.platform_http import local_port

_REASONS = {
    StartOutcome.SUPERSEDED: "old",
    StartOutcome.LATE: "late",
    StartOutcome.NO_ROOM: "room",
}

_Fields = dict[str, Any]
_Answer = tuple[int, _Fields]


class _Address(NamedTuple):
    """Address and id of the executor that an order is for."""

    address: str
    executor_id: str


class ExecutorFront:
    """Serves the executors' protocol for executors in memory.

    Attributes:
        addresses: Executor address of each server port.
        on_order: Callback before each order, with the executor's address.
    """

    def __init__(self, world: HallExecutors) -> None:
        self._world = world
        self.addresses: dict[int, str] = {}
        self.on_order: Callable[[str], None] = lambda _address: None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Carry out one order and answer it."""
        address = self.addresses[local_port(request)]
        body = json.loads(await request.read())
        self.on_order(address)
        target = request.headers["Linkspan-Target-Instance"]
        link = ExecutorLink(self._world, "", int(body.get("fencingToken", 0)))
        name = request.path.rpartition("/")[2].replace("-", "_")
        try:
            status, fields = await getattr(self, f"_{name}")(link, _Address(address, target), body)
        except Fenced:
            status, fields = 409, {"reason": "fence"}
        except WrongIncarnation:
            status, fields = 421, {}
        except Unreachable:
            assert request.transport
            request.transport.abort()
            return web.Response(status=503)
        executor = self._world.at(address)
        if executor:
            fields = {"clockMs": int(executor.clock * 1000), **fields}
        return web.json_response(fields, status=status)

    async def _run_start(self, link: ExecutorLink, to: _Address, body: _Fields) -> _Answer:
        task = task_from_wire(body["task"])
        if task.job_id not in self._world.specs:
            self._world.violations.append(f"UNASKED {task}: no client sent it")
            return 400, {}
        order = StartOrder(
            to.executor_id, task, body["run"], body["spec"], body.get("checkpoint", "")
        )
        answer = await link.start(to.address, order, until_s=body["untilMs"] / 1000)
        if answer.outcome is StartOutcome.STARTED:
            return 200, {}
        return 409, {"reason": _REASONS[answer.outcome]}

    async def _run_stop(self, link: ExecutorLink, to: _Address, body: _Fields) -> _Answer:
        order = StopOrder(to.executor_id, task_from_wire(body["task"]), body["run"])
        await link.stop(to.address, order)
        return 200, {}

    async def _pace(self, link: ExecutorLink, to: _Address, body: _Fields) -> _Answer:
        task = task_from_wire(body["task"])
        await link.pace(to.address, PaceOrder(to.executor_id, task, body["run"], body["percent"]))
        return 200, {}

    async def _hold(self, link: ExecutorLink, to: _Address, body: _Fields) -> _Answer:
        until_ms = body.get("untilMs")
        report = await link.renew(
            to.address,
            to.executor_id,
            acknowledged=body.get("lastSeen", 0),
            until_s=None if until_ms is None else until_ms / 1000,
            wait_s=body.get("waitMs", 0) / 1000,
        )
        running = [[task_to_wire(r.task), r.run, "", 100, r.usage] for r in report.running]
        ended = [[e.number, task_to_wire(e.task), e.run, e.kind.value, ""] for e in report.ended]
        return 200, {"running": running, "ended": ended, "born": report.started_at_ms}
