"""Tests unanswered starts that are stopped instead of sent again.

A start that is stopped at one incarnation of its executor may still arrive at the next one.
"""

from __future__ import annotations

from dataclasses import replace

from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.messages import ExecutorReport, StartOrder, StopOrder
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from linkspan.shard.task import Task
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, core_with, plan

UNANSWERED_AT = 2.0


def only_task(core: ShardCore) -> Task:
    (task,) = core.jobs[JOB].runs[0].tasks()
    return task


def report_nothing(core: ShardCore, incarnation: str, started_at_ms: int, *, asked: float) -> None:
    """Let an incarnation report that it has no runs."""
    core.on_report(
        incarnation,
        ExecutorReport(asked, (), (), started_at_ms=started_at_ms),
        asked=asked,
        now=asked + 0.01,
    )


def stops(core: ShardCore) -> list[StopOrder]:
    """Remove all pending orders and return the stops."""
    orders, core.orders = core.orders, []
    return [order for order in orders if isinstance(order, StopOrder)]


def drain(core: ShardCore, name: str) -> None:
    core.executors[name].register(replace(core.executors[name].record, draining=True))


def core_with_stopped_start(name: str) -> ShardCore:
    """Return a core with an unanswered start that was stopped, as its executor drains."""
    core = core_with(step(1, standing=True), executors=0)
    add_executor(core, name)
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, UNANSWERED_AT)
    drain(core, name)
    report_nothing(core, name, 1, asked=2.1)
    (stop,) = stops(core)
    core.on_stopped(stop, True, 2.2)
    report_nothing(core, name, 1, asked=2.3)
    return core


def test_a_task_does_not_start_elsewhere_while_a_start_may_reach_a_next_incarnation() -> None:
    """Guards against a task that runs twice: the next incarnation carries out a stopped start.

    The task was not sent again to that executor, but started elsewhere.
    """
    core = core_with_stopped_start("e0@1")
    assert not only_task(core).pending
    report_nothing(core, "e0@1", 2, asked=4.0)
    (stop,) = stops(core)
    assert stop.executor_id == "e0@2", "the next incarnation is sent the stop, too"
    core.on_stopped(stop, True, 4.2)
    report_nothing(core, "e0@2", 2, asked=4.3)
    assert not only_task(core).pending, "the start may reach the incarnation after that"
    report_nothing(core, "e0@2", 2, asked=UNANSWERED_AT + MAX_START_DELAY_S)
    assert only_task(core).pending


def test_an_executor_without_incarnations_is_not_waited_for() -> None:
    """If executors report no start time, a stop that was taken is enough."""
    core = core_with(step(1, standing=True), executors=1)
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, UNANSWERED_AT)
    drain(core, "e0")
    core.on_report("e0", ExecutorReport(2.1, (), ()), asked=2.1, now=2.11)
    (stop,) = stops(core)
    core.on_stopped(stop, True, 2.2)
    core.on_report("e0", ExecutorReport(2.3, (), ()), asked=2.3, now=2.31)
    assert only_task(core).pending


def test_a_start_of_an_isolated_task_is_sent_again_while_its_incarnation_lives() -> None:
    """Guards against a standing task that waits twelve seconds after each lost answer.

    While the executor lives, the start has not crashed it. After a crash it may have: it is
    stopped.
    """
    core = core_with(step(1, standing=True), executors=0)
    add_executor(core, "e0@1")
    core.set_crash_history(only_task(core), CrashHistory(1, 4))
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, UNANSWERED_AT)
    report_nothing(core, "e0@1", 1, asked=2.1)
    (again,) = core.orders
    assert isinstance(again, StartOrder) and again.run == order.run
    core.on_start_unanswered(again, 3.1)
    report_nothing(core, "e0@1", 2, asked=4.0)
    assert stops(core)
