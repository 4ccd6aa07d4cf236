"""Evacuations of halls in virtual time: whole hosts, callers and executors, with faults beside.

The failure: the record by which an operator evacuates a hall was not known, and the hall's owner
started a thousand tasks there after the platform's limit of five seconds.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from linkspan.jobs.spec import JobSpec
from tests.hall_world import CONFIGURATION, HallWorld
from tests.job_builders import MAX_AWAY_S, step
from tests.virtual_time import run_virtual, world_time

BOUND_S = 1.0
"""Time from the operator's record until nothing more may be started, where no fault is near."""

BACK_S = 1.0
"""Time from the end of an evacuation until waiting work has started there."""


async def _begin(*, halls: tuple[str, ...] = ("east", "west"), **fields: object) -> HallWorld:
    world = HallWorld(halls=halls, **fields)  # type: ignore[arg-type]
    world.evacuations.bound_s = BOUND_S
    await world.begin()
    return world


async def _submit(world: HallWorld, name: str, count: int = 4, **fields: object) -> JobSpec:
    spec = world.new_job(step(count, **fields))
    assert await world.submit(name, spec) == 200
    return spec


def _running_in(world: HallWorld, hall: str, spec: JobSpec) -> int:
    executors = [e for e in world.executors.values() if e.record.hall == hall and e.alive]
    return sum(task.job_id == spec.job_id for e in executors for task in e.running)


def _starts_since(world: HallWorld, at: float) -> int:
    return sum(start >= at for times in world.starts.values() for start in times)


def test_work_of_an_evacuated_hall_runs_elsewhere_and_comes_back() -> None:
    async def play() -> HallWorld:
        world = await _begin()
        world.evacuate("east")
        await asyncio.sleep(0.5)
        for _ in range(5):
            spec = await _submit(world, "east-host-0", estimate_s=0.4)
            await world.wait_for("east-host-0", spec.job_id, "succeeded", limit_s=2.0)
        world.reopen("east")
        await asyncio.sleep(BACK_S)
        spec = await _submit(world, "east-host-0", estimate_s=2.0)
        await asyncio.sleep(0.5)
        assert _running_in(world, "east", spec) == 4
        return world

    assert run_virtual(play()).problems == []


def test_what_runs_in_an_evacuated_hall_ends_there() -> None:
    async def play() -> HallWorld:
        world = await _begin()
        spec = await _submit(world, "east-host-0", estimate_s=12.0)
        standing = await _submit(world, "east-host-0", standing=True)
        await asyncio.sleep(0.5)
        here = _running_in(world, "east", standing)
        world.evacuate("east")
        # Longer than the leases last: they are renewed.
        await asyncio.sleep(11.0)
        assert _running_in(world, "east", spec) > 0
        assert _running_in(world, "east", standing) == here > 0
        await world.wait_for("east-host-0", spec.job_id, "succeeded", limit_s=8.0)
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert all(len(times) == 1 for times in world.starts.values())


def test_waiting_work_leaves_a_full_hall_when_it_is_evacuated() -> None:
    """It must not wait out the delays meant for a hall that may free capacity by itself."""

    async def play() -> HallWorld:
        world = await _begin(executors_per_hall=1)
        running = await _submit(world, "east-host-0", 8, cpu=1_000, estimate_s=60.0)
        await asyncio.sleep(0.3)
        assert _running_in(world, "east", running) == 8
        filler = await _submit(world, "west-host-0", 8, cpu=1_000, estimate_s=1.0)
        waiting = await _submit(world, "east-host-0", 4, cpu=1_000, estimate_s=0.5)
        await asyncio.sleep(0.1)
        world.evacuate("east")
        await world.wait_for("west-host-0", filler.job_id, "succeeded", limit_s=2.0)
        await world.wait_for("east-host-0", waiting.job_id, "succeeded", limit_s=2.0)
        return world

    assert run_virtual(play()).problems == []


def test_standing_tasks_that_end_in_an_evacuated_hall_run_elsewhere_soon() -> None:
    async def play() -> HallWorld:
        world = await _begin()
        spec = await _submit(world, "east-host-0", 3, standing=True, max_per_executor=1)
        await asyncio.sleep(0.5)
        assert _running_in(world, "east", spec) == 3
        world.evacuate("east")
        await asyncio.sleep(1.5)
        world.crash_executor("east-1:1")
        crashed_at = world_time()
        while _running_in(world, "west", spec) == 0:
            await asyncio.sleep(0.1)
        assert world_time() - crashed_at < MAX_AWAY_S / 2
        assert _running_in(world, "east", spec) == 2
        return world

    assert run_virtual(play()).problems == []


def test_if_all_halls_are_evacuated_accepted_jobs_wait_and_none_fails() -> None:
    async def play() -> HallWorld:
        world = await _begin()
        for hall in world.halls:
            world.evacuate(hall)
        await asyncio.sleep(0.5)
        specs = [await _submit(world, f"{hall}-host-0", estimate_s=0.5) for hall in world.halls]
        standing = await _submit(world, "east-host-0", standing=True)
        for _ in range(20):
            await asyncio.sleep(1.0)
            states = {await world.state("west-host-1", s.job_id) for s in (*specs, standing)}
            assert states == {"queued"}
        assert _starts_since(world, 0.0) == 0
        reopened_at = world_time()
        for hall in world.halls:
            world.reopen(hall)
        await asyncio.sleep(BACK_S)
        assert _starts_since(world, reopened_at) == sum(s.steps[0].count for s in specs) + 4
        for spec in specs:
            await world.wait_for("west-host-1", spec.job_id, "succeeded", limit_s=2.0)
        return world

    assert run_virtual(play()).problems == []


def test_a_new_owner_starts_nothing_in_an_evacuated_hall() -> None:
    """Also what the former owner had placed there and would have sent again."""

    async def play() -> HallWorld:
        world = await _begin(late_share=0.5, max_order_delay_s=4.0)
        spec = await _submit(world, "east-host-0", 8, cpu=500, estimate_s=1.0)
        await asyncio.sleep(0.2)
        world.evacuate("east")
        await asyncio.sleep(0.3)
        owner = world.owner(0)
        assert owner
        world.kill_host(owner)
        await asyncio.sleep(4.0)
        world.late_share = 0.0
        assert world.owner(0) not in (None, owner)
        other = next(iter(world.hosts))
        assert world.owner(0)
        await asyncio.sleep(10.0)
        world.reopen("east")
        await world.wait_for(other, spec.job_id, "succeeded", limit_s=20.0)
        return world

    world = run_virtual(play(), limit_s=200.0)
    assert world.problems == []


def test_an_owner_that_cannot_read_the_operators_records_starts_nothing() -> None:
    """It may have claimed the shard after the evacuation began, with an older view of it."""

    async def play() -> HallWorld:
        world = await _begin()
        owner = world.owner(0)
        assert owner
        heir = next(n for n, hall in world.host_names() if hall == "east" and n != owner)
        spec = await _submit(world, "west-host-0", 2, estimate_s=0.5, standing=True)
        await asyncio.sleep(0.5)
        world.store.silent_topics[heir] = {CONFIGURATION.topic}
        world.evacuate("east")
        await asyncio.sleep(0.1)
        world.kill_host(owner)
        await _submit(world, heir, 2, estimate_s=0.5)
        await asyncio.sleep(4.0)
        assert world.owner(0) == heir
        began = sum(len(times) for times in world.starts.values())
        world.store.silent_topics.clear()
        await asyncio.sleep(2.0)
        assert sum(len(times) for times in world.starts.values()) >= began
        assert _running_in(world, "east", spec) == 0
        return world

    assert run_virtual(play()).problems == []


def test_an_evacuation_holds_while_the_store_is_away() -> None:
    async def play() -> HallWorld:
        world = await _begin()
        world.evacuate("east")
        await asyncio.sleep(0.5)
        spec = await _submit(world, "east-host-0", 8, estimate_s=30.0)
        waiting = await _submit(world, "east-host-0", 8, estimate_s=30.0, cpu=4_000)
        await asyncio.sleep(0.5)
        world.store.silent.update(world.hosts)
        await asyncio.sleep(8.0)
        assert _running_in(world, "east", spec) + _running_in(world, "east", waiting) == 0
        world.store.silent.clear()
        return world

    assert run_virtual(play()).problems == []


def test_evacuations_outlast_the_records_that_began_them() -> None:
    """The store may drop records of the operator at any time; the newest of each key stays."""

    async def play() -> HallWorld:
        world = await _begin()
        world.evacuate("east")
        world.store.forget(CONFIGURATION)
        await asyncio.sleep(0.5)
        owner = world.owner(0)
        assert owner
        world.kill_host(owner)
        world.start_host(owner)
        await asyncio.sleep(5.0)
        spec = await _submit(world, "east-host-1", estimate_s=0.5)
        await world.wait_for("east-host-1", spec.job_id, "succeeded", limit_s=3.0)
        at = world_time()
        world.reopen("east")
        world.store.forget(CONFIGURATION)
        await asyncio.sleep(BACK_S)
        spec = await _submit(world, "east-host-1", 8, estimate_s=3.0)
        await asyncio.sleep(0.5)
        assert _running_in(world, "east", spec) > 0
        assert _starts_since(world, at) == 8
        return world

    assert run_virtual(play()).problems == []


def test_a_configuration_beside_an_evacuation_changes_neither() -> None:
    async def play() -> HallWorld:
        world = await _begin()
        for version in range(4, 10):
            world.configuration = replace(world.configuration, version=version)
            world.publish()
            if version == 6:
                world.evacuate("east")
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        host = world.hosts["west-host-0"].host
        assert host.configuration.current and host.configuration.current.version == 9
        assert set(host.operator_records.evacuations.current) == {"east"}
        return world

    assert run_virtual(play()).problems == []


def test_executors_that_come_or_start_again_during_an_evacuation_get_nothing() -> None:
    async def play() -> HallWorld:
        world = await _begin()
        await _submit(world, "east-host-0", 4, estimate_s=60.0, cpu=500)
        await asyncio.sleep(0.5)
        world.evacuate("east")
        await asyncio.sleep(BOUND_S)
        world.add_executor("east", "east-9:1")
        world.restart_executor("east-0:1")
        for _ in range(4):
            await _submit(world, "east-host-0", 8, estimate_s=20.0)
            await asyncio.sleep(1.0)
        assert not world.executors["east-9:1"].running
        assert not world.executors["east-0:1"].running
        return world

    assert run_virtual(play()).problems == []


def test_each_host_counts_the_evacuated_halls() -> None:
    async def play() -> HallWorld:
        world = await _begin()
        world.evacuate("east")
        world.evacuate("west", b"not json")
        await asyncio.sleep(0.5)
        for running in world.hosts.values():
            page, _ = running.host._metrics.page()
            assert b"linkspan_evacuated_halls 2" in page
        world.reopen("west")
        await asyncio.sleep(0.5)
        page, _ = world.hosts["west-host-1"].host._metrics.page()
        assert b"linkspan_evacuated_halls 1" in page
        return world

    world = run_virtual(play())
    assert len(world.log.named("EVACUATION_IN_FORCE")) == 2 * len(world.hosts)
    assert len(world.log.named("HALL_EVACUATED")) == 2
    assert len(world.log.named("HALL_REOPENED")) == 1


@pytest.mark.parametrize("hall", ["east", "west"])
def test_other_halls_learn_within_a_second_that_a_hall_takes_work_again(hall: str) -> None:
    async def play() -> HallWorld:
        world = await _begin()
        world.evacuate(hall)
        await asyncio.sleep(3.0)
        world.reopen(hall)
        await asyncio.sleep(BACK_S)
        for running in world.hosts.values():
            summary = running.host.candidates[world.halls.index(hall)].view.summary
            assert summary and summary.free > 0
        return world

    assert run_virtual(play()).problems == []
