"""Choices of executors for best-effort tasks, against a plain search over all executors."""

from __future__ import annotations

from random import Random

import pytest
from bench.overload import IMAGES, Looks, OverloadedHall

from linkspan.shard.colocation._best_effort_capacity import BestEffortCapacity
from linkspan.shard.executor import ExecutorState
from linkspan.shard.handover.summary import PairEffect
from linkspan.shard.planning._plan_view import PlanView
from linkspan.shard.planning.placement import StepPlacement
from linkspan.shard.task import Task
from tests.job_builders import step

EXECUTORS = 24
PLANS = 8


def busy_hall(seed: int) -> tuple[OverloadedHall, float]:
    """Return a hall with slowed runs and learnt interference, and its steady time."""
    hall = OverloadedHall(EXECUTORS, seed)
    random = Random(seed)
    pairs = ((f"service{s}", f"batch{b}") for s in range(IMAGES) for b in range(IMAGES))
    effects = [PairEffect(*pair, random.uniform(0.0, 0.2), 1e-4) for pair in pairs]
    hall.core.interference.adopt(effects, 1.0)
    return hall, hall.run(PLANS, 1.0)


def view_of(hall: OverloadedHall, now: float) -> PlanView:
    return PlanView(hall.core, BestEffortCapacity(hall.core.interference, now, now), now)


def plain_choice(placement: StepPlacement, task: Task) -> ExecutorState | None:
    """Return the executor of the lowest score among all that have capacity."""
    fitting = placement.fitting_executors(task)
    return min(fitting, key=placement.score, default=None)


@pytest.mark.parametrize("seed", range(4))
def test_best_effort_tasks_go_where_a_plain_search_puts_them(seed: int) -> None:
    """Guards against another choice by an order of checks that stops at the first success."""
    hall, now = busy_hall(seed)
    chosen = refused = 0
    for cpu in (500, 2_000, 4_000, 8_000):
        spec = step(30, cpu=cpu, best_effort=True, checkpoints=True, image=f"batch{cpu % 5}")
        hall.add(spec)
        waiting = next(reversed(hall.core.jobs.values())).runs[0].steps[0]
        view = view_of(hall, now)
        placement = view.placement(waiting)
        for task in waiting.tasks:
            plain = view_of(hall, now).placement(waiting)
            executor = placement.choose(task)
            assert executor is plain_choice(plain, task)
            if executor is None:
                refused += 1
                continue
            chosen += 1
            waiting.tasks[-1].avoided_executors.add(executor.executor_id)
            hall.core.place(task, executor, now)
            placement.on_placed(executor)
    assert chosen >= 40
    assert refused >= 20


def test_a_search_for_one_run_does_not_compute_what_every_executor_tolerates() -> None:
    """Guards against plans whose cost is that of all executors for each slowed run."""
    hall = OverloadedHall(EXECUTORS)
    hall.add(step(1, cpu=250, best_effort=True, checkpoints=True))
    waiting = next(reversed(hall.core.jobs.values())).runs[0].steps[0]
    placement = view_of(hall, 1.0).placement(waiting)
    with Looks().counting() as counts:
        assert placement.choose(waiting.tasks[0]) is not None
    assert counts["budgets"] <= EXECUTORS // 4
