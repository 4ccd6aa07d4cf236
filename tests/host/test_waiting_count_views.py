"""Tests which jobs a host counts as waiting: by the age of its view, its queues and its records."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

import pytest
from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from linkspan.host.front import MAX_COUNT_AGE_S
from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Begun
from linkspan.model.configuration import Queue
from tests.hall_world import HallWorld
from tests.host.waiting_jobs import count_waiting
from tests.job_builders import step
from tests.virtual_time import run_virtual, world_time

HOSTS = "east-host-0", "east-host-1"

JOBS_WAITING = 4

COUNTED_AFTER_S = 5.0
"""Age from which an accepted job must be counted, in seconds: it is visible within 3 s, and a count
may be 2 s old."""


async def _begin() -> HallWorld:
    """Return a world whose executors carry out no start, so that all jobs wait."""
    world = HallWorld()
    await world.begin()
    for executor in world.executors.values():
        executor.drops_starts = True
    return world


async def _submit(world: HallWorld, name: str, count: int = JOBS_WAITING) -> None:
    for _ in range(count):
        assert await world.submit(name, world.new_job(step(2, estimate_s=0.5))) == 200


async def _ask(world: HallWorld, name: str, queue: Queue) -> int | None:
    """Return the count of a queue that a host answers with, ``None`` if it gives none."""
    request = make_mocked_request("GET", queue.prefix, headers={"Host": f"{queue.host}:80"})
    answer = await world.hosts[name].host.front.handle(request)
    assert isinstance(answer, web.Response)
    if answer.status != 200:
        return None
    assert isinstance(answer.body, bytes)
    return int(json.loads(answer.body)["waiting"])


def _configure(world: HallWorld, *queues: Queue) -> None:
    world.configuration = replace(
        world.configuration,
        version=world.configuration.version + 1,
        queues={queue.name: queue for queue in queues},
    )
    world.publish()


def test_a_job_that_has_begun_in_another_hall_stays_begun_for_hosts_that_start_later() -> None:
    """Guards against the record of an ordered start that replaces another hall's announcement.

    Both records have one key, and a host that starts later reads the newest one only.
    """

    async def play() -> HallWorld:
        world = await _begin()
        await _submit(world, HOSTS[0], 1)
        (job_id,) = world.accepted
        world.store.put(JOBS, *encode(Begun(job_id)))
        await asyncio.sleep(3.0)
        (other,) = (name for name in HOSTS if name != world.owner())
        world.kill_host(other)
        world.start_host(other)
        await asyncio.sleep(3.0)
        assert [await count_waiting(world, name) for name in HOSTS] == [0, 0]
        assert await world.state(other, job_id) == "running"
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("silence", ["silent", "refusing"])
def test_a_count_from_an_old_view_holds_all_jobs_that_must_be_counted(silence: str) -> None:
    """Guards against counts from job records that were read too long ago."""

    async def play() -> None:
        world = await _begin()
        behind, accepting = HOSTS if world.owner() == HOSTS[1] else HOSTS[::-1]
        accepted_at: list[float] = []
        getattr(world.store, silence).add(behind)
        silent_since, answers = world_time(), 0
        while world_time() < silent_since + 12.0:
            await _submit(world, accepting, 1)
            accepted_at.append(world_time())
            count = await _ask(world, behind, world.queue)
            due = sum(at < world_time() - COUNTED_AFTER_S for at in accepted_at)
            answers += count is not None
            assert count is None or count >= due
            assert count is None or world_time() < silent_since + MAX_COUNT_AGE_S + 1.5
            await asyncio.sleep(0.3)
        assert answers
        world.store.calm()
        await asyncio.sleep(3.0)
        assert await _ask(world, behind, world.queue) == len(accepted_at)

    run_virtual(play())


def test_jobs_of_a_queue_that_is_removed_and_comes_back_are_counted() -> None:
    """Guards against waiting jobs that are forgotten while their queue is not configured."""

    async def play() -> None:
        world = await _begin()
        queue, other = world.queue, replace(world.queue, name="other", prefix="/other/")
        await _submit(world, HOSTS[0])
        for queues, expected in (
            ((other,), (None, 0)),
            ((queue, other), (JOBS_WAITING, 0)),
            ((replace(queue, prefix="/moved/"), other), (None, 0)),
            ((queue,), (JOBS_WAITING, None)),
        ):
            _configure(world, *queues)
            await asyncio.sleep(3.0)
            for name in HOSTS:
                asked = [await _ask(world, name, each) for each in (queue, other)]
                assert tuple(asked) == expected

    run_virtual(play())


def test_jobs_that_waited_while_their_queue_was_removed_are_counted_by_next_owners() -> None:
    """Guards against jobs that count as begun, or as gone, after a change of owner."""

    async def play() -> None:
        world = await _begin()
        await _submit(world, HOSTS[0])
        queue = world.queue
        _configure(world)
        await asyncio.sleep(3.0)
        owner = world.owner()
        assert owner
        world.kill_host(owner)
        world.start_host(owner)
        await asyncio.sleep(6.0)
        _configure(world, queue)
        await asyncio.sleep(3.0)
        assert [await _ask(world, name, queue) for name in HOSTS] == [JOBS_WAITING] * 2

    run_virtual(play())
