"""Executors whose capacity shrinks and grows again while they run.

The failures: work that no longer fits stays on an executor whose capacity shrank, beside executors
that are free; and a host that starts meanwhile permanently rejects a job that fits again as soon
as the capacity is back.

An executor's capacity was assumed to change only with its next incarnation. Starts respect the
capacity in its entry, but nothing checked the work that already ran there, and a host judged jobs
by the capacities of the moment.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.jobs.spec import StepSpec
from tests.hall_executors import HEARTBEAT_S
from tests.hall_world import HallWorld
from tests.host.crashing_day import states, submit
from tests.job_builders import step
from tests.run_judge import CONTACT_S
from tests.virtual_time import run_virtual

RELOCATION_S = CONTACT_S + HEARTBEAT_S
"""Time within which work that no longer fits has to run elsewhere."""

REWRITTEN_S = 12.0
"""Time after which no record that a host reads at its start holds the larger capacity."""

LONG_S = 60.0
"""Duration of work that outlasts a test."""


async def _world(**fields: object) -> HallWorld:
    world = HallWorld(**{"executors_per_hall": 2, "guards_room": False, **fields})  # type: ignore[arg-type]
    await world.begin()
    return world


def _used_milli_cpu(world: HallWorld, address: str) -> int:
    """Return the thousandths of a core that the tasks on an executor use."""
    executor = world.executors[address]
    executor.advance()
    return sum(world.step_of(task).demand.milli_cpu for task in executor.running)


def test_no_start_brings_a_shrunk_executor_over_its_capacity() -> None:
    """The executors do not enforce their capacity, and new work arrives all the time."""

    async def play() -> HallWorld:
        world = await _world()
        specs = []
        for count in range(60):
            if count in (5, 35):
                world.resize("east-0:1", 2_000)
            if count in (25, 55):
                world.resize("east-0:1", 8_000)
            specs.append(await submit(world, step(4, cpu=900, estimate_s=2.0)))
            await asyncio.sleep(0.5)
        await asyncio.sleep(30.0)
        assert await states(world, specs) == ["succeeded"] * 60
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize(
    "kind",
    [
        pytest.param(step(7, cpu=1_000, estimate_s=LONG_S), id="timed"),
        pytest.param(step(7, cpu=1_000, standing=True), id="standing"),
    ],
)
def test_work_that_no_longer_fits_goes_on_elsewhere(kind: StepSpec) -> None:
    async def play() -> HallWorld:
        world = await _world()
        await submit(world, kind)
        await asyncio.sleep(3.0)
        full = max(("east-0:1", "east-1:1"), key=lambda address: _used_milli_cpu(world, address))
        assert _used_milli_cpu(world, full) >= 4_000
        world.resize(full, 2_000)
        await asyncio.sleep(RELOCATION_S)
        assert _used_milli_cpu(world, full) <= 2_000
        assert sum(_used_milli_cpu(world, address) for address in world.executors) == 7_000
        return world

    assert run_virtual(play()).problems == []


def test_best_effort_work_is_displaced_first_where_memory_shrinks() -> None:
    """Best-effort work reserves no cores, and can wait more easily."""

    async def play() -> HallWorld:
        world = await _world(executors_per_hall=2)
        await submit(world, step(2, cpu=4_000, estimate_s=LONG_S))
        await submit(world, step(2, cpu=1_000, estimate_s=LONG_S, best_effort=True))
        await asyncio.sleep(2.0)
        world.resize("east-0:1", 8_000, memory_mb=100)
        await asyncio.sleep(RELOCATION_S)
        kept = [world.step_of(task) for task in world.executors["east-0:1"].running]
        assert [spec.best_effort for spec in kept] == [False]
        return world

    assert run_virtual(play()).problems == []


def test_work_that_fits_nowhere_else_stays() -> None:
    """Stopped, the task would only lose its work so far."""

    async def play() -> HallWorld:
        world = await _world(executors_per_hall=1)
        await submit(world, step(2, cpu=3_000, estimate_s=LONG_S))
        await asyncio.sleep(2.0)
        world.resize("east-0:1", 2_000)
        await asyncio.sleep(RELOCATION_S)
        assert _used_milli_cpu(world, "east-0:1") == 6_000
        return world

    assert run_virtual(play()).problems == []


def test_standing_tasks_leave_one_at_a_time() -> None:
    """The scheduler may displace only as many tasks of a step at once as its budget allows."""

    async def play() -> HallWorld:
        world = await _world(milli_cpu=16_000)
        spec = await submit(world, step(8, cpu=1_000, standing=True, disruption_budget=1))
        await asyncio.sleep(3.0)
        full = max(("east-0:1", "east-1:1"), key=lambda address: _used_milli_cpu(world, address))
        world.resize(full, 1_000)
        min_running = 8
        for _ in range(80):
            await asyncio.sleep(0.1)
            min_running = min(
                min_running,
                sum(_used_milli_cpu(world, address) for address in world.executors) // 1_000,
            )
        assert min_running >= 7
        assert _used_milli_cpu(world, full) <= 1_000
        assert await states(world, [spec]) == ["running"]
        return world

    assert run_virtual(play()).problems == []


def test_a_host_that_starts_while_capacities_are_small_rejects_nothing_permanently() -> None:
    async def play() -> HallWorld:
        world = await _world(hosts_per_hall=3)
        for address in ("east-0:1", "east-1:1"):
            world.resize(address, 1_000)
        await asyncio.sleep(REWRITTEN_S)
        owner = world.owner(0)
        other = next(name for name in world.hosts if name != owner)
        world.kill_host(other)
        world.start_host(other)
        await asyncio.sleep(4.0)
        spec = world.new_job(step(1, cpu=6_000))
        assert await world.submit(other, spec) == 200
        world.resize("east-0:1", 8_000)
        await asyncio.sleep(6.0)
        assert await states(world, [spec]) == ["succeeded"]
        return world

    assert run_virtual(play()).problems == []


def test_a_next_owner_knows_the_former_capacities_of_executors() -> None:
    """All hosts start while all capacities are small: the roster holds the former ones."""

    async def play() -> HallWorld:
        world = await _world()
        for address in ("east-0:1", "east-1:1"):
            world.resize(address, 1_000)
        await asyncio.sleep(REWRITTEN_S)
        for name in list(world.hosts):
            world.kill_host(name)
        for name, _ in world.host_names():
            world.start_host(name)
        await asyncio.sleep(12.0)
        assert await world.submit("east-host-0", world.new_job(step(1, cpu=6_000))) == 200
        return world

    assert run_virtual(play()).problems == []


def test_an_executor_may_shrink_to_nothing() -> None:
    async def play() -> HallWorld:
        world = await _world()
        spec = await submit(world, step(4, cpu=1_000, standing=True, latency_target_ms=50.0))
        await submit(world, step(4, cpu=500, estimate_s=LONG_S, best_effort=True))
        world.resize("east-0:1", 0, memory_mb=0)
        await asyncio.sleep(RELOCATION_S + 3.0)
        assert await states(world, [spec]) == ["running"]
        assert world.executors["east-0:1"].running == {}
        return world

    assert run_virtual(play()).problems == []


def test_each_capacity_of_the_last_seconds_permits_a_start() -> None:
    """Guards against a test judge that discards the previous capacity with each change.

    A start within the capacity that an executor had reported seconds ago then counted as a
    violation (soak seed 102, on a loaded machine).
    """

    async def play() -> list[int]:
        world = await _world()
        executor = world.executors["east-0:1"]
        world.resize("east-0:1", 0)
        await asyncio.sleep(1.0)
        world.resize("east-0:1", 4_000)
        judged = [executor.judged_capacity().milli_cpu]
        for pause_s in (RELOCATION_S - 1.1, 0.2, 1.0):
            await asyncio.sleep(pause_s)
            judged.append(executor.judged_capacity().milli_cpu)
        return judged

    assert run_virtual(play()) == [8_000, 8_000, 4_000, 4_000]
