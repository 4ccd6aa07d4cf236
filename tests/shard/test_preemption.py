"""Tests that best-effort runs are stopped for tasks that would wait too long for memory."""

from __future__ import annotations

import pytest

from linkspan.jobs.spec import Demand, StepSpec
from linkspan.shard.planning._preemption import cheapest_preemption
from linkspan.shard.planning._setting_aside import MAX_STANDING_WAIT_S
from tests.shard.set_aside_builders import WAITING_JOB, HeldMemory, best_effort, short

STANDING = StepSpec(1, Demand(1_000, 20_000), 1.0, standing=True)


@pytest.mark.parametrize("spec", [short(), STANDING])
def test_runs_that_last_are_stopped_for_a_waiting_task(spec: StepSpec) -> None:
    """Guards against a wait without a bound behind best-effort work that runs for a minute."""
    hall = HeldMemory(best_effort(4, 8_000))
    hall.submit(spec, WAITING_JOB, 0.5)
    assert hall.stops(0.51) == []
    assert len(hall.stops(0.5 + MAX_STANDING_WAIT_S)) == 3
    assert hall.stops(0.6 + MAX_STANDING_WAIT_S) == []


def test_runs_that_end_in_time_are_not_stopped() -> None:
    """Guards against work thrown away for memory that would have been free as soon."""
    hall = HeldMemory(best_effort(4, 8_000, estimate_s=1.2))
    hall.submit(short(), WAITING_JOB, 0.5)
    assert hall.stops(0.51) == []
    assert hall.set_aside_on() == ["e0"]
    assert hall.stops(0.75) == []


def test_runs_with_the_least_to_lose_are_stopped() -> None:
    """Guards against the stop of a run that is nearly done, or that saves nothing."""
    saving = best_effort(1, 8_000, checkpoints=True)
    hall = HeldMemory(best_effort(1, 8_000), saving, best_effort(2, 8_000))
    hall.submit(short(memory_mb=14_000), WAITING_JOB, 30.0)
    hall.plan(30.01)
    stopped = [order.task.job_id for order in hall.stops(30.5)]
    assert sorted(stopped) == ["0000000000000001", "0000000000000002"]


def test_no_more_runs_are_stopped_than_needed() -> None:
    """Guards against small runs that are stopped beside a larger one that is enough alone."""
    hall = HeldMemory(best_effort(1, 24_000), best_effort(1, 4_000), best_effort(1, 4_000))
    hall.submit(short(memory_mb=22_000), WAITING_JOB, 5.0)
    hall.plan(5.01)
    assert [order.task.job_id for order in hall.stops(5.5)] == ["0000000000000000"]


def test_a_task_that_was_stopped_before_comes_later() -> None:
    """Guards against a best-effort task that is stopped again and again."""
    hall = HeldMemory(best_effort(1, 16_000), best_effort(1, 16_000))
    executor = hall.core.executors["e0"]
    first, second = executor.all_best_effort()
    second.task.preemptions = 3
    preemption = cheapest_preemption(executor, Demand(0, 16_000), 0.2)
    assert preemption is not None
    assert preemption.runs == [first]


@pytest.mark.parametrize("kept", [{"gang": True}, {"standing": True}])
def test_gangs_and_standing_tasks_are_not_stopped(kept: dict[str, bool]) -> None:
    """Guards against a stop that loses a gang's work, or takes a standing task away."""
    hall = HeldMemory(best_effort(4, 8_000, **kept))
    executor = hall.core.executors["e0"]
    assert cheapest_preemption(executor, Demand(0, 8_000), 0.2) is None
    hall.submit(short(), WAITING_JOB, 0.5)
    hall.plan(0.51)
    assert hall.stops(2.9) == []
