"""The rule for standing tasks adds up what they wait; the end of the wait must be calm."""

from __future__ import annotations

import asyncio
from contextlib import nullcontext

import pytest

from linkspan.shard.messages import StartOrder, TaskName
from tests.hall_world import HallWorld
from tests.host.disruptions import Disruptions
from tests.host.standing_rule import StandingRule
from tests.job_builders import step
from tests.run_judge import CANCEL_CHECK_S
from tests.virtual_time import run_virtual, world_time

FULL, ROOM, FAULT, DOWN, RUNS, EXCUSED = "full", "room", "fault", "down", "runs", "excused"
"""What a phase of a test is like: there is no room, or room; or room and a fault, another executor
that is down, a run of the task, or a job that need not run."""

FULL_MILLI_CPU = 1_000
OTHER, ADDRESS = "east-0:1", "east-1:1"

Phases = tuple[tuple[str, float], ...]


async def _reports(phases: Phases) -> list[str]:
    """Return what is reported of an accepted task that waits through phases, given in seconds."""
    world = HallWorld(executors_per_hall=2)
    world.add_executor("east", OTHER)
    world.resize(OTHER, FULL_MILLI_CPU)
    executor = world.add_executor("east", ADDRESS)
    spec = world.new_job(step(1, cpu=3_000, standing=True))
    world.specs[spec.job_id] = spec
    world.accepted.add(spec.job_id)
    order = StartOrder(executor.record.executor_id, TaskName(spec.job_id, 0, 0, 0), 1, "", "")
    disruptions = Disruptions()
    rule, lines = StandingRule(disruptions), list[str]()
    for kind, duration_s in phases:
        world.resize(ADDRESS, FULL_MILLI_CPU if kind == FULL else world.milli_cpu)
        world.executors[OTHER].alive = kind != DOWN
        if kind == RUNS:
            executor.start(order, world_time() + duration_s, 1)
        excused = {spec.job_id} if kind == EXCUSED else set()
        with disruptions.lasting() if kind == FAULT else nullcontext():
            for _ in range(round(duration_s / CANCEL_CHECK_S)):
                lines += rule.check(world, world_time(), excused)
                await asyncio.sleep(CANCEL_CHECK_S)
        executor.running.clear()
    return lines


@pytest.mark.parametrize(
    "phases",
    [
        ((FULL, 8.0), (ROOM, 5.0)),
        ((FULL, 8.0), (ROOM, 3.3)),
        ((ROOM, 6.3),),
        ((FULL, 3.0), (RUNS, 0.2), (ROOM, 6.3)),
        ((FULL, 3.0), (RUNS, 0.2), (FULL, 4.0), (ROOM, 3.3)),
        ((FULL, 8.0), (FAULT, 1.0), (ROOM, 7.3)),
        ((DOWN, 8.0), (ROOM, 7.3)),
        ((EXCUSED, 8.0), (ROOM, 6.3)),
    ],
)
def test_a_task_that_is_away_for_6_s_and_beside_room_for_3_is_reported_once(phases: Phases) -> None:
    """Guards against a judge that begins a wait anew where there is no room for a moment."""
    (line,) = run_virtual(_reports((*phases, (ROOM, 1.0))))
    assert "LOST" in line


@pytest.mark.parametrize(
    "phases",
    [
        ((ROOM, 5.8),),
        ((FULL, 8.0), (ROOM, 2.8)),
        ((FULL, 20.0),),
        ((FULL, 8.0), (ROOM, 2.8), (FULL, 0.1), (ROOM, 2.8)),
        ((FULL, 8.0), (RUNS, 0.2), (ROOM, 5.8)),
        ((FULL, 8.0), (ROOM, 2.0), (FAULT, 0.1), (ROOM, 6.7)),
        ((FULL, 8.0), (ROOM, 2.0), (DOWN, 0.1), (ROOM, 6.7)),
        ((EXCUSED, 20.0),),
    ],
)
def test_a_task_that_the_rule_excuses_is_not_reported(phases: Phases) -> None:
    """Guards against reports of tasks that were away briefly, without room or beside faults."""
    assert run_virtual(_reports(phases)) == []
