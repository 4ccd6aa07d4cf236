"""Jobs that are cancelled before their record is known, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.jobs import early_cancels
from linkspan.jobs.early_cancels import KEPT_S
from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.spec import JobSpec
from linkspan.shard.recovery._records import PRUNE_INTERVAL_S
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

FIRST, SECOND, OTHERS = "east-host-0", "east-host-1", ("east-host-2", "east-host-3")


async def _begin(seed: int = 0) -> tuple[HallWorld, JobSpec]:
    world = HallWorld(hosts_per_hall=4, seed=seed)
    await world.begin()
    while world.owner() == FIRST:
        world.kill_host(FIRST)
        await asyncio.sleep(3.0)
        world.start_host(FIRST)
        await asyncio.sleep(2.0)
    return world, world.new_job(step(2), step(2, depends_on=(0,)), step(1, standing=True))


async def _check(world: HallWorld, spec: JobSpec) -> None:
    """Check that a cancelled job does not run, whatever arrives late and whoever owns the hall."""
    for forgets in (False, True):
        await asyncio.sleep(4.0)
        if forgets:
            world.store.forget(JOBS)
        owner = world.owner()
        assert owner
        world.kill_host(owner)
        await asyncio.sleep(5.0)
        world.start_host(owner)
    await asyncio.sleep(8.0)
    assert not [task for task in world.starts if task.job_id == spec.job_id]
    assert await world.state(OTHERS[0], spec.job_id) in ("cancelled", "410")
    assert world.problems == []


@pytest.mark.parametrize("patience_s", [1.0, 3.0])
@pytest.mark.parametrize("how", ["silent", "refusing"])
def test_a_job_whose_submission_is_in_doubt_does_not_run_once_cancelled(
    how: str, patience_s: float
) -> None:
    """Guards against a record that is stored seconds after the cancelling was answered."""

    async def play() -> None:
        world, spec = await _begin()
        getattr(world.store, how).add(FIRST)
        assert await world.submit(FIRST, spec, patience_s=patience_s) != 200
        assert await world.cancel(SECOND, spec.job_id) in (200, 410)
        await asyncio.sleep(2.0)
        world.store.calm()
        await _check(world, spec)

    run_virtual(play())


def test_a_job_that_two_hosts_are_about_to_store_does_not_run_once_cancelled() -> None:
    """Guards against a second late record that counts as a new job."""

    async def play() -> None:
        world, spec = await _begin()
        world.store.silent |= {FIRST, OTHERS[0]}
        for name in (FIRST, OTHERS[0]):
            assert await world.submit(name, spec) != 200
        assert await world.cancel(SECOND, spec.job_id) in (200, 410)
        world.store.silent.discard(FIRST)
        await asyncio.sleep(6.0)
        world.store.calm()
        await _check(world, spec)

    run_virtual(play())


def test_a_job_that_a_frozen_host_stores_late_does_not_run_once_cancelled() -> None:
    """Guards against a record that is stored late while the store is well."""

    async def play() -> None:
        world, spec = await _begin()
        submission = asyncio.create_task(world.submit(FIRST, spec))
        await asyncio.sleep(0.0)
        running = world.hosts[FIRST]
        world.freeze_host(FIRST)
        await submission
        assert await world.cancel(SECOND, spec.job_id) in (200, 410)
        world.thaw(running)
        await _check(world, spec)

    run_virtual(play())


def test_hosts_that_start_later_know_of_an_early_cancel() -> None:
    """Guards against an early cancel that only the hosts know which ran then."""

    async def play() -> None:
        world, spec = await _begin()
        world.store.silent.add(FIRST)
        assert await world.submit(FIRST, spec) != 200
        assert await world.cancel(SECOND, spec.job_id) in (200, 410)
        for name in (SECOND, *OTHERS):
            world.kill_host(name)
        world.store.forget(JOBS)
        for name in (SECOND, *OTHERS):
            world.start_host(name)
        await asyncio.sleep(3.0)
        world.store.calm()
        await _check(world, spec)

    run_virtual(play())


@pytest.mark.parametrize("seed", range(4))
def test_a_job_that_is_cancelled_elsewhere_right_after_its_answer_does_not_run(seed: int) -> None:
    """Guards against a view that counts as fresh and does not show the job yet."""

    async def play() -> None:
        world, _ = await _begin(seed)
        for number in range(30):
            spec = world.new_job(step(1, estimate_s=20.0))
            assert await world.submit(FIRST, spec) == 200
            await asyncio.sleep(0.002 * (number % 8))
            assert await world.cancel(SECOND, spec.job_id) == 200
            await world.wait_for(FIRST, spec.job_id, "cancelled", limit_s=3.0)

    run_virtual(play())


def test_a_job_that_was_cancelled_before_is_not_taken() -> None:
    """Guards against a 200 for a job that will not run."""

    async def play() -> None:
        world, spec = await _begin()
        assert await world.cancel(SECOND, spec.job_id) == 410
        for name in (SECOND, FIRST):
            assert await world.submit(name, spec) == 503
        assert await world.state(FIRST, spec.job_id) == "410"
        await _check(world, spec)

    run_virtual(play())


def test_a_submission_is_not_stored_minutes_later() -> None:
    """Guards against a job that runs after all records of its cancel were removed."""

    async def play() -> None:
        world, spec = await _begin()
        world.store.silent.add(FIRST)
        assert await world.submit(FIRST, spec) != 200
        await asyncio.sleep(75.0)
        world.store.calm()
        await asyncio.sleep(10.0)
        assert await world.state(SECOND, spec.job_id) == "410"
        assert await world.submit(FIRST, spec) == 200
        await asyncio.sleep(2.0)
        assert [task for task in world.starts if task.job_id == spec.job_id]

    run_virtual(play())


def test_an_early_cancel_leaves_nothing_behind_in_the_end() -> None:
    """Guards against callers that fill the store with ids that no job has."""

    async def play() -> None:
        world = HallWorld(hosts_per_hall=1, executors_per_hall=0)
        await world.begin()
        specs = [world.new_job(step(1)) for _ in range(3)]
        for spec in specs:
            assert await world.cancel(FIRST, spec.job_id) == 410
        # A second one writes nothing.
        end = world.store.log(JOBS).end
        assert await world.cancel(FIRST, specs[0].job_id) == 410
        assert world.store.log(JOBS).end == end
        assert await world.submit(FIRST, specs[0]) == 503
        await asyncio.sleep(KEPT_S + PRUNE_INTERVAL_S + 2.0)
        newest = {entry.key: entry.value for entry in world.store.log(JOBS).entries}
        assert not any(newest.values())
        assert await world.submit(FIRST, specs[0]) == 200

    run_virtual(play(), limit_s=2 * KEPT_S)


def test_too_many_early_cancels_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against callers that fill the memory of hosts, and against untrue answers."""
    monkeypatch.setattr(early_cancels, "MAX_EARLY_CANCELS", 3)

    async def play() -> None:
        world, spec = await _begin()
        assert await world.submit(FIRST, spec) == 200
        for _ in range(3):
            assert await world.cancel(FIRST, world.new_job(step(1)).job_id) == 410
        assert await world.cancel(SECOND, world.new_job(step(1)).job_id) == 503
        (refused,) = world.log.named("EARLY_CANCEL_REFUSED")
        assert KEPT_S - 5.0 < refused["first_room_s"] <= KEPT_S
        assert await world.cancel(SECOND, spec.job_id) == 200

    run_virtual(play())
