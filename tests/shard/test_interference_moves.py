"""Tests of how often a better executor is searched for a slowed best-effort run."""

from __future__ import annotations

import pytest

from linkspan.shard.core import ShardCore
from linkspan.shard.planning._interference_moves import MAX_SEARCHES_PER_PLAN, SEARCH_INTERVAL_S
from linkspan.shard.planning.placement import StepPlacement
from linkspan.shard.planning.planner import Planner
from linkspan.shard.task import Task
from tests.shard.builders import core_with, place_running

EXECUTORS = 4


class SearchCounter:
    """Counts the searches of an executor for a task."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.tasks: list[Task] = []
        choose = StepPlacement.choose

        def counted(placement: StepPlacement, task: Task, **options: bool) -> object:
            self.tasks.append(task)
            return choose(placement, task, **options)

        monkeypatch.setattr(StepPlacement, "choose", counted)


def hall_with_slowed_runs(slowed: int) -> ShardCore:
    """Return a core whose executors all have standing tasks, and runs at half of full speed.

    No executor interferes less than another, so that no run is moved.
    """
    core = core_with(executors=EXECUTORS)
    core.jobs.clear()
    core.ready.clear()
    executors = list(core.executors.values())
    for executor in executors:
        place_running(core, executor, standing=True, latency_target_ms=100.0, image="service")
    for number in range(slowed):
        executor = executors[number % EXECUTORS]
        run = place_running(
            core, executor, best_effort=True, checkpoints=True, estimate_s=60.0, image="batch"
        )
        run.set_pace(50, 0.0)
    return core


def test_a_slowed_run_is_searched_for_once_an_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    core = hall_with_slowed_runs(1)
    planner, searches = Planner(core), SearchCounter(monkeypatch)
    for number in range(10):
        now = 1.0 + number * SEARCH_INTERVAL_S / 10
        planner.plan(now, now)
    assert len(searches.tasks) == 1
    now = 1.0 + SEARCH_INTERVAL_S
    planner.plan(now, now)
    assert len(searches.tasks) == 2


def test_a_changed_pace_is_followed_by_a_search(monkeypatch: pytest.MonkeyPatch) -> None:
    """The run of an executor that slows it down further must not wait for the interval."""
    core = hall_with_slowed_runs(1)
    planner, searches = Planner(core), SearchCounter(monkeypatch)
    planner.plan(1.0, 1.0)
    run = next(a for e in core.executors.values() for a in e.best_effort())
    run.set_pace(20, 1.05)
    planner.plan(1.1, 1.1)
    assert len(searches.tasks) == 2


def test_searches_of_a_plan_are_bounded_and_reach_each_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With more slowed runs than a plan may search for, the next plans go on with the others."""
    slowed = 2 * MAX_SEARCHES_PER_PLAN + 3
    core = hall_with_slowed_runs(slowed)
    planner, searches = Planner(core), SearchCounter(monkeypatch)
    planner.plan(1.0, 1.0)
    assert len(searches.tasks) == MAX_SEARCHES_PER_PLAN
    for now in (1.01, 1.02):
        planner.plan(now, now)
    assert len(searches.tasks) == slowed
    assert len(set(map(id, searches.tasks))) == slowed
