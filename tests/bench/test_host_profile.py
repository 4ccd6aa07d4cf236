"""What a plan keeps between its steps changes none of its orders."""

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

SECONDS = 2.0
"""Length of the traffic: long enough for steps that wait."""


def _choose(placement: StepPlacement, task: Task, *, starved: bool = False) -> ExecutorState | None:
    """Choose as the placement does, with each executor looked at anew."""
    best, best_score = None, float("inf")
    fill = placement._may_use_headroom(task)
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


def _unused(_best_effort_capacity: BestEffortCapacity, executor: ExecutorState) -> float:
    return NO_UNUSED_CPU if executor.over_latency_target else remaining_cpu(executor)


def _play() -> tuple[int, str]:
    world = BusyHall(seed=3, batch_per_s=24.0, executors_per_hall=20)
    run_virtual(world.play(SECONDS), limit_s=60.0)
    assert world.problems == []
    return world.runs, world.digest.hexdigest()


def test_a_plan_that_looks_at_all_anew_orders_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    kept = _play()
    monkeypatch.setattr(StepPlacement, "choose", _choose)
    monkeypatch.setattr(BestEffortCapacity, "unused_cpu", _unused)
    assert _play() == kept
    assert kept[0] > 100
