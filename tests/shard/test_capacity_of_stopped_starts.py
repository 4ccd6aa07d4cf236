"""A stopped start that its executor does not list takes no capacity from a standing task."""

from __future__ import annotations

from dataclasses import replace

from linkspan.shard.core import ShardCore
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorReport,
    RunningTask,
    StartOrder,
    StopOrder,
    TaskName,
)
from linkspan.shard.planning.planner import Planner
from tests.job_builders import MAX_AWAY_S, step
from tests.shard.builders import JOB, add_executor, confirm_start, core_with, plan, submitted_job

OTHER_JOB = "00000000000000bb"
UNANSWERED_AT = 2.0
STOPPED_AT = 2.1
IDLE_SINCE = 2.5
STEP_S = 0.1


def _report(core: ShardCore, name: str, now: float, *running: RunningTask) -> None:
    report = ExecutorReport(now, running, (), started_at_ms=1)
    core.on_report(name, report, asked=now, now=now + 0.01)


def _plan_and_take_stops(core: ShardCore, now: float) -> list[StartOrder]:
    """Plan, let the executors accept all stops, and return the start orders."""
    core.tick(now)
    Planner(core).plan(now, now)
    orders, core.orders = core.orders, []
    for order in orders:
        if isinstance(order, StopOrder):
            core.on_stopped(order, True, now)
    return [order for order in orders if isinstance(order, StartOrder)]


def _standing_task_beside_an_unanswered_start() -> ShardCore:
    """Return a core with a standing task whose run has ended, and an otherwise empty executor.

    A start of another job, which was cancelled, got no answer from that executor.
    """
    core = core_with(step(1, standing=True, cpu=4_000), executors=0)
    core.jobs[JOB].runs[0].durable = float("inf")
    add_executor(core, "b@1")
    (standing,) = plan(core, 1.0)
    confirm_start(core, standing, 1.01)
    add_executor(core, "a@1")
    core.add_job(submitted_job(step(1, cpu=6_000), job_id=OTHER_JOB), 1.1)
    (other,) = plan(core, 1.2)
    assert other.executor_id == "a@1"
    core.on_start_unanswered(other, UNANSWERED_AT)
    core.cancel_job(OTHER_JOB)
    _plan_and_take_stops(core, STOPPED_AT)
    leaving = core.executors["b@1"]
    leaving.register(replace(leaving.record, draining=True))
    ended = EndedTask(1, TaskName(JOB, 0, 0, 0), standing.run, EndKind.STOPPED, "")
    report = ExecutorReport(IDLE_SINCE, (), (ended,), started_at_ms=1)
    core.on_report("b@1", report, asked=IDLE_SINCE, now=IDLE_SINCE)
    return core


def test_a_stopped_start_takes_no_capacity_of_an_empty_executor_from_a_standing_task() -> None:
    """Guards against standing tasks that wait for the reservation of a run that is not there.

    The executor refuses work beyond its capacity, so that the stopped start, if it arrives at all,
    cannot overfill it.
    """
    core = _standing_task_beside_an_unanswered_start()
    assert core.guards_room("pool")
    now = IDLE_SINCE
    started: list[StartOrder] = []
    while not started and now < IDLE_SINCE + MAX_AWAY_S:
        now += STEP_S
        _report(core, "a@1", now)
        started = _plan_and_take_stops(core, now)
    assert [order.executor_id for order in started] == ["a@1"]
