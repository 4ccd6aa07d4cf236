"""Tests that planning spends little time on steps that wait for capacity."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from linkspan.jobs.spec import Demand
from linkspan.shard.core import ShardCore
from linkspan.shard.executor import ExecutorState
from linkspan.shard.planning._free_capacity import ExecutorGroup, FreeCapacity
from linkspan.shard.planning.placement import StepPlacement
from linkspan.shard.planning.planner import Planner
from tests.job_builders import step
from tests.shard.builders import core_with, place_running, plan, submitted_job

EXECUTORS = 20
STEPS = 30


class ReasonCounter:
    """Counts how often an executor is examined for reasons against a step."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.asked = 0
        reason_against = StepPlacement.reason_against

        def counted(
            placement: StepPlacement,
            executor: ExecutorState,
            *,
            use_headroom: bool = False,
            starved: bool = False,
        ) -> str | None:
            self.asked += 1
            return reason_against(placement, executor, use_headroom=use_headroom, starved=starved)

        monkeypatch.setattr(StepPlacement, "reason_against", counted)


def full_hall(*, best_effort: bool) -> ShardCore:
    """Return a core with waiting steps of different sizes and executors without free capacity."""
    core = core_with(executors=EXECUTORS)
    for executor in core.executors.values():
        place_running(core, executor, cpu=7_000, best_effort=best_effort)
    for number in range(STEPS):
        wide = step(3, cpu=4_000 + 10 * number, best_effort=best_effort, estimate_s=60.0)
        core.add_job(submitted_job(wide, job_id=f"{number:016x}"), 0.0)
    return core


@pytest.mark.parametrize("best_effort", [False, True])
def test_a_step_that_fits_nowhere_examines_no_executor(
    monkeypatch: pytest.MonkeyPatch, best_effort: bool
) -> None:
    """Guards against planning time that grows with waiting steps times executors."""
    core = full_hall(best_effort=best_effort)
    planner = Planner(core)
    # The first plan logs why the steps wait, which examines executors.
    planner.plan(1.0, 1.0)
    reasons = ReasonCounter(monkeypatch)
    planner.plan(1.1, 1.1)
    assert core.orders == []
    assert reasons.asked == 0


def random_hall(seed: int) -> ShardCore:
    """Return a core with partly used executors and waiting steps of all kinds."""
    random = Random(seed)
    core = core_with(executors=EXECUTORS)
    for executor in core.executors.values():
        place_running(
            core, executor, cpu=random.randrange(0, 8_000, 500), best_effort=random.random() < 0.5
        )
    for number in range(STEPS):
        kind = random.choice(({}, {"standing": True}, {"best_effort": True}, {"gang": True}))
        max_per_executor = random.choice((0, 1))
        wide = step(
            random.randint(1, 6),
            cpu=random.randrange(500, 8_000, 100),
            max_per_executor=max_per_executor,
            **kind,
        )
        core.add_job(submitted_job(wide, job_id=f"{number:016x}"), 0.0)
    return core


@pytest.mark.parametrize("seed", range(20))
def test_a_plan_that_examines_all_executors_gives_the_same_orders(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against steps placed by the capacity that was free before earlier steps."""
    starts = plan(random_hall(seed), 4.0)

    def all_executors(
        free: FreeCapacity, group: ExecutorGroup, _demand: Demand, _cores: float
    ) -> Any:
        return [row[0] for row in free._rows(group).values()]

    monkeypatch.setattr(FreeCapacity, "with_capacity", all_executors)
    assert plan(random_hall(seed), 4.0) == starts
    assert starts
