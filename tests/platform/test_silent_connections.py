"""Checks calls over connections that go silent without a reset.

A network failure can leave a pooled connection open that delivers nothing. Each call must end after
its timeout and discard the connection, so that later calls use a new one.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web

from linkspan.errors import StoreUnanswered, Unreachable
from linkspan.platform.advice import AdviceClient
from linkspan.platform.executors import ExecutorClient
from linkspan.platform.machines import MachineClient
from linkspan.platform.store import StoreClient
from linkspan.shard.messages import PaceOrder, StartOrder, StopOrder, TaskName
from linkspan.store.types import Partition, Record
from tests.job_builders import step
from tests.shard.builders import core_with
from tests.standins.fault_proxy import FaultProxy
from tests.standins.platform_http import StoreServer, serving

TIMEOUT_S = 0.5
"""Timeout of each call here. A regular call must finish within it also on a busy machine: 0.2 s
was too short once, for three concurrent first calls at a load of 34 on 16 cores."""

POOLED = 3
"""Idle connections when the silence begins. Each may fail one call."""

TASK = TaskName("5c0e7a21d94b36f8", 0, 0, 0)
Call = Callable[[aiohttp.ClientSession, str], Awaitable[object]]


def _executor(session: aiohttp.ClientSession) -> ExecutorClient:
    return ExecutorClient(session, 1, timeout_s=TIMEOUT_S)


async def _advise(session: aiohttp.ClientSession, address: str) -> object:
    run = core_with(step(1)).jobs["00000000000000aa"].runs[0]
    return await AdviceClient(session, address, timeout_s=TIMEOUT_S).advise(run.steps[0], ("e0",))


CALLS: dict[str, Call] = {
    "append": lambda session, address: StoreClient(session, address, timeout_s=TIMEOUT_S).append(
        Partition("a"), [Record(b"x")]
    ),
    "long read": lambda session, address: StoreClient(session, address, timeout_s=TIMEOUT_S).read(
        Partition("a"), 0, wait_s=0.1
    ),
    "start": lambda session, address: _executor(session).start(
        address, StartOrder("e", TASK, 1, "text", ""), until_s=1.0
    ),
    "stop": lambda session, address: _executor(session).stop(address, StopOrder("e", TASK, 1)),
    "pace": lambda session, address: _executor(session).pace(address, PaceOrder("e", TASK, 1, 50)),
    "long look": lambda session, address: _executor(session).renew(
        address, "e", acknowledged=0, until_s=1.0, wait_s=0.1
    ),
    "machines": lambda session, address: MachineClient(
        session, address, timeout_s=TIMEOUT_S
    ).machines(),
    "advice": _advise,
}


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    if "/log-" in request.path:
        return await _STORE.handle(request)
    return web.json_response({"clockMs": 1, "running": [], "ended": [], "machines": [], "good": []})


_STORE = StoreServer()


@pytest.mark.parametrize("name", CALLS)
async def test_a_silent_connection_fails_one_call_within_its_timeout(name: str) -> None:
    call = CALLS[name]
    async with serving(_answer) as target, aiohttp.ClientSession() as session:
        proxy = FaultProxy(target)
        async with proxy.serve() as address:
            await asyncio.gather(*(call(session, address) for _ in range(POOLED)))
            proxy.silence()
            began = time.monotonic()
            with pytest.raises((StoreUnanswered, Unreachable)):
                await call(session, address)
            assert time.monotonic() - began < 3 * TIMEOUT_S
            failed = 1
            while True:
                try:
                    await call(session, address)
                except (StoreUnanswered, Unreachable):
                    failed += 1
                    assert failed <= POOLED
                else:
                    break
