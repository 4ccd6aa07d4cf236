"""What a host answers while its reads of the store take longer than its callers wait."""

from __future__ import annotations

import asyncio

from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from linkspan.host.job_book import JOBS
from linkspan.jobs.spec import JobSpec
from tests.hall_world import QUEUE, HallWorld, state_of, step
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
    """Return a deployment that runs a long job."""
    world = HallWorld()
    await world.begin()
    spec = world.new_job(step(1, estimate_s=30.0))
    assert await world.submit(HOST, spec) == 200
    await asyncio.sleep(1.0)
    return world, spec


async def start_anew(world: HallWorld) -> None:
    """Start the host once more: it has its configuration and waits for the jobs."""
    world.kill_host(HOST)
    world.store.reads_take[HOST, JOBS.topic] = LONG_S
    host = world.start_host(HOST).host
    await asyncio.sleep(0.5)
    assert host.configuration.current
    assert not host.book.follower.ready


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
