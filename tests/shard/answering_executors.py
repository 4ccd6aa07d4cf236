"""Drives a shard core in steps of time with executors that answer every order and poll."""

from __future__ import annotations

from linkspan.shard.core import ShardCore
from linkspan.shard.messages import ExecutorReport, RunningTask, StartOrder, TaskName
from linkspan.shard.planning.planner import Planner
from tests.shard.builders import confirm_start

STEP_S = 0.1
"""Time between two reports of an executor, and between two plans."""

AT_WORK = 100
"""Progress, in percent, that a standing task reports while it serves."""


class AnsweringExecutors:
    """Executors that carry out every start at once and report all runs in each step.

    Attributes:
        started_at: Steady time of each task's start.

    Args:
        core: The shard's state.
        now: Steady time at which the first step begins.
    """

    def __init__(self, core: ShardCore, now: float) -> None:
        self.started_at: dict[TaskName, float] = {}
        self._core = core
        self._now = now
        self._orders: dict[str, list[StartOrder]] = {name: [] for name in core.executors}

    def run_until(self, end: float) -> None:
        """Report, plan and start until a steady time."""
        while self._now < end:
            self._now += STEP_S
            self._report()
            self._start()

    def _report(self) -> None:
        now = self._now
        for name, orders in self._orders.items():
            running = tuple(RunningTask(o.task, o.run, "", AT_WORK, None) for o in orders)
            report = ExecutorReport(now, running, (), started_at_ms=1)
            self._core.on_report(name, report, asked=now, now=now)

    def _start(self) -> None:
        core, now = self._core, self._now
        core.tick(now)
        Planner(core).plan(now, now)
        orders, core.orders = core.orders, []
        for order in orders:
            if isinstance(order, StartOrder):
                core.on_start_sent(order, now)
                confirm_start(core, order, now)
                self._orders[order.executor_id].append(order)
                self.started_at[order.task] = now
