"""Checks the requests of the executors' client, and the meaning of each answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest
import pytest_asyncio

from linkspan.errors import Fenced, Unreachable, WrongIncarnation
from linkspan.platform.executors import ExecutorClient, task_from_wire, task_to_wire
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    PaceOrder,
    RunningTask,
    StartOrder,
    StartOutcome,
    StopOrder,
    TaskName,
)
from tests.standins.platform_http import ExecutorServer, serving

TASK = TaskName("5c0e7a21d94b36f8", 0, 1, 17)
START = StartOrder("i-1", TASK, 2, "text", "save")


class Setup:
    """A client of executors with its server and the server's address."""

    def __init__(self, client: ExecutorClient, server: ExecutorServer, address: str) -> None:
        self.client = client
        self.server = server
        self.address = address


@pytest_asyncio.fixture
async def setup() -> AsyncIterator[Setup]:
    server = ExecutorServer()
    async with serving(server.handle) as address, aiohttp.ClientSession() as session:
        yield Setup(ExecutorClient(session, 7, timeout_s=1.0), server, address)


def test_task_names_round_trip() -> None:
    assert task_from_wire(task_to_wire(TASK)) == TASK


async def test_a_start_names_its_incarnation_and_token(setup: Setup) -> None:
    setup.server.answers.append((200, {"clockMs": 482113}))
    answer = await setup.client.start(setup.address, START, until_s=486.0)
    assert answer.outcome is StartOutcome.STARTED
    assert answer.clock_s == 482.113
    assert setup.server.asked == [
        (
            "/api/run-start",
            "i-1",
            {
                "task": "5c0e7a21d94b36f8.0.1.17",
                "run": 2,
                "spec": "text",
                "untilMs": 486000,
                "fencingToken": 7,
                "checkpoint": "save",
            },
        )
    ]


@pytest.mark.parametrize(
    ("status", "fields", "outcome"),
    [
        (409, {"clockMs": 1, "reason": "old"}, StartOutcome.SUPERSEDED),
        (409, {"clockMs": 1, "reason": "late"}, StartOutcome.LATE),
        (409, {"clockMs": 1, "reason": "room"}, StartOutcome.NO_ROOM),
        (409, {"clockMs": 1, "reason": "ticket"}, StartOutcome.NO_TICKET),
        (400, {}, StartOutcome.INVALID),
        (429, {}, StartOutcome.UNHEALTHY),
        (503, {}, StartOutcome.UNHEALTHY),
    ],
)
async def test_each_refused_start_has_its_outcome(
    setup: Setup, status: int, fields: dict[str, Any], outcome: StartOutcome
) -> None:
    setup.server.answers.append((status, fields))
    assert (await setup.client.start(setup.address, START, until_s=1.0)).outcome is outcome


async def test_a_report_is_decoded(setup: Setup) -> None:
    name = task_to_wire(TASK)
    fields = {
        "clockMs": 1500,
        "running": [[name, 2, "save", 41, 12]],
        "ended": [[58, name, 1, "done", ""]],
    }
    setup.server.answers.append((200, fields))
    report = await setup.client.renew(
        setup.address, "i-1", acknowledged=57, until_s=486.0, wait_s=1.0
    )
    assert report.running == (RunningTask(TASK, 2, "save", 41, 12),)
    assert report.ended == (EndedTask(58, TASK, 1, EndKind.DONE, ""),)
    _, _, body = setup.server.asked[0]
    assert body == {"fencingToken": 7, "lastSeen": 57, "untilMs": 486000, "waitMs": 1000}


async def test_a_call_after_a_newer_owners_is_fenced(setup: Setup) -> None:
    setup.server.answers.append((409, {"clockMs": 1, "reason": "fence"}))
    with pytest.raises(Fenced):
        await setup.client.stop(setup.address, StopOrder("i-1", TASK, 2))


async def test_a_call_for_another_incarnation_is_refused(setup: Setup) -> None:
    setup.server.answers.append((421, {}))
    with pytest.raises(WrongIncarnation):
        await setup.client.pace(setup.address, PaceOrder("i-1", TASK, 2, 40))


@pytest.mark.parametrize("fields", [{}, {"clockMs": 1, "running": [["x"]]}, {"clockMs": "?"}])
async def test_a_malformed_report_is_no_answer(setup: Setup, fields: dict[str, Any]) -> None:
    setup.server.answers.append((200, fields))
    with pytest.raises(Unreachable):
        await setup.client.renew(setup.address, "i-1", acknowledged=0, until_s=None, wait_s=0)


@pytest.mark.parametrize(("ends", "whole"), [(499, True), (500, False)])
async def test_a_report_with_the_maximum_of_ends_is_incomplete(
    setup: Setup, ends: int, whole: bool
) -> None:
    rows = [[n + 1, task_to_wire(TASK), 1, "done", ""] for n in range(ends)]
    setup.server.answers.append((200, {"clockMs": 1, "running": [], "ended": rows}))
    report = await setup.client.renew(
        setup.address, "i-1", acknowledged=0, until_s=None, wait_s=0.0
    )
    assert report.is_complete is whole
