"""Builds ledgers and schedulers of halls of any size in memory, for benchmarks."""

from __future__ import annotations

from linkspan.ledger.ledger import Ledger
from linkspan.ledger.records import Joined, Placed, Record, Submitted, WorkerSeen
from linkspan.model.job import AttemptId, JobSpec, Priority
from linkspan.model.resources import Resources
from linkspan.model.worker import WorkerSpec
from linkspan.placement.placer import PolicyPlacer
from linkspan.placement.policies import BestFit
from linkspan.scheduler.core import SchedulerCore
from linkspan.services.messages import AttemptKey, WorkerReport

SIZE = Resources(32_000, 125_000)
TASK_SIZE = Resources(1_500, 4_000)
TASKS_PER_JOB = 100


def worker_spec(number: int) -> WorkerSpec:
    """Return the specification of a typical worker."""
    return WorkerSpec(f"rennes-a-w{number:04d}", 1, SIZE, f"rack-{number // 8}")


def job_spec(number: int, count: int = TASKS_PER_JOB) -> JobSpec:
    """Return the specification of a batch job, from one of 40 teams and of one of 30 kinds."""
    return JobSpec(
        f"job-{number:06d}",
        "borne-breizh",
        f"team-{number % 40}",
        f"kind-{number % 30}",
        count,
        TASK_SIZE,
        Priority.BATCH,
    )


def running_hall(workers: int, tasks: int, queued: int = 0) -> Ledger:
    """Return the ledger of a hall with the given numbers of running and queued tasks."""
    ledger = Ledger("rennes-a")
    jobs = -(-(tasks + queued) // TASKS_PER_JOB)
    decisions = [WorkerSeen(worker_spec(n)) for n in range(workers)]
    decisions += [Submitted(job_spec(n)) for n in range(jobs)]
    decisions += [Joined("s1"), Joined("s2"), Joined("s3")]
    ledger.apply(0, Record("s1", 1, 0, tuple(decisions)))
    placed = [
        Placed(AttemptId(1 + n // TASKS_PER_JOB, n % TASKS_PER_JOB, 1), 1 + n % workers)
        for n in range(tasks)
    ]
    ledger.apply(1, Record("s1", 2, 1, tuple(placed)))
    assert len(ledger.placements) == tasks, len(ledger.placements)
    return ledger


def lone_scheduler(ledger: Ledger) -> SchedulerCore:
    """Return a scheduler that has received a report of every worker at time 0."""
    core = SchedulerCore("s1", ledger, PolicyPlacer(BestFit()))
    core.on_records([], 0.0, end=ledger.next_offset)
    core.watch_workers(list(ledger.worker_numbers), 0.0)
    for account in ledger.workers.values():
        core.on_report(report_of(ledger, account.number), 0.0)
    return core


def report_of(ledger: Ledger, number: int) -> WorkerReport:
    """Return the report of a worker that runs all tasks that the ledger places on it."""
    account = ledger.workers[number]
    running = tuple(
        AttemptKey(f"{ledger.hall}/{task.job}.{task.index}", 1) for task in sorted(account.tasks)
    )
    return WorkerReport(account.spec, 1_000.0, running=running)
