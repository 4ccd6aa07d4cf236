"""Tests that no decision of an owner starts anything in an evacuated hall.

Each test has one way in which a start can come about, shows that it does, and that it does not
while the hall is evacuated.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from linkspan.events import Event
from linkspan.jobs.records import Delegation
from linkspan.model.evacuation import Evacuation
from linkspan.model.settings import Bounds
from linkspan.shard.attempt import Phase
from linkspan.shard.core import ShardCore
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorReport,
    PaceOrder,
    RunningTask,
    StartOrder,
    StopOrder,
    TaskName,
)
from linkspan.shard.planning._standing_waits import WaitReason, wait_reason
from linkspan.shard.planning.planner import Planner
from linkspan.shard.planning.task_need import TaskNeed
from tests.job_builders import step
from tests.shard.builders import (
    JOB,
    add_executor,
    confirm_start,
    core_with,
    plan,
    report_ends,
    submitted_job,
)
from tests.shard.stepped_dispatcher import SteppedDispatcher

EVACUATION = Evacuation("east", 4, 0.0)

Situation = Callable[[], ShardCore]
SITUATIONS: dict[str, Situation] = {}
"""States of a shard whose next plan, at 2 s, starts something; by what it starts."""


def situation(function: Situation) -> Situation:
    """Register a situation under the name of its function."""
    SITUATIONS[function.__name__] = function
    return function


def end_of(order: StartOrder, number: int, kind: EndKind) -> EndedTask:
    return EndedTask(number, order.task, order.run, kind, "")


@situation
def first_start() -> ShardCore:
    return core_with(step(2))


@situation
def best_effort_start() -> ShardCore:
    return core_with(step(2, best_effort=True))


@situation
def gang() -> ShardCore:
    return core_with(step(2, gang=True))


@situation
def standing_start() -> ShardCore:
    return core_with(step(2, standing=True))


@situation
def restart_of_a_standing_task() -> ShardCore:
    core = core_with(step(1, standing=True))
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.2)
    report_ends(core, order.executor_id, end_of(order, 1, EndKind.FAILED), asked=0.3, now=0.4)
    return core


@situation
def next_step() -> ShardCore:
    core = core_with(step(1), step(1, depends_on=(0,)))
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.2)
    report_ends(core, order.executor_id, end_of(order, 1, EndKind.DONE), asked=0.3, now=0.4)
    return core


@situation
def start_sent_again() -> ShardCore:
    core = core_with(step(1), executors=1)
    (order,) = plan(core, 0.1)
    core.on_start_sent(order, 0.2)
    core.on_start_unanswered(order, 1.2)
    # The report without the run lets the owner decide what to do about the start.
    report_ends(core, order.executor_id, asked=1.3, now=1.4)
    return core


@situation
def start_that_was_inherited() -> ShardCore:
    core = ShardCore(0, Bounds(), log=lambda _event, **_fields: None)
    former = core_with(step(1), executors=1)
    core.configure(former.configuration)  # type: ignore[arg-type]
    add_executor(core, "e0")
    core.add_job(submitted_job(step(1)), 0.0, inherited=True)
    return core


@situation
def copy_of_a_slow_task() -> ShardCore:
    core = core_with(step(4, speculative=True, estimate_s=0.5), executors=3)
    orders = plan(core, 0.1)
    for order in orders:
        confirm_start(core, order, 0.2)
    slow, done = orders[0], orders[1:]
    by_executor: dict[str, list[StartOrder]] = {}
    for order in done:
        by_executor.setdefault(order.executor_id, []).append(order)
    for name in core.executors:
        ended = by_executor.get(name, [])
        ends = tuple(end_of(order, n, EndKind.DONE) for n, order in enumerate(ended, start=1))
        here = slow.executor_id == name
        running = (RunningTask(slow.task, slow.run, "", 10, None),) if here else ()
        core.on_report(name, ExecutorReport(0.8, running, ends), asked=0.7, now=0.8)
    return core


@situation
def task_that_another_hall_delegates() -> ShardCore:
    core = core_with(executors=1)
    core.jobs.clear()
    submitted = submitted_job(step(2, standing=True, max_per_executor=1))
    core.add_job(replace(submitted, shard=1), 0.1, delegated_here=[Delegation(0, 1, 1)])
    return core


@situation
def job_that_another_hall_moves() -> ShardCore:
    core = core_with(executors=1)
    core.jobs.clear()
    core.add_job(replace(submitted_job(step(1)), shard=1), 0.1, moved=True)
    return core


@situation
def task_stopped_to_continue_elsewhere() -> ShardCore:
    core = core_with(step(1, estimate_s=0.1))
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.2)
    attempt = core.find_attempt(order.task, order.run)
    assert attempt
    core.stop(attempt, 0.3, reason="test")
    report_ends(core, order.executor_id, end_of(order, 1, EndKind.STOPPED), asked=0.4, now=0.5)
    return core


@pytest.mark.parametrize("name", sorted(SITUATIONS))
def test_nothing_is_started_in_an_evacuated_hall(name: str) -> None:
    assert plan(SITUATIONS[name](), 2.0)
    core = SITUATIONS[name]()
    # Starts that were ordered before the evacuation are checked once more before they are sent.
    core.orders.clear()
    core.evacuate(EVACUATION, 1.5)
    assert plan(core, 2.0) == []


@pytest.mark.parametrize("name", sorted(set(SITUATIONS) - {"start_sent_again"}))
def test_the_plan_after_an_evacuation_starts_what_waited(name: str) -> None:
    core = SITUATIONS[name]()
    core.evacuate(EVACUATION, 1.5)
    plan(core, 1.8)
    core.evacuate(None, 1.9)
    assert plan(core, 2.0)


def test_an_unanswered_start_is_stopped_and_not_sent_again() -> None:
    core = core_with(step(1), executors=1)
    (order,) = plan(core, 0.1)
    core.on_start_sent(order, 0.2)
    core.on_start_unanswered(order, 1.2)
    core.evacuate(EVACUATION, 1.25)
    report_ends(core, order.executor_id, asked=1.3, now=1.4)
    assert core.orders == [StopOrder(order.executor_id, order.task, order.run)]


def test_what_runs_in_an_evacuated_hall_goes_on() -> None:
    """Reports, ends, paces and stops do not depend on the evacuation."""
    core = core_with(step(2, best_effort=True), step(1, standing=True))
    orders = plan(core, 0.1)
    for order in orders:
        confirm_start(core, order, 0.2)
    core.evacuate(EVACUATION, 1.0)
    assert plan(core, 1.1) == []
    assert len([a for e in core.executors.values() for a in e.attempts.values()]) == len(orders)
    name = orders[0].executor_id
    report_ends(core, name, end_of(orders[0], 1, EndKind.DONE), asked=1.2, now=1.3)
    task = core.find_task(orders[0].task)
    assert task and task.done
    attempt = core.find_attempt(orders[1].task, orders[1].run)
    assert attempt and attempt.phase is Phase.RUNNING
    core.pace(attempt, 50, 1.4)
    core.stop(attempt, 1.4, reason="test")
    assert [type(order) for order in core.orders[-2:]] == [PaceOrder, StopOrder]


def test_an_evacuated_hall_publishes_no_room() -> None:
    core = core_with(step(1, cpu=1_000))
    before = summarize(core, 1.0)
    assert before.free > 0 and before.slots(TaskNeed.of(step(1), "pool", use_headroom=False)) > 0
    core.evacuate(EVACUATION, 1.0)
    summary = summarize(core, 1.0)
    assert (summary.capacity, summary.free, summary.free_by_executor) == (0, 0, ())
    # A job that only this hall can run is still accepted, and waits here.
    assert summary.kinds == before.kinds


def test_the_owner_tells_what_runs_and_waits_at_begin_and_end() -> None:
    lines: list[tuple[Event, dict[str, Any]]] = []
    core = core_with(
        step(3, cpu=4_000), executors=1, log=lambda e, **fields: lines.append((e, fields))
    )
    for order in plan(core, 0.1):
        confirm_start(core, order, 0.2)
    lines.clear()
    core.evacuate(replace(EVACUATION, unread_s=0.5), 1.0)
    core.evacuate(replace(EVACUATION, unread_s=0.5), 2.0)
    core.evacuate(None, 3.0)
    begun, ended = lines
    assert begun[0] is Event.HALL_EVACUATED
    assert begun[1] == {
        "offset": 4,
        "age_s": 1.5,
        "running": 2,
        "waiting": 1,
        "shard": 0,
        "token": 0,
    }
    assert ended[0] is Event.HALL_REOPENED
    assert ended[1]["lasted_s"] == 3.0 and ended[1]["waiting"] == 1


def test_waiting_tasks_say_that_their_hall_is_evacuated() -> None:
    """Guards against tasks that wait without a reason that an operator can read."""
    lines: list[tuple[Event, dict[str, Any]]] = []
    core = core_with(
        step(2),
        step(1, standing=True),
        executors=1,
        log=lambda e, **fields: lines.append((e, fields)),
    )
    core.evacuate(EVACUATION, 0.0)
    planner = Planner(core)
    planner.plan(0.1, 0.1)
    planner.plan(0.2, 0.2)
    blocked = [fields for event, fields in lines if event is Event.STEP_BLOCKED]
    assert {fields["step"]: fields["against"] for fields in blocked} == {
        "0.0": {"hall is evacuated": 2},
        "0.1": {"hall is evacuated": 1},
    }
    assert len(blocked) == 2
    task = core.find_task(TaskName(JOB, 0, 1, 0))
    assert task
    assert wait_reason(core, task, 5.0, may_act=True) is WaitReason.EVACUATED


@pytest.mark.parametrize("evacuation", [None, EVACUATION])
def test_a_start_that_was_ordered_before_an_evacuation_is_not_sent_after_it(
    evacuation: Evacuation | None,
) -> None:
    """A start waits up to a second for its record, and longer for an executor's answer."""
    stepped = SteppedDispatcher()
    stepped.proof.proved(0.1)
    stepped.plan(0.2)
    stepped.core.evacuate(evacuation, 0.3)
    stepped.run_pending(0.4)
    assert bool(stepped.sent) is (evacuation is None)
