"""Values that a plan caches between its steps do not change its orders.

The planner caches the scores of executors and their unused CPU. The test replaces these caches by
functions that evaluate every executor anew, and compares the orders of the same traffic. Guards
against a cached value that is not updated after a placement.
"""

from __future__ import annotations

import pytest
from bench._busy_hall import BusyHall

from linkspan.shard.colocation._best_effort_capacity import (
    NO_UNUSED_CPU,
    BestEffortCapacity,
    remaining_cpu,
)
from linkspan.shard.executor import ExecutorState
from linkspan.shard.planning.placement import StepPlacement
from linkspan.shard.task import Task
from tests.virtual_time import run_virtual

TRAFFIC_S = 2.0
"""Duration of the traffic: long enough for steps to queue."""


def _choose(placement: StepPlacement, task: Task, *, starved: bool = False) -> ExecutorState | None:
    """Choose like `StepPlacement.choose`, but evaluate every executor anew."""
    best, best_score = None, float("inf")
    fill = placement.may_use_headroom(task)
    for executor in placement.executors:
        if executor.executor_id in task.avoided_executors:
            continue
        if placement.reason_against(executor, use_headroom=fill, starved=starved) is not None:
            continue
        placed = placement._on_executor[executor.executor_id]
        score = placement.scores.score(executor, placed=placed)
        if score < best_score:
            best, best_score = executor, score
    return best


def _unused(_capacity: BestEffortCapacity, executor: ExecutorState) -> float:
    return NO_UNUSED_CPU if executor.over_latency_target else remaining_cpu(executor)


def _run_traffic() -> tuple[int, str]:
    world = BusyHall(seed=3, batch_per_s=24.0, executors_per_hall=20)
    run_virtual(world.play(TRAFFIC_S), limit_s=60.0)
    assert world.problems == []
    return world.runs, world.digest.hexdigest()


def test_a_plan_without_cached_values_gives_the_same_orders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cached = _run_traffic()
    monkeypatch.setattr(StepPlacement, "choose", _choose)
    monkeypatch.setattr(BestEffortCapacity, "unused_cpu", _unused)
    assert _run_traffic() == cached
    assert cached[0] > 100
