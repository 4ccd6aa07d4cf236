"""Executors that seemed to crash under a task, and what is told of it later."""

from __future__ import annotations

from dataclasses import replace

from linkspan.shard.core import ShardCore
from linkspan.shard.messages import ExecutorReport
from linkspan.shard.task import Task
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, core_with, plan, report, started

REPLACED = "another incarnation answers"


def only_task(core: ShardCore) -> Task:
    (task,) = core.jobs[JOB].runs[0].tasks()
    return task


def fall(core: ShardCore, name: str, silent: float, gone: float) -> None:
    """Let an executor go silent, and another one answer at its address."""
    core.on_silent(name, silent)
    core.on_gone(name, gone, REPLACED)


def recorded(core: ShardCore) -> None:
    """Take in that all is on record: suspects start only then."""
    core.jobs[JOB].runs[0].durable = float("inf")


def start_on(core: ShardCore, name: str, now: float, *, answered: bool = True) -> int:
    """Add an executor, have the task started there and return the run's number."""
    add_executor(core, name)
    report(core, name, asked=now - 0.02, now=now - 0.01)
    recorded(core)
    (order,) = plan(core, now)
    assert order.executor_id == name
    clock = core.executors[name].clock
    assert clock
    clock.grant(core.bounds.max_lease_s, now)
    if answered:
        started(core, order, now)
    return order.run


def test_a_draining_entry_that_is_read_after_the_fall_takes_the_crash_back() -> None:
    """Guards against planned leaves that count as crashes where the store answers late."""
    core = core_with(step(1), executors=0)
    start_on(core, "life-12", 56.02)
    record = core.executors["life-12"].record
    fall(core, "life-12", 56.85, 57.01)
    assert only_task(core).suspicion
    core.list_executors([replace(record, draining=True, remaining_s=1.0)], 57.5)
    assert only_task(core).suspicion is None
    assert core.falls == [], "and it speaks for no other task, nor against its address"


def test_an_executor_that_was_cut_off_and_answers_again_has_not_crashed() -> None:
    """Guards against crashes counted for cuts that last longer than leases and entries."""
    core = core_with(step(1), executors=0)
    start_on(core, "e0", 1.0)
    record = core.executors["e0"].record
    core.on_silent("e0", 2.0)
    core.list_executors([], 5.0)
    core.on_silent("e0", 40.0)
    assert "e0" not in core.executors
    assert only_task(core).suspicion
    core.list_executors([record], 41.0)
    core.on_report("e0", ExecutorReport(41.2, (), ()), asked=41.1, now=41.2)
    assert only_task(core).suspicion is None
    assert core.falls == []
