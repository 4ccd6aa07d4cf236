"""What a host answers while its reads of the store take longer than its callers wait."""

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

CALLER_S = 3.0
"""Time that callers wait for an answer."""

LONG_S = 12.0
"""Time that a read takes: long after each caller has left."""

HOST = "east-host-0"


async def ask(world: HallWorld, job_id: str = "", *, method: str = "GET") -> web.StreamResponse:
    """Ask a host as a caller does, and wait no longer than one."""
    request = make_mocked_request(
        method,
        QUEUE.prefix + job_id,
        headers={"Host": f"{QUEUE.host}:80", "Linkspan-Timeout-Ms": str(round(CALLER_S * 1000))},
    )
    async with asyncio.timeout(CALLER_S):
        return await world.hosts[HOST].host.front.handle(request)


async def world_with_a_job() -> tuple[HallWorld, JobSpec]:
    """Return a deployment that runs a long job, of which the host knows."""
    world = HallWorld()
    await world.begin()
    spec = world.new_job(step(1, estimate_s=30.0))
    assert await world.submit(HOST, spec) == 200
    await world.wait_for(HOST, spec.job_id, "running")
    await asyncio.sleep(1.0)
    return world, spec


async def start_anew(world: HallWorld) -> None:
    """Start the host once more: it has its configuration and waits for the jobs."""
    world.kill_host(HOST)
    world.store.reads_take[HOST, JOBS.topic] = LONG_S
    host = world.start_host(HOST).host
    await asyncio.sleep(0.5)
    assert host.configuration.current
    assert not host.job_registry.follower.ready


def test_a_host_that_still_reads_answers_before_its_callers_leave() -> None:
    """It kept them waiting for the whole read, and they heard nothing."""

    async def play() -> None:
        world, spec = await world_with_a_job()
        await start_anew(world)
        calls = [ask(world, spec.job_id), ask(world, spec.job_id, method="DELETE"), ask(world)]
        answers = await asyncio.gather(*calls, *(ask(world, spec.job_id) for _ in range(20)))
        assert {answer.status for answer in answers} == {503}
        assert {answer.headers["Retry-After"] for answer in answers} == {"1"}
        await asyncio.sleep(2 * LONG_S)
        answer = await ask(world, spec.job_id)
        assert isinstance(answer, web.Response) and state_of(answer) == "running"

    run_virtual(play())


def test_a_job_that_is_known_is_shown_while_a_read_takes_long() -> None:
    async def play() -> None:
        world, spec = await world_with_a_job()
        world.store.reads_take[HOST, JOBS.topic] = LONG_S
        await asyncio.sleep(2.5)
        answer = await ask(world, spec.job_id)
        assert isinstance(answer, web.Response) and state_of(answer) == "running"
        assert (await ask(world, spec.job_id, method="DELETE")).status == 200

    run_virtual(play())


def test_a_job_is_only_called_unknown_after_a_whole_read() -> None:
    async def play() -> None:
        world, _ = await world_with_a_job()
        unknown = world.new_job(step(1))
        assert (await ask(world, unknown.job_id)).status == 410
        world.store.reads_take[HOST, JOBS.topic] = LONG_S
        await asyncio.sleep(2.5)
        world.store.put(JOBS, *encode(Submitted(unknown, 0, 0.0, "other")))
        assert (await ask(world, unknown.job_id)).status == 503

    run_virtual(play())


def test_a_count_is_not_given_long_after_the_last_read() -> None:
    async def play() -> None:
        world, _ = await world_with_a_job()
        assert (await ask(world)).status == 200
        world.store.reads_take[HOST, JOBS.topic] = LONG_S
        await asyncio.sleep(1.0)
        young = await ask(world)
        assert isinstance(young, web.Response) and isinstance(young.body, bytes)
        assert json.loads(young.body) == {"waiting": 0}
        await asyncio.sleep(4.0)
        assert (await ask(world)).status == 503

    run_virtual(play())


def test_a_stop_in_the_middle_of_a_first_read_leaves_nobody_waiting() -> None:
    async def play() -> None:
        world, spec = await world_with_a_job()
        await start_anew(world)
        running = world.hosts[HOST]
        asking = asyncio.create_task(ask(world, spec.job_id))
        await asyncio.sleep(0.1)
        began = asyncio.get_running_loop().time()
        await running.host.drain(notice_s=0.5, limit_s=4.5)
        assert (await asking).status == 503
        late = asyncio.create_task(running.host.job_registry.follower.sync())
        await asyncio.sleep(0.01)
        running.task.cancel()
        await asyncio.gather(running.task, return_exceptions=True)
        assert asyncio.get_running_loop().time() - began < CALLER_S
        with pytest.raises(StoreUnanswered):
            await late
        reading = running.host.job_registry.follower._reading
        assert reading and reading.done()

    run_virtual(play())
