"""Takeovers in virtual time: new owners of shards, and of jobs and runs of former owners."""

from __future__ import annotations

import asyncio

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from linkspan.shard.messages import StartOrder, TaskName
from linkspan.shard.recovery.progress import RunKey, encode_moved
from linkspan.store.types import Partition
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual


def test_a_killed_owner_is_replaced_and_its_work_goes_on() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        spec = world.new_job(step(4, estimate_s=3.0), step(2, depends_on=(0,)))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(0.5)
        owner = world.owner()
        assert owner
        other = next(name for name in world.hosts if name != owner)
        world.kill_host(owner)
        await world.wait_for(other, spec.job_id, "succeeded", limit_s=12.0)
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert all(len(times) == 1 for times in world.starts.values())


def test_a_killed_host_renews_no_lease() -> None:
    """Its tenures end with it, so that the runs of its hall end within a lease."""

    async def play() -> HallWorld:
        world = HallWorld(hosts_per_hall=1)
        await world.begin()
        await world.submit("east-host-0", world.new_job(step(4, estimate_s=60.0)))
        await asyncio.sleep(0.5)
        world.kill_host("east-host-0")
        await asyncio.sleep(1.05 * world.max_lease_s)
        assert not any(e.running for e in world.executors.values())
        return world

    assert run_virtual(play()).problems == []


def test_a_host_that_was_cut_off_does_not_claim_at_once() -> None:
    """After a cut, the owner may have seemed silent only because the host could not read."""

    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        owner = world.owner()
        world.store.silent.update(world.hosts)
        await asyncio.sleep(6.0)
        world.store.silent.clear()
        await asyncio.sleep(4.0)
        assert world.owner() == owner
        return world

    world = run_virtual(play())
    assert len(world.log.named("OWNER_CLAIMED")) == 1


def test_a_hall_that_is_cut_off_keeps_its_jobs() -> None:
    """A remote owner must not move jobs that the cut-off owner may be running."""

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        spec = world.new_job(step(3, estimate_s=20.0))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(0.5)
        for name, hall in world.host_names():
            other = "west" if hall == "east" else "east"
            world.cut(name, other)
            if hall == "east":
                world.store.silent.add(name)
        await asyncio.sleep(14.0)
        world.cuts.clear()
        world.store.silent.clear()
        await world.wait_for("west-host-0", spec.job_id, "succeeded", limit_s=60.0)
        return world

    assert run_virtual(play()).problems == []


def test_a_recovered_run_ends_before_its_task_starts_elsewhere() -> None:
    """A new owner finds a run that is not on record."""

    async def play() -> HallWorld:
        world = HallWorld(late_share=0.3, lost_answer_share=0.2, seed=5)
        await world.begin()
        specs = [world.new_job(step(4, estimate_s=2.0)) for _ in range(4)]
        for spec in specs:
            await world.submit("east-host-0", spec)
        for _ in range(3):
            await asyncio.sleep(2.0)
            owner = world.owner()
            if owner:
                world.kill_host(owner)
                await asyncio.sleep(0.4)
                world.start_host(owner)
        for spec in specs:
            await world.wait_for("east-host-0", spec.job_id, "succeeded", limit_s=90.0)
        return world

    assert run_virtual(play()).problems == []


def test_a_job_that_is_being_moved_is_not_accepted_again() -> None:
    """Guards against a new owner that recovers an unfinished move and starts the job itself.

    The second submission of the job made it do so.
    """

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"), hosts_per_hall=1)
        await world.begin()
        spec = world.new_job(step(2, estimate_s=2.0))
        world.kill_host("east-host-0")
        record = Submitted(spec, 0, 0.0, "life-x")
        world.specs[spec.job_id] = spec
        marker = Partition("progress", 0, keyed=True)
        world.store.put(JOBS, *encode(record))
        world.store.put(marker, RunKey(spec.job_id, 0).encode(), encode_moved(1))
        started = world.start_host("east-host-0")
        started.host.job_registry.writer.write = lambda *_a, **_k: asyncio.Future()  # type: ignore[method-assign]
        candidate = started.host.candidates[0]
        while candidate.tenure is None or not candidate.tenure.core.executors:
            await asyncio.sleep(0.001)
        # The caller sends the job once more before the move was announced to the other hall.
        world.store.put(JOBS, *encode(Submitted(spec, 1, 0.0, "life-y")))
        await asyncio.sleep(1.0)
        assert world.starts == {}
        return world

    assert run_virtual(play()).problems == []


def test_a_run_of_a_job_that_was_not_read_yet_is_recovered() -> None:
    """A former owner started the run while the new owner was taking over."""

    async def play() -> HallWorld:
        world = HallWorld(hosts_per_hall=1)
        await world.begin()
        spec = world.new_job(step(1, estimate_s=3.0))
        world.specs[spec.job_id] = spec
        world.kill_host("east-host-0")
        started = world.start_host("east-host-0")
        candidate = started.host.candidates[0]
        while candidate.tenure is None or not candidate.tenure.core.executors:
            await asyncio.sleep(0.0005)
        world.store.put(JOBS, *encode(Submitted(spec, 0, 0.0, "life-x")))
        executor = world.executors["east-0:1"]
        order = StartOrder(
            executor.record.executor_id, TaskName(spec.job_id, 0, 0, 0), 1, spec.payload, "", ""
        )
        executor.start(order, executor.clock + 8.0, executor.token)
        await world.wait_for("east-host-0", spec.job_id, "succeeded")
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert [len(times) for times in world.starts.values()] == [1]
