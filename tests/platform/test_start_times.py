"""Births at the edge: read strictly, split off for calls, put behind ids that come back."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import orjson
import pytest
import pytest_asyncio
from aiohttp import web
from aiohttp.test_utils import TestServer

from linkspan.errors import RecordError, Unreachable
from linkspan.platform.advice import AdviceClient
from linkspan.platform.executors import ExecutorClient
from linkspan.platform.records import executor_from_wire
from linkspan.shard.job_run import new_run
from linkspan.shard.messages import ExecutorReport, PaceOrder, StartOrder, StopOrder, TaskName
from linkspan.shard.shard_job import ShardJob
from tests.fuzz.builders import EXECUTOR
from tests.job_builders import step
from tests.shard.builders import submitted
from tests.standins.platform_http import ExecutorServer, serving

LIFE = "i-1@1700000000123"
TASK = TaskName("5c0e7a21d94b36f8", 0, 1, 17)

ODD = ["1700000000123", 1.5, 1700000000123.0, -1, True, [1], {"at": 1}, 2**60]
"""Births that name nothing; one that is missing is another matter."""


class Called:
    """An executor's client and what it was asked."""

    def __init__(self, client: ExecutorClient, server: ExecutorServer, address: str) -> None:
        self._client = client
        self._address = address
        self.server = server

    @property
    def client(self) -> ExecutorClient:
        """The client."""
        return self._client

    @property
    def address(self) -> str:
        """Where the executor is."""
        return self._address

    async def look(self, life: str = LIFE, **fields: Any) -> ExecutorReport:
        """Return the report of an answer with some fields."""
        body = {"clockMs": 1, "running": [], "ended": [], **fields}
        self.server.answers.append((200, body))
        return await self._client.renew(
            self._address, life, acknowledged=0, until_s=None, wait_s=0.0
        )


@pytest_asyncio.fixture
async def called() -> AsyncIterator[Called]:
    server = ExecutorServer()
    async with serving(server.handle) as address, aiohttp.ClientSession() as session:
        yield Called(ExecutorClient(session, 7, timeout_s=1.0), server, address)


def entry(**fields: object) -> bytes:
    """Return an entry without a birth, but for some fields."""
    sound = {name: value for name, value in EXECUTOR.items() if name != "born"}
    return orjson.dumps({**sound, **fields})


def test_an_entry_names_a_life() -> None:
    assert executor_from_wire("i-1", entry(born=1_700_000_000_123)).executor_id == LIFE


def test_an_entry_without_a_birth_names_its_id() -> None:
    assert executor_from_wire("i-1", entry()).executor_id == "i-1"


@pytest.mark.parametrize("born", ODD)
def test_an_entry_with_an_odd_birth_names_none(born: object) -> None:
    with pytest.raises(RecordError):
        executor_from_wire("i-1", entry(born=born))


def test_an_id_that_reads_like_a_life_names_none() -> None:
    with pytest.raises(RecordError):
        executor_from_wire("i-1@5", entry())


async def test_a_report_tells_whose_it_is(called: Called) -> None:
    assert (await called.look(born=1_700_000_009_000)).started_at_ms == 1_700_000_009_000


@pytest.mark.parametrize("born", ODD)
async def test_a_report_with_an_odd_birth_is_none(called: Called, born: object) -> None:
    with pytest.raises(Unreachable):
        await called.look(born=born)


async def test_a_report_without_a_birth_is_none_where_one_stood(called: Called) -> None:
    with pytest.raises(Unreachable):
        await called.look()
    assert (await called.look("i-1")).started_at_ms is None


async def test_calls_name_the_id_alone(called: Called) -> None:
    await called.look(born=5)
    called.server.answers += [(200, {"clockMs": 1})] * 3
    start, stop = StartOrder(LIFE, TASK, 2, "text", ""), StopOrder(LIFE, TASK, 2)
    await called.client.start(called.address, start, until_s=1.0)
    await called.client.stop(called.address, stop)
    await called.client.pace(called.address, PaceOrder(LIFE, TASK, 2, 50))
    assert [target for _, target, _ in called.server.asked] == ["i-1"] * 4


async def test_a_policy_is_asked_for_ids_and_its_tickets_are_a_lifes() -> None:
    asked: list[bytes] = []

    async def answer(request: web.Request) -> web.Response:
        asked.append(await request.read())
        return web.json_response({"good": [["i-1", "ticket"]]})

    app = web.Application()
    app.router.add_post("/api/advise", answer)
    run = new_run(ShardJob(submitted(step(1))), 0)
    async with TestServer(app) as server, aiohttp.ClientSession() as session:
        client = AdviceClient(session, f"{server.host}:{server.port}")
        advice = await client.advise(run.steps[0], (LIFE, "i-2@7"))
    assert orjson.loads(asked[0])["workers"] == ["i-1", "i-2"]
    assert advice.tickets == {LIFE: "ticket"}
