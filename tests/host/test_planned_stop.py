"""A planned stop answers every request that the host has read, however often callers send.

The failure: one of twelve callers, who send request after request over new connections, got no
answer 0.51 s after its request. A stopping host accepted requests until it found none in flight
or its time was up, and only then closed its listener. A request that arrived in between got only
the listener's own closing time, twice 0.25 s, and was cut off.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from linkspan.host.callers.listener import Listener
from linkspan.host.host import DRAIN_CHECK_INTERVAL_S
from linkspan.jobs.job_registry import JOBS
from tests.hall_world import HallWorld
from tests.job_builders import QUEUE, step
from tests.virtual_time import run_virtual

ANSWER_S = 0.6
"""Duration of an answer: longer than a closing listener waits by itself."""

CALLERS = 6
HOST = "east-host-0"
REQUEST = b"GET / HTTP/1.1\r\nHost: host.example\r\n\r\n"


class BusyCallers:
    """Callers that always have a request in flight, and the outcome of their requests.

    Attributes:
        answered: Number of requests that were answered.
        cut: For each request cut off without an answer, its age at that time in seconds.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self.answered = 0
        self.cut: list[float] = []

    async def send_requests(self) -> None:
        """Send requests, each over a new connection, until connections are refused."""
        while True:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            writer.write(REQUEST)
            sent = time.monotonic()
            try:
                await reader.readuntil(b"\r\n\r\n")
                self.answered += 1
            except (asyncio.IncompleteReadError, ConnectionError):
                self.cut.append(time.monotonic() - sent)
            writer.close()


async def test_a_listener_that_refuses_new_connections_answers_all_requests() -> None:
    in_flight = 0

    async def answer(_request: web.BaseRequest) -> web.Response:
        nonlocal in_flight
        in_flight += 1
        await asyncio.sleep(ANSWER_S)
        in_flight -= 1
        return web.Response(headers={"Connection": "close"})

    listener = await Listener(answer).open("127.0.0.1:0")
    busy_callers = BusyCallers(listener.addresses[0][1])
    callers = []
    for _ in range(CALLERS):
        callers.append(asyncio.create_task(busy_callers.send_requests()))
        await asyncio.sleep(ANSWER_S / CALLERS)
    assert in_flight
    await listener.refuse_new()
    async with asyncio.timeout(5.0):
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        while in_flight:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        await listener.close()
        # Each caller ends once its connection is refused.
        for caller in callers:
            with suppress(OSError):
                await caller
    assert busy_callers.answered >= CALLERS
    assert [took for took in busy_callers.cut if took > 0.2] == []


def _request(job_id: str, *, method: str = "GET", timeout_s: float = 3.0) -> web.Request:
    headers = {"Host": f"{QUEUE.host}:80", "Linkspan-Timeout-Ms": str(round(timeout_s * 1000))}
    return make_mocked_request(method, QUEUE.prefix + job_id, headers=headers)


def test_a_drain_refuses_new_requests_after_its_notice_period() -> None:
    """With callers that never pause, the drain ends when the last request is answered."""

    async def play() -> tuple[float, int]:
        world = HallWorld()
        await world.begin()
        host = world.hosts[HOST].host
        world.store.read_duration_s[HOST, JOBS.topic] = ANSWER_S
        taking = True
        answered = 0

        async def refuse_new() -> None:
            nonlocal taking
            taking = False

        async def send_requests(pause_s: float) -> None:
            nonlocal answered
            await asyncio.sleep(pause_s)
            while taking:
                await host.front.handle(_request("00000000000000aa"))
                answered += 1

        callers = [asyncio.create_task(send_requests(0.05 * n)) for n in range(CALLERS)]
        await asyncio.sleep(2.0)
        began = asyncio.get_running_loop().time()
        await host.drain(notice_s=0.5, limit_s=30.0, refuse_new=refuse_new)
        took = asyncio.get_running_loop().time() - began
        await asyncio.gather(*callers)
        return took, answered

    took, answered = run_virtual(play())
    assert 0.5 <= took < 0.5 + 2 * ANSWER_S
    assert answered > CALLERS


def test_requests_that_wait_for_the_store_are_answered_before_a_drain_ends() -> None:
    """Guards against cutting off a caller with a timeout of 10 s: the process ends after 3 s."""

    async def play() -> tuple[int, float]:
        world = HallWorld()
        await world.begin()
        spec = world.new_job(step(1, estimate_s=30.0))
        assert await world.submit(HOST, spec) == 200
        await asyncio.sleep(1.0)
        host = world.hosts[HOST].host
        world.store.silent.add(HOST)
        request = _request(spec.job_id, method="DELETE", timeout_s=10.0)
        asked = asyncio.create_task(host.front.handle(request))
        await asyncio.sleep(0.2)
        began = asyncio.get_running_loop().time()
        await host.drain(notice_s=0.5, limit_s=3.0)
        assert host.front.in_flight == 0
        assert asyncio.get_running_loop().time() - began <= 3.0
        return (await asked).status, asyncio.get_running_loop().time() - began

    status, took = run_virtual(play())
    assert status == 504
    assert took <= 3.0


async def test_a_listener_that_refuses_new_connections_closes_idle_ones_at_once() -> None:
    async def answer(_request: web.BaseRequest) -> web.Response:
        return web.Response()

    listener = await Listener(answer).open("127.0.0.1:0")
    port = listener.addresses[0][1]
    fresh = await asyncio.open_connection("127.0.0.1", port)
    used = await asyncio.open_connection("127.0.0.1", port)
    used[1].write(REQUEST)
    await used[0].readuntil(b"\r\n\r\n")
    async with asyncio.timeout(2.0):
        await listener.refuse_new()
        for reader, writer in (fresh, used):
            await reader.read()
            writer.close()
    await listener.close()
