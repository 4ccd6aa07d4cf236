"""Tests the rule on what a task may use now, and that every question about room asks it."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linkspan.jobs.spec import Demand, StepSpec
from linkspan.shard.core import ShardCore
from linkspan.shard.handover._task_waits import RETURN_DELAY_S
from linkspan.shard.handover.executor_room import ExecutorRoom
from linkspan.shard.handover.rebalance import HANDOVER_WAIT_S, Rebalancer
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorKind
from linkspan.shard.planning.task_need import HEADROOM_WAIT_S, Obstacle, TaskNeed
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan

KIND = ExecutorKind("pool", Demand(8_000, 32_000), frozenset({"kind-a"}), 2)
FULL = HallSummary(capacity=16_000, free_by_executor=((0, 0), (0, 0)), kinds=(KIND,))

AMOUNTS = st.integers(0, 40)


def need(spec: StepSpec, *, use_headroom: bool = False) -> TaskNeed:
    return TaskNeed.of(spec, "pool", use_headroom=use_headroom)


def hall(*free_cpu: int, kind: ExecutorKind = KIND) -> HallSummary:
    """Return the summary of a hall whose executors have this much free."""
    return HallSummary(
        capacity=len(free_cpu) * kind.capacity.milli_cpu,
        free=sum(free_cpu),
        free_by_executor=tuple((cpu, 32_000) for cpu in free_cpu),
        kinds=(replace(kind, count=len(free_cpu)),),
        rows_by_kind=(len(free_cpu),),
    )


def waiting_core(spec: StepSpec) -> ShardCore:
    """Return a core of which a task of the step finds no executor."""
    core = core_with(spec, executors=1)
    plan(core, 0.1)
    return core


def rebalancer(core: ShardCore, *halls: HallSummary) -> Rebalancer:
    summaries = dict(enumerate(halls, 1))
    return Rebalancer(
        core,
        summaries=lambda: summaries,
        count_capable=lambda shard, spec, service: summaries[shard].count_capable(spec, service),
    )


SPECS = st.builds(
    StepSpec,
    st.just(1),
    st.builds(Demand, st.integers(1, 41), AMOUNTS),
    standing=st.booleans(),
    max_per_executor=st.integers(0, 3),
)
ROOMS = st.builds(ExecutorRoom, st.just(40), AMOUNTS, AMOUNTS)


@given(SPECS, ROOMS, st.booleans())
def test_slots_are_as_many_tasks_as_the_rule_lets_in_one_by_one(
    spec: StepSpec, room: ExecutorRoom, use_headroom: bool
) -> None:
    asked = need(spec, use_headroom=use_headroom)
    placed = 0
    while asked.obstacle(room.without(spec.demand, placed), placed=placed) is None:
        placed += 1
    assert asked.slots(room) == placed


def test_a_task_that_never_ran_is_delegated_into_the_headroom_after_a_while() -> None:
    """Guards against standing tasks for which only the headroom of other halls is left."""
    core = waiting_core(step(2, standing=True, cpu=7_500))
    asked = rebalancer(core, hall(7_500))
    assert asked.plan(FULL, HANDOVER_WAIT_S + 0.1) == []
    (handover,) = asked.plan(FULL, HEADROOM_WAIT_S)
    assert handover.tasks == ((0, 0),)


def test_a_job_that_has_not_begun_moves_into_the_headroom_after_a_while() -> None:
    """Guards against standing jobs that wait as each hall keeps a tenth of all its cores."""
    core = waiting_core(step(2, standing=True, cpu=9_000))
    large = ExecutorKind("pool", Demand(10_000, 32_000), frozenset(), 2)
    asked = rebalancer(core, hall(9_000, 9_000, kind=large))
    assert asked.plan(FULL, HANDOVER_WAIT_S + 0.1) == []
    (handover,) = asked.plan(FULL, HEADROOM_WAIT_S)
    assert handover.tasks is None


@pytest.mark.parametrize(
    "spec", [step(4, standing=True, cpu=1_000, label="kind-b"), step(4, standing=True, cpu=1_000)]
)
def test_a_task_goes_only_to_executors_that_may_run_it(spec: StepSpec) -> None:
    """Guards against searches that go from hall to hall behind cores that a task may not use."""
    core = waiting_core(spec)
    core.jobs[JOB].begun = True
    labelled = replace(KIND, labels=frozenset({"kind-b"}))
    summary = replace(
        hall(0, 8_000),
        kinds=(replace(labelled, count=1), replace(KIND, service="other", count=1)),
        rows_by_kind=(1, 1),
    )
    assert rebalancer(core, summary).plan(FULL, HEADROOM_WAIT_S) == []


def test_no_more_tasks_are_delegated_than_the_spread_limit_allows() -> None:
    """Guards against delegations that the other hall can only return."""
    core = waiting_core(step(6, standing=True, cpu=1_000, max_per_executor=1))
    for task in core.jobs[JOB].runs[0].steps[0].tasks[:2]:
        task.managed_by = 1
    (handover,) = rebalancer(core, hall(8_000, 8_000, 8_000)).plan(FULL, HANDOVER_WAIT_S + 0.1)
    assert handover.tasks is not None
    assert len(handover.tasks) == 1


def test_room_that_was_given_away_is_not_given_away_again() -> None:
    """Guards against a second job that is sent where the first one already goes.

    A hall publishes its next summary up to seconds later.
    """
    core = waiting_core(step(3, standing=True, cpu=8_000))
    core.jobs[JOB].begun = True
    asked = rebalancer(core, hall(8_000, 8_000))
    (handover,) = asked.plan(FULL, HEADROOM_WAIT_S)
    assert handover.tasks is not None and len(handover.tasks) == 2
    assert asked.plan(FULL, HEADROOM_WAIT_S + 0.3) == []
    # The hall took none of it, or its record was lost: the summary counts again.
    assert asked.plan(FULL, HEADROOM_WAIT_S + 10.0)


def test_a_summary_tells_each_executor_as_its_own_hall_sees_it() -> None:
    """Guards against summaries that show room which the hall itself would not use."""
    core = core_with(step(1, cpu=3_000), executors=2)
    plan(core, 0.1)
    core.executors["e1"].quarantined_until = 5.0
    summary = summarize(core, 1.0)
    (room,) = HallSummary.decode(summary.encode()).rooms()
    assert (room.free_cpu, room.free_memory, room.total_cpu) == (5_000, 31_900, 8_000)
    assert room.kind is not None and room.kind.service == "pool"
    assert need(step(1, cpu=6_000)).obstacle(room) is Obstacle.CORES


def test_waits_leave_room_for_two_halls_that_return_a_task() -> None:
    """Guards against waits that together exceed the bound of nine seconds."""
    assert HEADROOM_WAIT_S + 2 * (HANDOVER_WAIT_S + RETURN_DELAY_S) < 9.0
