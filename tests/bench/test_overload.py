"""Bounds on what an owner looks at when far more work waits than fits, and what it decides then.

The load is that of ``bench.overload``: executors full of standing tasks and slowed best-effort
runs, and six waiting steps for each executor, about 2.6 times what fits. All bounds are counts of
calls, which do not depend on the machine.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest
from bench.overload import Looks, OverloadedHall, count_looks

from linkspan.jobs.spec import Demand
from linkspan.shard.messages import StartOrder
from linkspan.shard.planning import planner
from linkspan.shard.planning._task_kind import TaskKind, UnplaceableKinds
from linkspan.shard.planning._waiting_steps import WaitingSteps
from tests.job_builders import step

SMALL_HALL = 61
LARGE_HALL = 250
"""Executors of a large deployment's halls."""

PLANS = 6


def looks(counts: dict[str, float]) -> float:
    return counts.get("reasons", 0) + counts.get("scores", 0)


def test_looks_of_a_plan_do_not_grow_with_waiting_work_times_executors() -> None:
    """A hall of four times the size, with four times the work, must not cost sixteen times as much.

    Twice as much is what the steps cost that start in each plan whatever the number of executors.
    """
    small, large = count_looks(SMALL_HALL, PLANS), count_looks(LARGE_HALL, PLANS)
    assert looks(small) <= 3 * planner.MAX_LOOKS_PER_PLAN
    assert looks(large) <= 2 * looks(small)
    assert large["budgets"] <= 2 * LARGE_HALL


def test_waiting_work_that_fits_nowhere_costs_no_looks() -> None:
    """Twice the waiting work in a full hall must not make a plan examine more executors."""
    counts = {}
    for steps_each in (6, 12):
        hall = OverloadedHall(20)
        hall.add_burst(steps_each)
        now = hall.run(40, 1.0)
        with Looks().counting() as counted:
            hall.run(PLANS, now)
        counts[steps_each] = counted["placements"] / PLANS
        assert len(hall.core.ready) >= 20
    assert counts[12] <= 1.5 * counts[6] + 16


def without_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(planner, "MIN_STEPS_PER_PLAN", 1_000_000)


def with_full_plans(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let each plan look at each waiting step, and take only equal kinds as one."""
    without_limits(monkeypatch)
    monkeypatch.setattr(WaitingSteps, "changes_nothing", lambda *_: False)
    monkeypatch.setattr(UnplaceableKinds, "__contains__", _contains_equal)


def add_other_steps(hall: OverloadedHall, seed: int) -> None:
    """Add waiting steps of all other kinds, many of which lack memory rather than cores.

    Best-effort runs take most of the memory, so that it is set aside and runs are stopped for it.
    """
    for _ in range(12):
        spec = step(3, cpu=500, estimate_s=30.0, best_effort=True, checkpoints=True)
        hall.add(replace(spec, demand=Demand(500, 160_000)))
    hall.run(20, 1.0)
    random = Random(seed)
    kinds: tuple[dict[str, Any], ...] = (
        {"gang": True},
        {"standing": True},
        {"max_per_executor": 1},
        {"best_effort": True, "image": "batch0"},
        {"speculative": True},
        {},
    )
    for _ in range(30):
        cpu, memory_mb = random.randrange(500, 9_000, 500), random.randrange(1_000, 400_000, 1_000)
        spec = step(random.randint(1, 5), cpu=cpu, estimate_s=0.5, **random.choice(kinds))
        hall.add(replace(spec, demand=Demand(cpu, memory_mb)))


def _contains_equal(kinds: UnplaceableKinds, kind: TaskKind) -> bool:
    return kind.demand in kinds._smallest.get(kind[:-1], ())


@pytest.mark.parametrize("seed", range(6))
def test_dropped_steps_are_those_that_a_full_plan_would_not_start(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    digests = set()
    for set_up in (without_limits, with_full_plans):
        with monkeypatch.context() as patch:
            set_up(patch)
            hall = OverloadedHall(12, seed)
            add_other_steps(hall, seed)
            hall.add_burst()
            hall.run(60, 2.0)
            digests.add(hall.digest.hexdigest())
    assert len(digests) == 1


@pytest.mark.parametrize("seed", range(6))
def test_a_bounded_plan_starts_the_most_urgent_of_a_full_plan(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """What a plan leaves to the next one is less urgent than all that it starts."""
    started: list[list[StartOrder]] = []
    monkeypatch.setattr(planner, "MIN_STEPS_PER_PLAN", 4)
    for limit in (0, 1_000_000):
        hall = OverloadedHall(12, seed)
        hall.add_burst()
        monkeypatch.setattr(planner, "MAX_LOOKS_PER_PLAN", limit)
        hall.planner.plan(1.0, 1.0)
        started.append([o for o in hall.core.orders if isinstance(o, StartOrder)])
        assert hall.planner.left_over == (limit == 0)
    bounded, full = started
    assert bounded
    assert full[: len(bounded)] == bounded


def test_an_owner_change_amid_bounded_plans_leaves_no_work_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next owner knows nothing of what a plan has left over."""
    monkeypatch.setattr(planner, "MAX_LOOKS_PER_PLAN", 0)
    hall = OverloadedHall(12)
    hall.add_burst()
    hall.planner.plan(1.0, 1.0)
    assert hall.planner.left_over
    next_owner = planner.Planner(hall.core)
    plans = 0
    while next_owner.left_over or not plans:
        next_owner.plan(1.0, 1.0)
        plans += 1
    bounded = {o.task for o in hall.core.orders if isinstance(o, StartOrder)}
    monkeypatch.setattr(planner, "MAX_LOOKS_PER_PLAN", 1_000_000)
    full = OverloadedHall(12)
    full.add_burst()
    full.planner.plan(1.0, 1.0)
    assert bounded == {o.task for o in full.core.orders if isinstance(o, StartOrder)}
