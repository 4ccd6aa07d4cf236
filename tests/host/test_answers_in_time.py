"""Answers of a host while its reads of the store take longer than its callers' time-out."""

from __future__ import annotations

import asyncio
import json

import pytest
from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from linkspan.errors import StoreUnanswered
from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec
from tests.hall_world import HallWorld
from tests.job_builders import QUEUE, state_of, step
from tests.virtual_time import run_virtual

CALLER_TIMEOUT_S = 3.0
"""Time-out of callers."""

SLOW_READ_S = 12.0
"""Duration of a slow read: longer than the time-out of every caller."""

HOST = "east-host-0"


async def send_request(
    world: HallWorld, job_id: str = "", *, method: str = "GET"
) -> web.StreamResponse:
    """Send a request to a host and wait for the answer until the caller's time-out."""
    request = make_mocked_request(
        method,
        QUEUE.prefix + job_id,
        headers={
            "Host": f"{QUEUE.host}:80",
            "Linkspan-Timeout-Ms": str(round(CALLER_TIMEOUT_S * 1000)),
        },
    )
    async with asyncio.timeout(CALLER_TIMEOUT_S):
        return await world.hosts[HOST].host.front.handle(request)


async def world_with_a_job() -> tuple[HallWorld, JobSpec]:
    """Start a deployment that runs a long job, which the host knows."""
    world = HallWorld()
    await world.begin()
    spec = world.new_job(step(1, estimate_s=30.0))
    assert await world.submit(HOST, spec) == 200
    await world.wait_for(HOST, spec.job_id, "running")
    await asyncio.sleep(1.0)
    return world, spec


async def restart_host(world: HallWorld) -> None:
    """Restart the host so that it has its configuration and still reads the jobs."""
    world.kill_host(HOST)
    world.store.read_duration_s[HOST, JOBS.topic] = SLOW_READ_S
    host = world.start_host(HOST).host
    await asyncio.sleep(0.5)
    assert host.configuration.current
    assert not host.job_registry.follower.ready


def test_a_host_answers_before_its_callers_time_out_during_its_first_read() -> None:
    """Guards against callers that time out without an answer because they wait for a whole read."""

    async def play() -> None:
        world, spec = await world_with_a_job()
        await restart_host(world)
        calls = [
            send_request(world, spec.job_id),
            send_request(world, spec.job_id, method="DELETE"),
            send_request(world),
        ]
        answers = await asyncio.gather(
            *calls, *(send_request(world, spec.job_id) for _ in range(20))
        )
        assert {answer.status for answer in answers} == {503}
        assert {answer.headers["Retry-After"] for answer in answers} == {"1"}
        await asyncio.sleep(2 * SLOW_READ_S)
        answer = await send_request(world, spec.job_id)
        assert isinstance(answer, web.Response) and state_of(answer) == "running"

    run_virtual(play())


def test_a_known_job_is_shown_during_a_slow_read() -> None:
    async def play() -> None:
        world, spec = await world_with_a_job()
        world.store.read_duration_s[HOST, JOBS.topic] = SLOW_READ_S
        await asyncio.sleep(2.5)
        answer = await send_request(world, spec.job_id)
        assert isinstance(answer, web.Response) and state_of(answer) == "running"
        assert (await send_request(world, spec.job_id, method="DELETE")).status == 200

    run_virtual(play())


def test_a_job_is_reported_unknown_only_after_a_complete_read() -> None:
    async def play() -> None:
        world, _ = await world_with_a_job()
        unknown = world.new_job(step(1))
        assert (await send_request(world, unknown.job_id)).status == 410
        world.store.read_duration_s[HOST, JOBS.topic] = SLOW_READ_S
        await asyncio.sleep(2.5)
        world.store.put(JOBS, *encode(Submitted(unknown, 0, 0.0, "other")))
        assert (await send_request(world, unknown.job_id)).status == 503

    run_virtual(play())


def test_a_count_is_not_returned_long_after_the_last_read() -> None:
    async def play() -> None:
        world, _ = await world_with_a_job()
        assert (await send_request(world)).status == 200
        world.store.read_duration_s[HOST, JOBS.topic] = SLOW_READ_S
        await asyncio.sleep(1.0)
        recent = await send_request(world)
        assert isinstance(recent, web.Response) and isinstance(recent.body, bytes)
        assert json.loads(recent.body) == {"waiting": 0}
        await asyncio.sleep(4.0)
        assert (await send_request(world)).status == 503

    run_virtual(play())


def test_a_stop_during_the_first_read_leaves_no_caller_waiting() -> None:
    async def play() -> None:
        world, spec = await world_with_a_job()
        await restart_host(world)
        running = world.hosts[HOST]
        request = asyncio.create_task(send_request(world, spec.job_id))
        await asyncio.sleep(0.1)
        began = asyncio.get_running_loop().time()
        await running.host.drain(notice_s=0.5, limit_s=4.5)
        assert (await request).status == 503
        late = asyncio.create_task(running.host.job_registry.follower.sync())
        await asyncio.sleep(0.01)
        running.task.cancel()
        await asyncio.gather(running.task, return_exceptions=True)
        assert asyncio.get_running_loop().time() - began < CALLER_TIMEOUT_S
        with pytest.raises(StoreUnanswered):
            await late
        reading = running.host.job_registry.follower._reading
        assert reading and reading.done()

    run_virtual(play())
