"""Tests of waits for memory that is set aside, or should be, which don't end."""

from __future__ import annotations

import pytest

from linkspan.jobs.spec import Demand, StepSpec
from linkspan.shard.handover.rebalance import Rebalancer
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.planning._setting_aside import CHECK_INTERVAL_S, MAX_SET_ASIDE_S
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan
from tests.shard.set_aside_builders import (
    LATER_JOB,
    WAITING_JOB,
    HeldMemory,
    best_effort,
    short,
)

STANDING = StepSpec(1, Demand(1_000, 20_000), 1.0, standing=True)
STANDING_BOUND_S = 9.0
SHORT_BOUND_S = 3.0

STEPS_WITHOUT_CORES = 60
PLAN_INTERVAL_S = 0.02


def _times(since: float, until: float) -> list[float]:
    """Return the times of plans, one each look at a step."""
    interval = 1.1 * CHECK_INTERVAL_S
    return [since + number * interval for number in range(int((until - since) / interval))]


@pytest.mark.parametrize(
    ("spec", "bound_s"), [(short(), SHORT_BOUND_S), (STANDING, STANDING_BOUND_S)]
)
def test_runs_that_outlast_their_estimates_are_stopped(spec: StepSpec, bound_s: float) -> None:
    """Guards against an estimate that is too short and puts the stop off for ever."""
    hall = HeldMemory(best_effort(4, 8_000, estimate_s=0.8))
    hall.submit(spec, WAITING_JOB, 5.0)
    stops = [order for now in _times(5.01, 5.0 + bound_s) for order in hall.stops(now)]
    assert len(stops) >= 3


def test_an_executor_that_was_given_up_once_is_tried_again() -> None:
    """Guards against best-effort work that takes each piece of memory once a set-aside expired."""
    hall = HeldMemory(best_effort(4, 8_000, estimate_s=0.8, gang=True))
    hall.submit(short(), WAITING_JOB, 0.5)
    given_up_at = 0.6 + MAX_SET_ASIDE_S
    for now in _times(0.51, given_up_at + 0.1):
        hall.plan(now)
    hall.submit(best_effort(8, 8_000), LATER_JOB, given_up_at)
    started = []
    now = given_up_at + 1.0
    for order in hall.held:
        now += 1.0
        hall.end(order, now)
        for start in hall.starts(now + 0.01):
            hall.confirm(start, now + 0.01)
            started.append(start.task.job_id)
    for later in _times(now + 0.1, now + STANDING_BOUND_S):
        hall.plan(later)
    assert hall.set_aside_on() != [] or WAITING_JOB in started


def test_steps_that_lack_cores_do_not_use_up_the_searches_of_all_plans() -> None:
    """Guards against a wait without a bound behind displaced tasks that fit nowhere."""
    reserved = StepSpec(1, Demand(4_000, 100), 60.0)
    hall = HeldMemory(reserved, best_effort(4, 7_900))
    for number in range(STEPS_WITHOUT_CORES):
        job_id = f"{0xEE00 + number:016x}"
        hall.submit(StepSpec(1, Demand(6_000, 20_000), 1.0, standing=True), job_id, 0.5)
        for task in hall.core.jobs[job_id].runs[0].tasks():
            task.next_run = 2
    hall.submit(STANDING, WAITING_JOB, 0.5)
    for number in range(int(STANDING_BOUND_S / PLAN_INTERVAL_S)):
        hall.plan(0.51 + number * PLAN_INTERVAL_S)
    assert hall.set_aside_on() == ["e0"]


@pytest.mark.parametrize("kept", [{"gang": True}, {"standing": True}])
def test_memory_of_runs_that_are_never_stopped_is_not_offered(kept: dict[str, bool]) -> None:
    """Guards against work that is delegated to a hall that can stop nothing for it."""
    hall = HeldMemory(best_effort(4, 8_000, **kept))
    assert summarize(hall.core, 0.2).best_effort_memory == ()


def test_a_hall_that_stops_runs_is_asked_beside_one_whose_room_is_at_the_spread_limit() -> None:
    """Guards against a task that goes to and fro between home and a hall that can't run it."""
    at_limit = HallSummary(capacity=16_000, free=8_000, free_by_executor=((8_000, 32_000), (0, 0)))
    stops = HallSummary(
        capacity=8_000,
        free=8_000,
        free_by_executor=((8_000, 0),),
        best_effort_memory=((0, 32_000),),
    )
    core = core_with(step(3, standing=True, cpu=6_000, max_per_executor=1))
    assert len(plan(core, 0.1)) == 2
    there, waiting = (t for t in core.jobs[JOB].runs[0].steps[0].tasks if t.name.index in (0, 2))
    there.managed_by = 1
    waiting.returned_by[1] = 1
    waiting.next_run = 2
    rebalancer = Rebalancer(
        core, summaries=lambda: {1: at_limit, 2: stops}, count_capable=lambda *_: 2
    )
    full = HallSummary(capacity=16_000, free_by_executor=((0, 0), (0, 0)))
    (handover,) = rebalancer.plan(full, 0.2 + STANDING_BOUND_S)
    assert handover.shard == 2
