"""Builders of the loads by which hosts decide on new jobs, and of hosts that decide."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace

from aiohttp import web

from linkspan.clock import steady
from linkspan.host._caller_context import CallerContext
from linkspan.host._submissions import Submissions
from linkspan.host.admission.admission import Admission
from linkspan.host.admission.job_outlook import HallLoad, JobOutlook
from linkspan.host.admission.memory_limit import MemoryLimit
from linkspan.host.admission.standing_reservations import StandingReservations
from linkspan.host.caller_waits import CallerWaits
from linkspan.host.refusals import Refusals
from linkspan.jobs.catalog import JobCatalog
from linkspan.jobs.job_registry import JobRegistry
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from linkspan.metrics import HostMetrics
from linkspan.model.configuration import Configuration, Queue
from linkspan.platform.jobs import JsonCallerFormat
from linkspan.shard.handover.backlog import Backlog
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorKind
from tests.event_recorder import EventRecorder
from tests.job_builders import job_body, step
from tests.standins.memory_store import MemoryStore, StoreLink

SHORT = Queue("short", "host.example", "/short/", "pool", priority=0, target_s=1.0)
BATCH = Queue("batch", "host.example", "/batch/", "pool", priority=2, stretch=2.0, target_s=1.0)
PRIORITIES = {SHORT.name: SHORT.priority, BATCH.name: BATCH.priority}

CORES = 16

MEMORY_MB = 300
"""Memory limit of a host, in megabytes."""
"""Cores of a hall."""

FULL = HallSummary(
    capacity=CORES * 1_000,
    free_by_executor=((0, 32_000),) * 2,
    kinds=(ExecutorKind("pool", Demand(8_000, 32_000), frozenset(), 2),),
    rows_by_kind=(2,),
)
"""Summary of a hall without a free core."""

HOPELESS = JobOutlook("east", wait_s=60.0, path_s=1.0, objective_s=2.0, age_s=1.0)


def job(*steps: StepSpec, queue: Queue = SHORT, number: int = 1) -> JobSpec:
    """Return a job, by default with one task of one core and one second."""
    return JobSpec(f"{number:016x}", queue.name, "text", steps or (step(1),))


def backlog(
    wait_s: float,
    *,
    queue: Queue = SHORT,
    milli_cpu: int = 1_000,
    jobs: int = 10_000,
    duration_s: float = 1.0,
    rate: float = CORES * 1_000,
) -> Backlog:
    """Return a backlog that takes a time to drain at its rate."""
    return Backlog(queue.name, milli_cpu, int(wait_s * rate), rate, jobs, duration_s)


def load(
    *backlogs: Backlog, hall: str = "east", age_s: float = 0.0, evacuated: bool = False
) -> HallLoad:
    """Return the load of a full hall."""
    return HallLoad(hall, replace(FULL, backlogs=backlogs), age_s, evacuated)


def admission_by(
    loads: Callable[[], list[HallLoad]], eligible: Callable[[JobSpec, Queue], list[int]]
) -> Admission:
    """Return the admission by some loads where no standing job was accepted lately."""
    catalog = JobCatalog()
    return Admission(
        loads, eligible, StandingReservations(catalog), MemoryLimit(catalog, MEMORY_MB)
    )


class HopelessHalls(Admission):
    """Admission by halls that have no hope for any job."""

    def __init__(self) -> None:
        catalog = JobCatalog()
        limit = MemoryLimit(catalog, MEMORY_MB)
        super().__init__(list, lambda _spec, _queue: [], StandingReservations(catalog), limit)

    def reason_to_refuse(self, *_args: object) -> JobOutlook:
        return HOPELESS


class SubmittingHost:
    """A host that only accepts or refuses jobs, with its link to a store.

    Args:
        store: The store.
        name: Name of the host.
        admission: Decides which jobs to refuse for the load.
    """

    def __init__(self, store: MemoryStore, name: str, admission: Admission) -> None:
        self.log = EventRecorder()
        self.job_registry = JobRegistry(StoreLink(store, name), f"life-{name}", self.log)  # type: ignore[arg-type]
        context = CallerContext(
            job_registry=self.job_registry,
            configuration=SimpleNamespace(current=Configuration(1, {SHORT.name: SHORT})),  # type: ignore[arg-type]
            form=JsonCallerFormat(),
            waits=CallerWaits(),
            refusals=Refusals(self.log, HostMetrics()),  # type: ignore[arg-type]
            log=self.log,  # type: ignore[arg-type]
            metrics=HostMetrics(),
        )
        self.submissions = Submissions(
            context,
            choose_shard=lambda _spec, _queue: 0,
            memory_limit=MemoryLimit(self.job_registry.catalog, MEMORY_MB),
            admission=admission,
            reservations=StandingReservations(self.job_registry.catalog),
            capacities=lambda _service: (),
            incarnation=f"life-{name}",
        )
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self.job_registry.follower.run()),
            loop.create_task(self.job_registry.writer.run()),
        ]

    async def submit(self, spec: JobSpec, *, timeout_s: float = 3.0) -> web.Response:
        """Return the answer to a submission."""
        deadline = steady() + timeout_s
        return await self.submissions.submit(SHORT, spec.job_id, job_body(spec), deadline)

    def stop(self) -> None:
        """End the process, with what it has not sent yet."""
        for task in self._tasks:
            task.cancel()
