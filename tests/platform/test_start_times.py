"""Checks start times of executors in entries, reports, calls and policy requests.

Inside the product an executor's name is its id with the start time of its incarnation. Services
outside know only the id. A malformed start time would attribute a report or an entry to the wrong
incarnation, so that it must be rejected.
"""

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
from tests.shard.builders import submitted_job
from tests.standins.platform_http import ExecutorServer, serving

INCARNATION = "i-1@1700000000123"
TASK = TaskName("5c0e7a21d94b36f8", 0, 1, 17)

MALFORMED = ["1700000000123", 1.5, 1700000000123.0, -1, True, [1], {"at": 1}, 2**60]
"""Malformed start times. A missing start time is treated differently."""


class ServedClient:
    """A client of executors and the server that records its requests."""

    def __init__(self, client: ExecutorClient, server: ExecutorServer, address: str) -> None:
        self._client = client
        self._address = address
        self.server = server

    @property
    def client(self) -> ExecutorClient:
        """Client under test."""
        return self._client

    @property
    def address(self) -> str:
        """Address of the executor."""
        return self._address

    async def poll(self, incarnation: str = INCARNATION, **fields: Any) -> ExecutorReport:
        """Poll an executor incarnation whose answer has the given fields, and return the report."""
        body = {"clockMs": 1, "running": [], "ended": [], **fields}
        self.server.answers.append((200, body))
        return await self._client.renew(
            self._address, incarnation, acknowledged=0, until_s=None, wait_s=0.0
        )


@pytest_asyncio.fixture
async def served() -> AsyncIterator[ServedClient]:
    server = ExecutorServer()
    async with serving(server.handle) as address, aiohttp.ClientSession() as session:
        yield ServedClient(ExecutorClient(session, 7, timeout_s=1.0), server, address)


def entry(**fields: object) -> bytes:
    """Return an entry without a start time, with some fields changed."""
    well_formed = {name: value for name, value in EXECUTOR.items() if name != "born"}
    return orjson.dumps({**well_formed, **fields})


def test_an_entry_with_a_start_time_names_an_incarnation() -> None:
    assert executor_from_wire("i-1", entry(born=1_700_000_000_123)).executor_id == INCARNATION


def test_an_entry_without_a_start_time_names_its_id() -> None:
    assert executor_from_wire("i-1", entry()).executor_id == "i-1"


@pytest.mark.parametrize("born", MALFORMED)
def test_an_entry_with_a_malformed_start_time_is_refused(born: object) -> None:
    with pytest.raises(RecordError):
        executor_from_wire("i-1", entry(born=born))


def test_an_id_in_the_form_of_an_incarnation_is_refused() -> None:
    with pytest.raises(RecordError):
        executor_from_wire("i-1@5", entry())


async def test_a_report_has_the_start_time_of_its_incarnation(served: ServedClient) -> None:
    assert (await served.poll(born=1_700_000_009_000)).started_at_ms == 1_700_000_009_000


@pytest.mark.parametrize("born", MALFORMED)
async def test_a_report_with_a_malformed_start_time_is_no_answer(
    served: ServedClient, born: object
) -> None:
    with pytest.raises(Unreachable):
        await served.poll(born=born)


async def test_a_report_without_a_start_time_is_no_answer_if_the_entry_has_one(
    served: ServedClient,
) -> None:
    with pytest.raises(Unreachable):
        await served.poll()
    assert (await served.poll("i-1")).started_at_ms is None


async def test_calls_contain_only_the_id(served: ServedClient) -> None:
    await served.poll(born=5)
    served.server.answers += [(200, {"clockMs": 1})] * 3
    start, stop = StartOrder(INCARNATION, TASK, 2, "text", ""), StopOrder(INCARNATION, TASK, 2)
    await served.client.start(served.address, start, until_s=1.0)
    await served.client.stop(served.address, stop)
    await served.client.pace(served.address, PaceOrder(INCARNATION, TASK, 2, 50))
    assert [target for _, target, _ in served.server.asked] == ["i-1"] * 4


async def test_a_policy_request_has_ids_and_its_tickets_belong_to_incarnations() -> None:
    requests: list[bytes] = []

    async def answer(request: web.Request) -> web.Response:
        requests.append(await request.read())
        return web.json_response({"good": [["i-1", "ticket"]]})

    app = web.Application()
    app.router.add_post("/api/advise", answer)
    run = new_run(ShardJob(submitted_job(step(1))), 0)
    async with TestServer(app) as server, aiohttp.ClientSession() as session:
        client = AdviceClient(session, f"{server.host}:{server.port}")
        advice = await client.advise(run.steps[0], (INCARNATION, "i-2@7"))
    assert orjson.loads(requests[0])["workers"] == ["i-1", "i-2"]
    assert advice.tickets == {INCARNATION: "ticket"}
