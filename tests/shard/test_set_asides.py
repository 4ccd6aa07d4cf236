"""Tests that memory and accelerators are set aside for waiting tasks with a reservation."""

from __future__ import annotations

from dataclasses import replace

import pytest

from linkspan.jobs.spec import Demand, StepSpec
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.messages import EndKind
from linkspan.shard.planning._setting_aside import MAX_SET_ASIDE_S, MAX_SET_ASIDE_SHARE
from linkspan.shard.planning.set_asides import SetAsideEnd
from tests.shard.set_aside_builders import (
    LATER_JOB,
    WAITING_JOB,
    HeldMemory,
    best_effort,
    short,
)


def test_memory_that_a_task_waits_for_is_not_taken_by_best_effort_work() -> None:
    """Guards against best-effort work that takes each piece of memory which is given back."""
    hall = HeldMemory(best_effort(4, 8_000, estimate_s=0.8))
    hall.submit(short(), WAITING_JOB, 0.5)
    hall.submit(best_effort(4, 8_000), LATER_JOB, 0.5)
    assert hall.starts(0.51) == []
    for order in hall.held[:2]:
        hall.end(order, 0.8)
        assert hall.starts(0.8) == []
    hall.end(hall.held[2], 0.8)
    assert [order.task.job_id for order in hall.starts(0.8)] == [WAITING_JOB]


def test_a_waiting_task_takes_no_memory_that_is_free_elsewhere() -> None:
    """Guards against executors that are kept although the task fits on another one."""
    hall = HeldMemory(best_effort(4, 8_000), executors=2)
    hall.submit(short(memory_mb=16_000), WAITING_JOB, 0.5)
    assert [order.task.job_id for order in hall.starts(0.51)] == [WAITING_JOB]
    assert hall.set_aside_on() == []


def test_less_urgent_tasks_leave_the_memory_and_more_urgent_ones_use_it() -> None:
    """Guards against tasks that overtake a waiting one for good, and against the opposite."""
    hall = HeldMemory(best_effort(4, 8_000, estimate_s=0.8))
    hall.submit(short(), WAITING_JOB, 0.5)
    assert hall.starts(0.51) == []
    hall.end(hall.held[0], 0.8)
    longer = StepSpec(1, Demand(1_000, 5_000), 0.9)
    hall.submit(longer, LATER_JOB, 0.8)
    assert hall.starts(0.8) == []
    hall.submit(replace(longer, estimate_s=0.1), "00000000000000ee", 0.8)
    assert [order.task.job_id for order in hall.starts(0.81)] == ["00000000000000ee"]


def test_accelerators_are_set_aside_in_the_same_way() -> None:
    """Guards against best-effort work that keeps accelerators from waiting tasks."""
    hall = HeldMemory()
    executor = hall.core.executors["e0"]
    executor.register(replace(executor.record, capacity=Demand(8_000, 32_000, 2)))
    hall.submit(best_effort(2, 100, gpus=1), "00000000000000ee", 0.0)
    held = hall.starts(0.1)
    for order in held:
        hall.confirm(order, 0.1)
    hall.submit(short(memory_mb=100, gpus=2), WAITING_JOB, 0.2)
    assert hall.starts(0.21) == []
    stopped = hall.stops(0.5)
    assert {order.task for order in stopped} == {order.task for order in held}
    hall.submit(best_effort(2, 100, gpus=1), LATER_JOB, 0.6)
    hall.end(held[0], 0.7, EndKind.STOPPED)
    assert hall.starts(0.7) == []
    hall.end(held[1], 0.8, EndKind.STOPPED)
    assert [order.task.job_id for order in hall.starts(0.8)] == [WAITING_JOB]


def test_other_halls_are_not_offered_what_is_set_aside() -> None:
    """Guards against work of other halls that takes the memory a task here waits for."""
    hall = HeldMemory(best_effort(3, 8_000, estimate_s=0.8))
    assert summarize(hall.core, 0.4).free_by_executor == ((8_000, 8_000),)
    hall.submit(short(), WAITING_JOB, 0.5)
    assert hall.starts(0.51) == []
    assert summarize(hall.core, 0.6).free_by_executor == ((7_000, 0),)


@pytest.mark.parametrize(("spread", "executors"), [(0, 8), (1, 8), (0, 40)])
def test_few_executors_are_set_aside(spread: int, executors: int) -> None:
    """Guards against a hall that keeps more from best-effort work than the waiting tasks need."""
    hall = HeldMemory(best_effort(4 * executors, 8_000), executors=executors)
    hall.submit(short(3, max_per_executor=spread), WAITING_JOB, 0.5)
    assert hall.starts(0.51) == []
    assert 1 <= len(hall.set_aside_on()) <= min(3, MAX_SET_ASIDE_SHARE * executors)


def test_only_executors_that_a_step_may_use_are_set_aside() -> None:
    """Guards against memory that is kept where a label or the spread limit rules the task out."""
    hall = HeldMemory(best_effort(16, 8_000), executors=4)
    executor = hall.core.executors["e2"]
    executor.register(replace(executor.record, labels=frozenset({"fast"})))
    hall.submit(short(2, label="fast", max_per_executor=1), WAITING_JOB, 0.5)
    assert hall.starts(0.51) == []
    assert hall.set_aside_on() == ["e2"]


def test_members_of_a_gang_get_memory_together() -> None:
    """Guards against a gang of which some members keep memory while others never fit."""
    hall = HeldMemory(best_effort(16, 8_000), executors=4)
    hall.submit(short(3, gang=True, max_per_executor=1), WAITING_JOB, 0.5)
    assert hall.starts(0.51) == []
    assert len(hall.set_aside_on()) == 3
    stopped = {(order.task, order.run) for order in hall.stops(0.8)}
    ends = [order for order in hall.held if (order.task, order.run) in stopped]
    for order in ends[:-1]:
        hall.end(order, 1.0, EndKind.STOPPED)
    assert hall.starts(1.0) == []
    hall.end(ends[-1], 1.1, EndKind.STOPPED)
    assert [order.task.job_id for order in hall.starts(1.1)] == [WAITING_JOB] * 3


def test_a_gang_that_does_not_fit_as_a_whole_keeps_no_memory() -> None:
    """Guards against memory that is kept for a gang which can't start."""
    hall = HeldMemory(best_effort(8, 8_000), executors=2)
    hall.submit(short(3, gang=True, max_per_executor=1), WAITING_JOB, 0.5)
    assert hall.starts(0.51) == []
    assert hall.set_aside_on() == []
    assert hall.stops(0.9) == []


def test_memory_of_a_cancelled_job_is_not_set_aside_any_more() -> None:
    """Guards against memory that is kept for tasks which no longer wait."""
    hall = HeldMemory(best_effort(4, 8_000))
    hall.submit(short(), WAITING_JOB, 0.5)
    hall.plan(0.51)
    hall.core.cancel_job(WAITING_JOB)
    hall.plan(0.6)
    assert hall.set_aside_on() == []
    assert hall.ended_because() == [SetAsideEnd.FEWER_WAIT.value]


def test_an_executor_on_which_a_task_does_not_fit_in_time_is_given_up() -> None:
    """Guards against memory that is kept for ever where a stopped run does not end."""
    hall = HeldMemory(best_effort(8, 8_000), executors=2)
    hall.submit(short(), WAITING_JOB, 0.5)
    hall.plan(0.51)
    first = hall.set_aside_on()
    hall.plan(0.51 + MAX_SET_ASIDE_S)
    assert hall.ended_because() == [SetAsideEnd.EXPIRED.value]
    assert hall.set_aside_on() not in ([], first)


def test_memory_of_an_executor_that_drains_is_not_set_aside_any_more() -> None:
    """Guards against a task that waits for an executor which takes no new work."""
    hall = HeldMemory(best_effort(8, 8_000), executors=2)
    hall.submit(short(), WAITING_JOB, 0.5)
    hall.plan(0.51)
    (first,) = hall.set_aside_on()
    hall.core.executors[first].silent_since = 0.6
    hall.plan(0.8)
    assert hall.ended_because() == [SetAsideEnd.UNUSABLE.value]
    assert hall.set_aside_on() not in ([], [first])
