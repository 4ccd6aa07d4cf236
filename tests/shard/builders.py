"""Builders of shard cores with executors and jobs."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from linkspan.events import Event
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from linkspan.model.configuration import Configuration, Service
from linkspan.model.settings import Bounds
from linkspan.shard.attempt import Attempt, Phase
from linkspan.shard.core import ShardCore
from linkspan.shard.executor import ExecutorState
from linkspan.shard.job_run import new_run
from linkspan.shard.messages import (
    EndedTask,
    ExecutorRecord,
    ExecutorReport,
    StartAnswer,
    StartOrder,
    StartOutcome,
)
from linkspan.shard.planning.planner import Planner
from linkspan.shard.shard_job import ShardJob
from tests.job_builders import QUEUE, step

JOB = "00000000000000aa"


def ignore(_event: Event, **_fields: Any) -> None:
    """Discard the event."""


def core_with(
    *steps: StepSpec, executors: int = 2, log: Callable[..., None] | None = None
) -> ShardCore:
    """Return a core with one job and executors that have reported."""
    core = ShardCore(0, Bounds(), log=log or ignore)
    core.configure(Configuration(1, {QUEUE.name: QUEUE}, {"pool": Service("pool")}))
    for index in range(executors):
        add_executor(core, f"e{index}")
    core.add_job(submitted_job(*steps), 0.0)
    return core


def add_executor(core: ShardCore, name: str, cpu: int = 8_000) -> None:
    """Register an executor that is on the roster and has reported."""
    record = ExecutorRecord(
        name, "pool", f"{name}:1", "east", Demand(cpu, 32_000), frozenset(), "r"
    )
    core.list_executors([e.record for e in core.executors.values()] + [record], 0.0)
    core.executors[name].rostered = True
    report_ends(core, name, asked=0.0, now=0.01)


def add_executors(core: ShardCore, sizes: Mapping[str, int]) -> None:
    """Register executors with the given thousandths of a core, as :func:`add_executor` does."""
    records = [
        ExecutorRecord(name, "pool", f"{name}:1", "east", Demand(cpu, 8 * cpu), frozenset(), "r")
        for name, cpu in sizes.items()
    ]
    core.list_executors(records, 0.0)
    for record in records:
        core.executors[record.executor_id].rostered = True
        report_ends(core, record.executor_id, asked=0.0, now=0.01)


def submitted_job(*steps: StepSpec, job_id: str = JOB, accepted: float = 0.0) -> Submitted:
    return Submitted(JobSpec(job_id, QUEUE.name, "text", steps), 0, accepted, "host")


def report_ends(core: ShardCore, name: str, *ended: EndedTask, asked: float, now: float) -> None:
    """Apply a report that lists no running tasks."""
    core.on_report(name, ExecutorReport(now, (), ended), asked=asked, now=now)


def plan(core: ShardCore, now: float) -> list[StartOrder]:
    """Plan and return the start orders."""
    Planner(core).plan(now, now)
    orders, core.orders = core.orders, []
    return [order for order in orders if isinstance(order, StartOrder)]


def confirm_start(core: ShardCore, order: StartOrder, now: float) -> None:
    """Apply an executor's answer that it has started a run."""
    core.on_started(order, StartAnswer(StartOutcome.STARTED, now), now)


def place_running(core: ShardCore, executor: ExecutorState, **fields: object) -> Attempt:
    """Put a running task of a new step on an executor."""
    job = ShardJob(submitted_job(step(1, **fields)), service="pool")
    task = new_run(job, 0).steps[0].tasks[0]
    attempt = Attempt(task, len(executor.attempts) + 1, executor.executor_id, Phase.RUNNING, 0.0)
    task.attempts.append(attempt)
    executor.add(attempt)
    return attempt
