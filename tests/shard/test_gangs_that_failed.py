"""Tests that a gang starts again where its members have failed, if no other executor has room."""

from __future__ import annotations

from linkspan.shard.messages import EndedTask, EndKind
from linkspan.shard.planning.placement import FAILED_EXECUTOR_AVOIDANCE_S
from tests.job_builders import step
from tests.shard.builders import confirm_start, core_with, plan, report_ends


def test_a_gang_that_failed_on_every_executor_starts_again() -> None:
    """Guards against a gang that waits for ever, as its members avoid all executors.

    The load: gangs as large as the executors of a small hall, one run of which in twenty fails.
    """
    core = core_with(step(2, cpu=5_000, gang=True), executors=2)
    orders = plan(core, 0.1)
    assert len(orders) == 2
    for order in orders:
        confirm_start(core, order, 0.1)
    for order in orders:
        end = EndedTask(1, order.task, order.run, EndKind.FAILED, "")
        report_ends(core, order.executor_id, end, asked=0.2, now=0.2)
    first, second = (core.find_task(order.task) for order in orders)
    assert first and second
    # Each executor has failed one member, and the other member's executor is full.
    first.avoided_executors, second.avoided_executors = {"e0"}, {"e0"}
    assert plan(core, 0.3) == []
    again = plan(core, 0.2 + FAILED_EXECUTOR_AVOIDANCE_S + 0.05)
    assert {order.task for order in again} == {order.task for order in orders}
