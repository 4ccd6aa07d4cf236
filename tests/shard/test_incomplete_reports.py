"""Tests partial reports, which omit ends listed after the end of a job whose records are not read.

The owner must not conclude from a partial report that a run is lost or that a job has not begun.
"""

from __future__ import annotations

from linkspan.jobs.spec import Demand
from linkspan.model.configuration import Configuration, Service
from linkspan.model.settings import Bounds
from linkspan.shard.core import ShardCore
from linkspan.shard.handover.rebalance import HANDOVER_WAIT_S, Rebalancer
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorRecord,
    ExecutorReport,
    RunningTask,
    TaskName,
)
from tests.job_builders import QUEUE, step
from tests.shard.builders import JOB, confirm_start, core_with, plan, submitted_job
from tests.shard.test_rebalance import EMPTY, FULL

UNREAD = "00000000000000bb"


def test_an_end_that_is_missing_from_a_partial_report_is_no_lost_run() -> None:
    """Guards against a task started again although the executor lists it as done."""
    core = core_with(step(1))
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.2)
    running = RunningTask(order.task, order.run, "", 50, None)
    core.on_report(order.executor_id, ExecutorReport(0.3, (running,), ()), asked=0.25, now=0.3)
    unread = EndedTask(1, TaskName(UNREAD, 0, 0, 0), 1, EndKind.DONE, "")
    done = EndedTask(2, order.task, order.run, EndKind.DONE, "")
    whole = ExecutorReport(1.0, (), (unread, done))
    core.on_report(order.executor_id, whole.without({UNREAD}), asked=0.9, now=1.0)
    assert core.orders == []


def test_a_job_whose_end_is_missing_from_a_first_report_does_not_move() -> None:
    """Guards against a job that seems not to have begun, moves, and runs again in another hall."""
    next_owner = ShardCore(0, Bounds())
    next_owner.configure(Configuration(1, {QUEUE.name: QUEUE}, {"pool": Service("pool")}))
    record = ExecutorRecord("e0", "pool", "e0:1", "east", Demand(8_000, 9_000), frozenset(), "r")
    next_owner.inherit([record], until=20.0)
    next_owner.list_executors([record], 1.0)
    next_owner.add_job(submitted_job(step(1), step(1, cpu=9_000)), 1.0, inherited=True)
    unread = EndedTask(1, TaskName(UNREAD, 0, 0, 0), 1, EndKind.DONE, "")
    done = EndedTask(2, TaskName(JOB, 0, 0, 0), 1, EndKind.DONE, "")
    whole = ExecutorReport(1.0, (), (unread, done))
    next_owner.on_report("e0", whole.without({UNREAD}), asked=1.0, now=1.0)
    rebalancer = Rebalancer(next_owner, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 2)
    assert rebalancer.plan(FULL, 1.1 + HANDOVER_WAIT_S) == []
