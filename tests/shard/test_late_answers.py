"""Tests answers of executors that a busy host applies long after they were made.

The executor may have crashed since. What an answer proves holds at the time at which it was made,
which is not before its request was sent and which the clock in the report shows.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from linkspan.shard.core import ShardCore
from linkspan.shard.messages import ExecutorReport, StartAnswer, StartOrder, StartOutcome
from linkspan.shard.reports._give_ups import GIVE_UP_DELAY_S
from tests.job_builders import step
from tests.shard.builders import add_executor, confirm_start, core_with, plan, report_ends
from tests.shard.crash_builders import (
    REPLACED,
    crash_at_once,
    crash_executor,
    grant_lease,
    only_task,
    order_on,
    report_run,
    set_all_durable,
    start_on,
)

ENTRY_VANISHED_AT = 2.0


def _running_on(core: ShardCore, name: str) -> StartOrder:
    """Start the task on an executor whose registry entry vanishes at ``ENTRY_VANISHED_AT``."""
    order = order_on(core, name, 1.0)
    confirm_start(core, order, 1.0)
    report_run(core, name, order, asked=1.1, made=1.11, now=1.12)
    record = core.executors[name].record
    core.list_executors([record], ENTRY_VANISHED_AT, missing={name: ENTRY_VANISHED_AT})
    return order


def test_a_late_answer_from_before_a_crash_shows_no_planned_departure() -> None:
    """Guards against a crash that counts for no task because an answer was applied late.

    The executor crashes at 1.98. Its answer of 1.97 is applied after its entry vanished.
    """
    core = core_with(step(1), executors=0)
    order = _running_on(core, "e0")
    report_run(core, "e0", order, asked=1.9, made=1.97, now=2.1)
    crash_executor(core, "e0", 3.0, 3.2)
    history = only_task(core).crash_history
    assert history and history.crash_count == 1


def test_tasks_that_crash_executors_are_given_up_although_answers_are_applied_late() -> None:
    """Guards against a task that is started after two certain crashes, seen by its callers."""
    core = core_with(step(1), executors=0)
    for name, at in (("e0", 1.0), ("e1", 5.0)):
        order = order_on(core, name, at)
        confirm_start(core, order, at)
        record = core.executors[name].record
        core.list_executors([record], at + 0.2, missing={name: at + 0.2})
        report_run(core, name, order, asked=at + 0.1, made=at + 0.15, now=at + 0.3)
        crash_executor(core, name, at + 0.31, at + 0.4)
    core.tick(5.4 + GIVE_UP_DELAY_S)
    assert len(core.finished) == 1


@pytest.mark.parametrize("late", [False, True])
def test_a_late_answer_hides_no_simultaneous_crash(*, late: bool) -> None:
    """Guards against a job given up because the crashes beside its own passed for departures.

    A rack fails with the task's executor and two idle ones. Their last answers are applied after
    their entries vanished.
    """
    core = core_with(step(1), executors=0)
    crash_at_once(core, "e0", 1.0)
    start_on(core, "e1", 10.0)
    for name in ("idle-0", "idle-1"):
        add_executor(core, name)
        report_ends(core, name, asked=10.02, now=10.03)
    for name in ("idle-0", "idle-1"):
        records = [executor.record for executor in core.executors.values()]
        core.list_executors(records, 10.2, missing={"idle-0": 10.2, "idle-1": 10.2})
        if late:
            core.on_report(name, ExecutorReport(10.08, (), ()), asked=10.07, now=10.25)
        core.on_silent(name, 10.26)
    core.on_silent("e1", 10.12)
    for name in ("idle-0", "idle-1", "e1"):
        core.on_incarnation_ended(name, 10.3, REPLACED)
    core.tick(10.3 + GIVE_UP_DELAY_S)
    assert core.finished == []


def test_an_executor_that_answers_after_its_entry_vanished_left_as_planned() -> None:
    """Guards against a planned departure that counts as a crash: the request was sent later."""
    core = core_with(step(1), executors=0)
    order = _running_on(core, "e0")
    report_run(core, "e0", order, asked=2.1, made=2.11, now=2.12)
    crash_executor(core, "e0", 3.0, 3.2)
    assert only_task(core).crash_history is None


def test_a_long_poll_answered_after_the_entry_vanished_shows_a_planned_departure() -> None:
    """Guards against a planned departure that counts as a crash: the poll was waiting already.

    The poll was sent at 1.9; the clock in the report shows that it was made at about 2.2.
    """
    core = core_with(step(1), executors=0)
    order = _running_on(core, "e0")
    report_run(core, "e0", order, asked=1.9, made=2.2, now=2.21)
    crash_executor(core, "e0", 3.0, 3.2)
    assert only_task(core).crash_history is None


AHEAD_S = 1000.0
"""Time by which an executor's clock is ahead of the host's."""


@pytest.mark.parametrize(("made", "crashes"), [(1.97, 1), (2.2, 0)])
def test_a_clock_of_another_origin_shows_when_a_report_was_made(made: float, crashes: int) -> None:
    """Guards against an executor's clock that is compared with the host's without its offset."""
    core = core_with(step(1), executors=0)
    add_executor(core, "e1")
    record = replace(core.executors["e1"].record, executor_id="e0", address="e0:1")
    core.on_incarnation_ended("e1", 0.1, REPLACED)
    core.list_executors([record], 0.5)
    core.executors["e0"].rostered = True
    core.on_report("e0", ExecutorReport(0.9 + AHEAD_S, (), ()), asked=0.89, now=0.91)
    (order,) = plan(core, 1.0)
    grant_lease(core, "e0", 1.0)
    confirm_start(core, order, 1.0)
    report_run(core, "e0", order, asked=1.1, made=1.11 + AHEAD_S, now=1.12)
    core.list_executors([record], ENTRY_VANISHED_AT, missing={"e0": ENTRY_VANISHED_AT})
    report_run(core, "e0", order, asked=1.9, made=made + AHEAD_S, now=2.21)
    crash_executor(core, "e0", 3.0, 3.2)
    history = only_task(core).crash_history
    assert (history.crash_count if history else 0) == crashes


def _crash_beside(core: ShardCore, *, late_s: float) -> None:
    """Let the task's second executor and an idle one crash at 10.11, and end the idle one later.

    Args:
        core: The core.
        late_s: Time by which the last answer of the idle executor is applied late.
    """
    crash_at_once(core, "e0", 1.0)
    start_on(core, "e1", 10.0)
    add_executor(core, "idle")
    report_ends(core, "idle", asked=10.02, now=10.03)
    core.on_silent("e1", 10.12)
    made = 10.1
    core.on_report(
        "idle", ExecutorReport(made, (), ()), asked=made - 0.01, now=made + 0.01 + late_s
    )
    core.on_silent("idle", made + 0.02 + late_s)
    core.on_incarnation_ended("e1", 10.3, REPLACED)
    core.on_incarnation_ended("idle", 10.7, REPLACED)
    core.tick(10.3 + GIVE_UP_DELAY_S)


@pytest.mark.parametrize("late_s", [0.0, 0.4])
def test_an_answer_applied_late_makes_no_two_crashes_look_apart(late_s: float) -> None:
    """Guards against a job given up for a crash of a whole rack, as one answer was applied late."""
    core = core_with(step(1), executors=0)
    _crash_beside(core, late_s=late_s)
    assert core.finished == []


def test_an_answer_made_after_a_crash_shows_that_another_executor_did_not_crash_with_it() -> None:
    """Guards against a crashing task that is spared because another executor crashed later."""
    core = core_with(step(1), executors=0)
    crash_at_once(core, "e0", 1.0)
    start_on(core, "e1", 10.0)
    add_executor(core, "idle")
    crash_executor(core, "e1", 10.12, 10.3)
    report_ends(core, "idle", asked=10.48, now=10.49)
    crash_executor(core, "idle", 10.6, 10.7)
    core.tick(10.3 + GIVE_UP_DELAY_S)
    assert len(core.finished) == 1


@pytest.mark.parametrize("late_s", [0.0, 0.4])
def test_a_start_answered_before_a_crash_and_applied_late_makes_no_two_crashes_look_apart(
    late_s: float,
) -> None:
    """Guards against a job given up for a crash of a whole rack, as one answer was applied late.

    The late answer is one to a start of another task, of the same step.
    """
    core = core_with(step(2, max_per_executor=1), executors=0)
    crash_first, crash_second, beside = "e0", "e1", "e2"
    add_executor(core, crash_first)
    first_order, *_ = plan(core, 1.0)
    confirm_start(core, first_order, 1.0)
    crash_executor(core, crash_first, 1.1, 1.2)
    for name in (crash_second, beside):
        add_executor(core, name)
        report_ends(core, name, asked=9.97, now=9.98)
    set_all_durable(core)
    orders = {order.task: order for order in plan(core, 10.0)}
    for name in (crash_second, beside):
        grant_lease(core, name, 10.0)
    again = orders.pop(first_order.task)
    (other,) = orders.values()
    confirm_start(core, again, 10.01)
    core.on_silent(again.executor_id, 10.12)
    core.on_started(other, StartAnswer(StartOutcome.STARTED, 10.02), 10.03 + late_s)
    core.on_silent(other.executor_id, 10.13 + late_s)
    core.on_incarnation_ended(again.executor_id, 10.3, REPLACED)
    core.on_incarnation_ended(other.executor_id, 10.6, REPLACED)
    core.tick(10.6 + GIVE_UP_DELAY_S)
    assert core.finished == []


@pytest.mark.parametrize("late_s", [0.0, 2.39])
def test_progress_that_is_applied_late_makes_no_crash_certain(late_s: float) -> None:
    """Guards against a job given up for two crashes of which one hit a run that had ended.

    A run of ten seconds reports half of its work at 7.0, which is applied at 9.4. When its executor
    is silent at 9.6, more than half of the remaining five seconds have passed.
    """
    core = core_with(step(1, estimate_s=10.0), executors=0)
    order = order_on(core, "e0", 2.0)
    confirm_start(core, order, 2.0)
    report_run(core, "e0", order, asked=3.0, made=3.01, now=3.02, progress=10)
    report_run(core, "e0", order, asked=6.99, made=7.0, now=7.01 + late_s, progress=50)
    crash_executor(core, "e0", 9.6, 9.7)
    history = only_task(core).crash_history
    assert history and history.certain_count == 0
