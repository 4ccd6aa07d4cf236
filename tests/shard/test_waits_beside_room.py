"""The gauge and the log field on standing tasks that are away beside room, in whichever hall."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import pytest

from linkspan.jobs.spec import Demand, StepSpec
from linkspan.metrics import HostMetrics
from linkspan.shard.core import ShardCore
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.planning._waits_beside_room import WaitsBesideRoom
from tests.accepted_jobs import accept_in
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.shard.builders import JOB, confirm_start, core_with, plan
from tests.virtual_time import run_virtual

LARGE = step(1, standing=True, cpu=9_000)
"""A step that no executor of 8 cores can run."""


def _room(free_cpu: int, *, memory_mb: int = 32_000, best_effort_mb: int = 0) -> HallSummary:
    """Return the summary of a hall with one executor."""
    return HallSummary(
        capacity=64_000,
        free=free_cpu,
        free_by_executor=((free_cpu, memory_mb),),
        best_effort_memory=((0, best_effort_mb),),
    )


def _look(
    waits: WaitsBesideRoom, core: ShardCore, halls: Mapping[int, HallSummary], now: float
) -> float | None:
    """Return for how long there has been room for the job's step, where it counts from 3.0 on."""
    (first,) = core.jobs[JOB].runs[0].steps
    return waits.look({first: 3.0}, halls, now).get(first)


@pytest.mark.parametrize(
    ("halls", "has_room"),
    [
        ({}, False),
        ({1: _room(17_999)}, False),
        ({1: _room(18_000)}, True),
        ({1: _room(9_000), 2: _room(9_000)}, True),
        ({1: _room(18_000, memory_mb=0)}, False),
        ({1: _room(18_000, memory_mb=0, best_effort_mb=32_000)}, True),
    ],
)
def test_room_of_all_halls_counts(halls: dict[int, HallSummary], has_room: bool) -> None:
    """Guards against a gauge that sees one hall only, or less room than there is."""
    core = core_with(LARGE)
    waits = WaitsBesideRoom(core)
    assert _look(waits, core, halls, 4.0) == (0.0 if has_room else None)


@pytest.mark.parametrize(
    ("spec", "has_room"),
    [
        (StepSpec(3, Demand(4_000, 100), standing=True), False),
        (StepSpec(2, Demand(4_000, 100), standing=True), True),
        (StepSpec(2, Demand(100, 100), standing=True, max_per_executor=1), False),
        (StepSpec(3, Demand(100, 100), standing=True, max_per_executor=2), False),
        (StepSpec(2, Demand(100, 100), standing=True, max_per_executor=2), True),
    ],
)
def test_room_of_this_hall_counts_beside_its_work(spec: StepSpec, has_room: bool) -> None:
    """Guards against a gauge that forgets the cores in use, or the step's spread limit."""
    core = core_with(spec, executors=2)
    core.jobs[JOB].runs[0].durable = 0
    for order in plan(core, 1.0):
        confirm_start(core, order, 1.0)
    waits = WaitsBesideRoom(core)
    assert (_look(waits, core, {}, 4.0) is not None) == has_room


def test_room_counts_from_its_last_break_and_from_when_the_task_is_reported() -> None:
    """Guards against a gauge that adds up times with room, or counts those before the wait."""
    core = core_with(LARGE)
    waits = WaitsBesideRoom(core)
    halls = {1: _room(18_000)}
    assert _look(waits, core, halls, 2.0) == -1.0
    assert [_look(waits, core, halls, now) for now in (4.0, 6.0)] == [1.0, 3.0]
    assert _look(waits, core, {}, 7.0) is None
    assert [_look(waits, core, halls, now) for now in (8.0, 9.5)] == [0.0, 1.5]
    assert waits.look({}, halls, 10.0) == {}
    assert _look(waits, core, halls, 11.0) == 0.0


async def _world_with_a_mute_executor() -> HallWorld:
    """Return a world in which a standing task was away beside room for seconds."""
    world = HallWorld(executors_per_hall=1)
    await world.begin()
    world.executors["east-0:1"].drops_starts = True
    accept_in(world, world.new_job(step(1, standing=True, cpu=1_000)))
    await asyncio.sleep(8.0)
    return world


def test_a_host_logs_and_exports_the_time_beside_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against lines and a metric that can't show that a task is away beside room."""
    gauge: list[float] = []

    def set_seconds(_metrics: HostMetrics, name: str, seconds: float, **_labels: str) -> None:
        if name == "standing_wait_beside_room":
            gauge.append(seconds)

    monkeypatch.setattr(HostMetrics, "set_seconds", set_seconds)
    world = run_virtual(_world_with_a_mute_executor(), limit_s=60.0)
    lines = world.log.named("STANDING_WAITS")
    told_s = [line["beside_room_s"] for line in lines]
    assert told_s == pytest.approx([line["waited_s"] - 3.0 for line in lines], abs=1.0)
    assert max(gauge) == pytest.approx(4.5, abs=0.6)
