"""Steps that wait for room cost little."""

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
from tests.shard.builders import core_with, place, plan, submitted

EXECUTORS = 20
STEPS = 30


class Reasons:
    """Counts how often an executor is asked for its reasons against a step."""

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
    """Return a core with waiting steps of as many sizes, and executors that are full."""
    core = core_with(executors=EXECUTORS)
    for executor in core.executors.values():
        place(core, executor, cpu=7_000, best_effort=best_effort)
    for number in range(STEPS):
        wide = step(3, cpu=4_000 + 10 * number, best_effort=best_effort, estimate_s=60.0)
        core.add_job(submitted(wide, job_id=f"{number:016x}"), 0.0)
    return core


@pytest.mark.parametrize("best_effort", [False, True])
def test_a_step_that_fits_nowhere_looks_at_no_executor(
    monkeypatch: pytest.MonkeyPatch, best_effort: bool
) -> None:
    """Guards against plans whose time grows with waiting steps times executors."""
    core = full_hall(best_effort=best_effort)
    planner = Planner(core)
    # The first plan tells in the log why they wait.
    planner.plan(1.0, 1.0)
    reasons = Reasons(monkeypatch)
    planner.plan(1.1, 1.1)
    assert core.orders == []
    assert reasons.asked == 0


def drawn_hall(seed: int) -> ShardCore:
    """Return a core with executors that are partly full and waiting steps of all kinds."""
    draws = Random(seed)
    core = core_with(executors=EXECUTORS)
    for executor in core.executors.values():
        place(core, executor, cpu=draws.randrange(0, 8_000, 500), best_effort=draws.random() < 0.5)
    for number in range(STEPS):
        kind = draws.choice(({}, {"standing": True}, {"best_effort": True}, {"gang": True}))
        most = draws.choice((0, 1))
        wide = step(
            draws.randint(1, 6), cpu=draws.randrange(500, 8_000, 100), max_per_executor=most, **kind
        )
        core.add_job(submitted(wide, job_id=f"{number:016x}"), 0.0)
    return core


@pytest.mark.parametrize("seed", range(20))
def test_a_plan_that_looks_at_all_executors_orders_the_same(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against steps placed by what was free before the steps ahead of them."""
    starts = plan(drawn_hall(seed), 4.0)

    def all_of_them(
        free: FreeCapacity, group: ExecutorGroup, _demand: Demand, _cores: float
    ) -> Any:
        return [row[0] for row in free._rows(group).values()]

    monkeypatch.setattr(FreeCapacity, "with_capacity", all_of_them)
    assert plan(drawn_hall(seed), 4.0) == starts
    assert starts
