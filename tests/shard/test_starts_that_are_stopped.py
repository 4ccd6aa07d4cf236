"""Starts without an answer that are stopped instead of sent again, and the lives after theirs."""

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


def empty(core: ShardCore, incarnation: str, started_at_ms: int, *, asked: float) -> None:
    """Let a life answer that lists nothing."""
    core.on_report(
        incarnation,
        ExecutorReport(asked, (), (), started_at_ms=started_at_ms),
        asked=asked,
        now=asked + 0.01,
    )


def stops(core: ShardCore) -> list[StopOrder]:
    orders, core.orders = core.orders, []
    return [order for order in orders if isinstance(order, StopOrder)]


def drain(core: ShardCore, name: str) -> None:
    core.executors[name].register(replace(core.executors[name].record, draining=True))


def stopped_at(name: str) -> ShardCore:
    """Return a core with a start without an answer that was stopped, as its executor drains."""
    core = core_with(step(1, standing=True), executors=0)
    add_executor(core, name)
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, UNANSWERED_AT)
    drain(core, name)
    empty(core, name, 1, asked=2.1)
    (stop,) = stops(core)
    core.on_stopped(stop, True, 2.2)
    empty(core, name, 1, asked=2.3)
    return core


def test_a_task_is_begun_nowhere_else_while_a_start_of_it_may_come_to_a_next_life() -> None:
    """Guards against a start that was stopped at its life and is carried out by the next one.

    Its task was not sent again but begun elsewhere, and so ran twice.
    """
    core = stopped_at("e0@1")
    assert not only_task(core).pending
    empty(core, "e0@1", 2, asked=4.0)
    (stop,) = stops(core)
    assert stop.executor_id == "e0@2", "the next life is told, too"
    core.on_stopped(stop, True, 4.2)
    empty(core, "e0@2", 2, asked=4.3)
    assert not only_task(core).pending, "and the one after that may get it"
    empty(core, "e0@2", 2, asked=UNANSWERED_AT + MAX_START_DELAY_S)
    assert only_task(core).pending


def test_an_id_that_never_comes_again_is_not_waited_for() -> None:
    """Where executors tell no birth, a stop that was taken is enough."""
    core = core_with(step(1, standing=True), executors=1)
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, UNANSWERED_AT)
    drain(core, "e0")
    core.on_report("e0", ExecutorReport(2.1, (), ()), asked=2.1, now=2.11)
    (stop,) = stops(core)
    core.on_stopped(stop, True, 2.2)
    core.on_report("e0", ExecutorReport(2.3, (), ()), asked=2.3, now=2.31)
    assert only_task(core).pending


def test_a_suspect_is_sent_again_while_the_life_goes_on_that_it_was_sent_to() -> None:
    """Guards against a standing task that waits for twelve seconds after each answer that is lost.

    Its executor lives, so the start has not ended it. After a fall it may have: it is stopped.
    """
    core = core_with(step(1, standing=True), executors=0)
    add_executor(core, "e0@1")
    core.set_crash_history(only_task(core), CrashHistory(1, 4))
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, UNANSWERED_AT)
    empty(core, "e0@1", 1, asked=2.1)
    (again,) = core.orders
    assert isinstance(again, StartOrder) and again.run == order.run
    core.on_start_unanswered(again, 3.1)
    empty(core, "e0@1", 2, asked=4.0)
    assert stops(core)
