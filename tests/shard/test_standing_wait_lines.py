"""Tests the log lines and the gauge on standing tasks that have not been running."""

from __future__ import annotations

import asyncio
from typing import Any

from linkspan.events import Event
from linkspan.jobs.spec import Demand, StepSpec
from linkspan.shard.colocation._best_effort_capacity import BestEffortCapacity
from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import StartAnswer, StartOutcome
from linkspan.shard.planning._plan_view import PlanView
from linkspan.shard.planning._standing_waits import (
    MIN_REPORTED_WAIT_S,
    WaitReason,
    wait_reason,
    waiting_fields,
    waiting_groups,
)
from linkspan.shard.task import Task
from linkspan.shard.unusable_reason import UnusableReason
from tests.accepted_jobs import accept_in
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.shard.builders import JOB, confirm_start, core_with, plan, submitted_job
from tests.virtual_time import run_virtual

LATER = 10.0
"""Steady time at which tasks that never started have waited for seconds."""


def standing_core(**fields: Any) -> ShardCore:
    """Return a core with one standing task of four cores and one executor of eight."""
    core = core_with(step(1, standing=True, cpu=4_000, **fields), executors=1)
    core.jobs[JOB].runs[0].durable = 0
    return core


def standing_task(core: ShardCore) -> Task:
    (task,) = core.jobs[JOB].runs[0].tasks()
    return task


def reason(core: ShardCore, *, may_act: bool = True) -> WaitReason:
    return wait_reason(core, standing_task(core), LATER, may_act=may_act)


def test_a_task_whose_start_is_unanswered() -> None:
    core = standing_core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    assert reason(core) is WaitReason.START_UNANSWERED


def test_a_task_whose_last_run_is_being_stopped() -> None:
    core = standing_core()
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    (attempt,) = standing_task(core).attempts
    core.order_stop(attempt, 2.0)
    assert reason(core) is WaitReason.STOPPING


def test_a_task_whose_job_is_being_moved() -> None:
    core = standing_core()
    core.jobs[JOB].moving = True
    assert reason(core) is WaitReason.MOVE


def test_a_task_of_an_owner_that_may_not_act() -> None:
    assert reason(standing_core(), may_act=False) is WaitReason.OWNERSHIP


def test_a_task_that_an_executor_refuses() -> None:
    core = standing_core()
    (order,) = plan(core, LATER - 0.01)
    core.on_started(order, StartAnswer(StartOutcome.NO_ROOM, LATER), LATER - 0.01)
    assert reason(core) is WaitReason.REFUSED


def test_a_task_that_may_have_to_be_given_up() -> None:
    core = standing_core()
    core.set_crash_history(standing_task(core), CrashHistory(4, 8, give_up_due_at=LATER + 1.0))
    assert reason(core) is WaitReason.DECISION


def test_a_task_whose_crashes_are_not_on_record() -> None:
    core = standing_core()
    core.set_crash_history(standing_task(core), CrashHistory(2, 4, version=7))
    assert reason(core) is WaitReason.RECORD


def test_a_task_without_executors_and_one_without_capacity() -> None:
    core = standing_core()
    assert reason(core) is WaitReason.CAPACITY
    core.executors["e0"].quarantined_until = LATER + 1.0
    assert reason(core) is WaitReason.NO_EXECUTORS


def test_a_task_that_has_just_ended_or_runs_is_not_reported() -> None:
    core = standing_core()
    task = standing_task(core)
    assert waiting_groups(core, MIN_REPORTED_WAIT_S - 0.1, may_act=True) == {}
    assert waiting_groups(core, MIN_REPORTED_WAIT_S, may_act=True)
    (order,) = plan(core, 5.0)
    confirm_start(core, order, 5.0)
    assert waiting_groups(core, LATER, may_act=True) == {}
    core.close_attempt(task.attempts[0], LATER)
    assert task.waiting_since == LATER


def test_a_refused_start_does_not_begin_the_wait_anew() -> None:
    core = standing_core()
    (order,) = plan(core, 5.0)
    core.on_started(order, StartAnswer(StartOutcome.NO_ROOM, 5.0), 5.0)
    assert standing_task(core).waiting_since == 0.0


def test_tasks_are_grouped_by_reason_the_longest_wait_first() -> None:
    core = core_with(step(3, standing=True, cpu=9_000), executors=1)
    first, second, third = core.jobs[JOB].runs[0].tasks()
    first.waiting_since, second.waiting_since = 2.0, 1.0
    third.managed_by = 2
    (tasks,) = waiting_groups(core, LATER, may_act=True).values()
    assert tasks == [second, first]


def test_the_blocked_line_of_a_task_that_ran_before_names_isolation() -> None:
    """Such a task may use the headroom for short ones, which is then no reason to wait."""
    lines: list[dict[str, Any]] = []

    def log(event: Event, **fields: Any) -> None:
        if event is Event.STEP_BLOCKED:
            lines.append(fields)

    core = core_with(step(2, standing=True, cpu=4_000), executors=1, log=log)
    core.jobs[JOB].runs[0].durable = float("inf")
    for task in core.jobs[JOB].runs[0].tasks():
        task.next_run = 2
        core.set_crash_history(task, CrashHistory(2, 4))
    (order,) = plan(core, 1.0)
    confirm_start(core, order, 1.0)
    assert plan(core, 1.1) == []
    (line,) = lines
    assert line["against"] == {"isolation": 1}


async def _world_with_a_waiting_task() -> HallWorld:
    world = HallWorld(executors_per_hall=1)
    await world.begin()
    spec = world.new_job(step(3, standing=True, cpu=4_000))
    accept_in(world, spec)
    await asyncio.sleep(8.0)
    return world


def test_a_host_logs_the_waiting_tasks_and_exports_the_longest_wait() -> None:
    world = run_virtual(_world_with_a_waiting_task(), limit_s=60.0)
    lines = world.log.named("STANDING_WAITS")
    assert [line["reason"] for line in lines] == [WaitReason.CAPACITY.value] * len(lines)
    assert {line["waited_s"] // 1 for line in lines} == {3.0, 6.0}
    assert lines[0]["against"] == {"cores": 1}
    assert list(lines[0]["here_s"]) == [2]
    assert lines[0]["elsewhere"] == {}
    assert lines[0]["best_effort_memory"] == 0
    assert lines[0]["unusable"] == {}


def _view(core: ShardCore) -> PlanView:
    return PlanView(core, BestEffortCapacity(core.interference, LATER, LATER), LATER)


def _waiting_line(core: ShardCore, summaries: dict[int, HallSummary]) -> dict[str, Any]:
    ((group, tasks),) = waiting_groups(core, LATER, may_act=True).items()
    return waiting_fields(group, tasks, _view(core), summaries)


def test_the_line_of_a_waiting_task_tells_the_room_of_other_halls() -> None:
    """Guards against a line that can't show that only the headroom is left in other halls."""
    core = core_with(step(1, standing=True, cpu=9_000), executors=1)
    headroom_only = HallSummary(capacity=32_000, free=9_500, free_by_executor=((9_500, 32_000),))
    line = _waiting_line(core, {1: headroom_only})
    assert line["elsewhere"] == {1: (1, 0)}


def test_the_line_of_a_waiting_task_tells_memory_held_by_best_effort_work() -> None:
    """Guards against a line that can't show that best-effort work holds the memory."""
    best_effort = StepSpec(1, Demand(1_000, 30_000), best_effort=True, image="a")
    core = core_with(best_effort, executors=1)
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.1)
    standing = StepSpec(1, Demand(1_000, 9_728), standing=True)
    core.add_job(submitted_job(standing, job_id="00000000000000bb"), 0.2)
    assert plan(core, 0.3) == []
    line = _waiting_line(core, {})
    assert line["against"] == {"memory": 1}
    assert line["best_effort_memory"] == 1


def test_the_line_of_a_waiting_task_tells_why_executors_take_no_work() -> None:
    core = standing_core()
    core.executors["e0"].no_starts_until = LATER + 1.0
    line = _waiting_line(core, {})
    assert line["reason"] == WaitReason.NO_EXECUTORS.value
    assert line["unusable"] == {UnusableReason.POLL_UNANSWERED.value: 1}
