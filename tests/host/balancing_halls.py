"""Builders of halls and hosts between which new jobs are balanced."""

from __future__ import annotations

from typing import Any

from linkspan.host.shards import SentJob, ShardChooser
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from linkspan.model.settings import HostSettings, StoreLimits
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorKind
from tests.job_builders import QUEUE

HALLS = ("east", "west", "north", "south")
EXECUTORS = 20
EXECUTOR_MILLI_CPU = 16_000
CAPACITY = EXECUTORS * EXECUTOR_MILLI_CPU


def hall(free_per_executor: int, **fields: Any) -> HallSummary:
    """Return the summary of a hall whose executors all have this much free."""
    kind = ExecutorKind(QUEUE.service, Demand(EXECUTOR_MILLI_CPU, 64_000), frozenset(), EXECUTORS)
    return HallSummary(
        capacity=CAPACITY,
        free=EXECUTORS * free_per_executor,
        free_by_executor=((free_per_executor, 32_000),) * EXECUTORS,
        kinds=(kind,),
        rows_by_kind=(EXECUTORS,),
        **fields,
    )


class Chooser(ShardChooser):
    """A host's chooser that remembers the jobs it sent to other halls.

    Args:
        summaries: Summaries of the halls, by shard; read again at each choice.
        home: The host's hall.
        evacuated: The evacuated halls.
    """

    def __init__(
        self,
        summaries: dict[int, HallSummary],
        home: str = "east",
        *,
        evacuated: frozenset[str] = frozenset(),
    ) -> None:
        self.sent: list[SentJob] = []
        super().__init__(
            HostSettings("host", home, HALLS, "", "", StoreLimits("")),
            summaries.get,
            evacuated=evacuated.__contains__,
            incarnation=f"host-{id(self)}",
            on_sent=self.sent.append,
        )

    def choose_for(self, number: int, *steps: StepSpec) -> int:
        """Return the shard for the job of a number."""
        return self.choose(job(number, *steps), QUEUE)


def job(number: int, *steps: StepSpec) -> JobSpec:
    return JobSpec(f"{number:016x}", QUEUE.name, "text", steps)
