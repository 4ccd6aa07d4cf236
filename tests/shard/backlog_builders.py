"""Builders of halls with work that waits and drains."""

from __future__ import annotations

from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec, StepSpec
from linkspan.shard.core import ShardCore
from linkspan.shard.handover.backlog import Backlog
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.messages import EndedTask, EndKind, StartOrder
from tests.job_builders import QUEUE
from tests.shard.builders import confirm_start, plan, report_ends


def add_waiting_job(core: ShardCore, number: int, spec: StepSpec, queue: str = QUEUE.name) -> None:
    """Add a job with one step, accepted at the beginning of the day."""
    job = JobSpec(f"{number:016x}", queue, "text", (spec,))
    core.add_job(Submitted(job, 0, 0.0, "host"), 0.0)


def backlogs(core: ShardCore, now: float, *, wall: float = 0.0) -> tuple[Backlog, ...]:
    """Return the backlogs that a hall publishes."""
    return summarize(core, now, wall=wall).backlogs


class DrainingHall:
    """A hall whose runs all last equally long, so that it drains in rounds.

    Args:
        core: The hall, with executors and more work than they hold.
        duration_s: Duration of each run, in seconds.
    """

    def __init__(self, core: ShardCore, *, duration_s: float) -> None:
        self._core = core
        self._duration_s = duration_s
        self._running: list[StartOrder] = []
        self._ends = 0
        self.now = 0.1

    def drain(self, until: float) -> None:
        """End what runs and start what waits, round by round, and publish each time."""
        while self.now < until:
            backlogs(self._core, self.now)
            self._running = plan(self._core, self.now)
            for order in self._running:
                confirm_start(self._core, order, self.now)
            self.now += self._duration_s
            for order in self._running:
                self._end(order)

    def _end(self, order: StartOrder) -> None:
        self._ends += 1
        end = EndedTask(self._ends, order.task, order.run, EndKind.DONE, "")
        report_ends(self._core, order.executor_id, end, asked=self.now, now=self.now)
