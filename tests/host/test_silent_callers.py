"""Callers whose connections go silent hold nothing for good."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any, cast

from aiohttp import web

from tests.hall_world import QUEUE, HallWorld
from tests.virtual_time import run_virtual


@dataclass
class HalfRequest:
    """A request whose body never arrives whole."""

    path: str
    method: str = "POST"
    headers: dict[str, str] = field(default_factory=lambda: {"Host": QUEUE.host})

    async def read(self) -> bytes:
        await asyncio.Event().wait()
        raise AssertionError("nothing sets it")


def _half_request(job_id: str) -> web.BaseRequest:
    return cast(Any, HalfRequest(f"{QUEUE.prefix}{job_id}"))


def test_a_body_that_never_arrives_whole_is_given_up_at_the_callers_deadline() -> None:
    async def play() -> tuple[web.StreamResponse, float]:
        world = HallWorld()
        await world.begin()
        front = world.hosts["east-host-0"].host.front
        began = asyncio.get_running_loop().time()
        async with asyncio.timeout(60.0):
            answer = await front.handle(_half_request("00000000000000aa"))
        assert await world.state("east-host-0", "00000000000000aa") == "410"
        return answer, asyncio.get_running_loop().time() - began

    answer, took = run_virtual(play())
    assert answer.status == 503
    assert answer.headers["Retry-After"]
    assert took <= QUEUE.timeout_s
    assert not answer.keep_alive


def test_a_half_sent_request_does_not_hold_up_a_drain() -> None:
    """Only requests that were read whole are owed an answer."""

    async def play() -> float:
        world = HallWorld()
        await world.begin()
        host = world.hosts["east-host-0"].host
        half = asyncio.create_task(host.front.handle(_half_request("00000000000000aa")))
        await asyncio.sleep(0.1)
        began = asyncio.get_running_loop().time()
        await host.drain(notice_s=0.5, limit_s=30.0)
        half.cancel()
        return asyncio.get_running_loop().time() - began

    assert run_virtual(play()) < 1.0
