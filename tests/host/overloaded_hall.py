"""A hall under a load of jobs that callers hand in, each of which its host accepts or refuses."""

from __future__ import annotations

from linkspan.host.admission.admission import best_hopeless_outlook
from linkspan.host.admission.job_outlook import HallLoad
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec
from linkspan.model.configuration import Configuration, Service
from linkspan.shard.core import ShardCore
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import EndedTask, EndKind, StartOrder
from tests.host.admission_builders import BATCH, PRIORITIES, SHORT
from tests.shard.builders import confirm_start, core_with, plan, report_ends

ROUND_S = 1.0
"""Duration of each run, in seconds."""

PUBLISHED_AFTER_S = 0.5
"""Time from the beginning of a round to the hall's summary, in seconds."""

QUEUES = {queue.name: queue for queue in (SHORT, BATCH)}


class OverloadedHall:
    """A hall of two executors of 8 cores whose runs all last one round.

    Attributes:
        core: The state of the hall's owner.
        now: Steady time and time of day, in seconds.
        refused: Ids of refused jobs, with the time.
        accepted: Ids of accepted jobs, with the time.
    """

    def __init__(self) -> None:
        self.now = 10.0
        self.refused: dict[str, float] = {}
        self.accepted: dict[str, float] = {}
        self.begin_tenure()
        self._ends = 0
        self._run([])

    def begin_tenure(self) -> None:
        """Replace the owner by a new one, which has read the jobs but published no summary."""
        self._summary: HallSummary | None = None
        jobs = [job.submitted for job in self.core.jobs.values()] if self.accepted else []
        self.core: ShardCore = core_with()
        self.core.configure(Configuration(2, QUEUES, {"pool": Service("pool")}))
        for submitted in jobs:
            self.core.add_job(submitted, self.now)

    def play_round(self, *specs: JobSpec) -> None:
        """Let callers hand in jobs, which the last summary decides on, and run for a round."""
        load = HallLoad("east", self._summary, ROUND_S - PUBLISHED_AFTER_S)
        for spec in specs:
            if best_hopeless_outlook([load], spec, QUEUES[spec.queue], PRIORITIES):
                self.refused[spec.job_id] = self.now
                continue
            self.accepted[spec.job_id] = self.now
            self.core.add_job(Submitted(spec, 0, self.now, "host"), self.now)
        self._run(plan(self.core, self.now))

    def _run(self, orders: list[StartOrder]) -> None:
        for order in orders:
            confirm_start(self.core, order, self.now)
        published_at = self.now + PUBLISHED_AFTER_S
        self._summary = summarize(self.core, published_at, wall=published_at)
        self.now += ROUND_S
        for order in orders:
            self._ends += 1
            end = EndedTask(self._ends, order.task, order.run, EndKind.DONE, "")
            report_ends(self.core, order.executor_id, end, asked=self.now, now=self.now)
