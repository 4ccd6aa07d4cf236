"""A judge of runs: what executors are told and tell, against what callers asked for."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.messages import EndedTask, EndKind, StartOrder, TaskName
from tests.attempt_budget import AttemptBudget
from tests.crashing import CrashingTasks
from tests.failed_jobs import FailedJobs
from tests.job_builders import QUEUE
from tests.virtual_time import world_time

if TYPE_CHECKING:
    from linkspan.jobs.spec import JobSpec, StepSpec
    from linkspan.model.configuration import Queue
    from tests.one_hall import OneHall
    from tests.standins.memory_executor import MemoryExecutor

CONTACT_S = 3.0
"""The platform's `contactMs`: how long a trouble excuses what comes after it."""

CANCEL_S = 3.0
"""The platform's `cancel_ms`: time from a cancel's answer to the last start."""

STOP_S = 0.9
"""The platform's `stop_ms`: longest time that a stop takes."""

CANCEL_CHECK_S = 0.1
"""Time between looks for work of cancelled jobs."""


@dataclass
class RunJudge:
    """Keeps what was asked for and done, and what of it broke a promise.

    Attributes:
        violations: Promises that were broken.
        queue: What jobs are sent to, as it was configured when they were accepted.
        specs: Jobs that were sent.
        cancelled: When cancels of jobs were answered.
        troubled_until: When the last trouble ended.
        done: Tasks of which a run ended as done.
        done_acknowledged: Those whose end an owner took note of.
        done_runs_at: When a run ended as done, by an executor's life, task and number: a new owner
            that knows of none may begin with the same number on another executor.
        failed: Runs that ended as failed and were taken note of, by task.
        starts: When runs of a task began.
        executors: The executors, by address.
        one_hall: Judges in which hall first runs begin.
        crashing: Judges starts of tasks that crash their executors.
        budget: Judges starts of tasks that failed as often as they may.
        failed_jobs: Judges which jobs are shown as failed.
    """

    violations: list[str] = field(default_factory=list, kw_only=True)
    queue: Queue = field(default=QUEUE, kw_only=True)
    specs: dict[str, JobSpec] = field(default_factory=dict, init=False)
    cancelled: dict[str, float] = field(default_factory=dict, init=False)
    troubled_until: float = field(default=float("-inf"), init=False)
    done: set[TaskName] = field(default_factory=set, init=False)
    done_acknowledged: set[TaskName] = field(default_factory=set, init=False)
    done_runs_at: dict[tuple[str, TaskName, int], float] = field(default_factory=dict, init=False)
    failed: Counter[TaskName] = field(default_factory=Counter, init=False)
    starts: defaultdict[TaskName, list[float]] = field(
        default_factory=lambda: defaultdict(list), init=False
    )
    executors: dict[str, MemoryExecutor] = field(default_factory=dict, init=False)
    one_hall: OneHall = field(init=False)
    crashing: CrashingTasks = field(default_factory=CrashingTasks, init=False)
    budget: AttemptBudget = field(init=False)
    failed_jobs: FailedJobs = field(init=False)
    _overdue: set[TaskName] = field(default_factory=set, init=False)

    def __post_init__(self) -> None:
        self.budget = AttemptBudget(self)
        self.failed_jobs = FailedJobs(self)

    def trouble(self) -> None:
        """Note that something other than cancels, late orders and removals is going on."""
        self.troubled_until = world_time()

    def step_of(self, task: TaskName) -> StepSpec:
        return self.specs[task.job_id].steps[task.step]

    def judge_start(self, executor: MemoryExecutor, order: StartOrder) -> None:
        task = order.task
        now = world_time()
        self.starts[task].append(now)
        self.violations += [f"{now:.2f} {line}" for line in self.one_hall.on_start(executor, order)]
        self.violations += [f"{now:.2f} {line}" for line in self.crashing.on_start(task)]
        for other in self.executors.values():
            other.advance()
            run = other.running.get(task)
            if other.alive and run:
                self.violations.append(f"{now:.2f} TWICE {task} runs on {other.record.address} too")
        if task in self.done_acknowledged:
            self.violations.append(f"{now:.2f} TWICE {task} was done and acknowledged")
        if task.job_id not in self.specs or order.payload != self.specs[task.job_id].payload:
            self.violations.append(f"{now:.2f} UNASKED {task}")
        for earlier in self.step_of(task).depends_on:
            count = self.specs[task.job_id].steps[earlier].count
            names = [TaskName(task.job_id, 0, earlier, i) for i in range(count)]
            if not all(name in self.done for name in names):
                self.violations.append(f"{now:.2f} ORDER {task}")
        self.violations += [f"{now:.2f} {line}" for line in self.budget.on_start(task)]

    def judge_start_of_cancelled(self, task: TaskName) -> None:
        """Judge a start that was carried out when it was ordered."""
        now = world_time()
        if now > self._cancel_counts_from(task.job_id) + CANCEL_S:
            self.violations.append(f"{now:.2f} UNASKED {task} was started after its cancel")

    async def check_cancelled(self) -> None:
        """Find tasks that run on after their job was cancelled, whoever started them."""
        while True:
            await asyncio.sleep(CANCEL_CHECK_S)
            now = world_time()
            for executor in self.executors.values():
                executor.advance()
                for run in executor.running.values() if executor.alive else ():
                    if now > self._gone_by(run.task, run.began) and run.task not in self._overdue:
                        self._overdue.add(run.task)
                        self.violations.append(f"{now:.2f} UNASKED {run.task} runs on")

    def _gone_by(self, task: TaskName, began: float) -> float:
        """Return when a task must be gone: its start may have been carried out late."""
        return max(self._cancel_counts_from(task.job_id) + CANCEL_S, began + CONTACT_S) + STOP_S

    def _cancel_counts_from(self, job_id: str) -> float:
        """Return when a job was cancelled, or when troubles were over long enough."""
        cancelled = self.cancelled.get(job_id, float("inf"))
        return max(cancelled, self.troubled_until + CONTACT_S)

    def judge_end(self, executor: MemoryExecutor, task: TaskName, run: int, kind: EndKind) -> None:
        if kind is EndKind.DONE:
            self.done.add(task)
            ended = executor.incarnation_name, task, run
            self.done_runs_at.setdefault(ended, world_time())
        if kind is EndKind.FAILED:
            self.budget.on_failed(executor, task, run)

    def judge_listed(self, executor: MemoryExecutor, ends: list[EndedTask]) -> None:
        """Take in what an executor tells; what was shown before was shown without it."""
        if any(end.kind is EndKind.FAILED for end in ends):
            self.look_at_records()
        for end in ends:
            self.failed_jobs.on_listed(executor, end)

    def judge_failed(self, job_id: str, where: str) -> None:
        """Judge that a job is shown as failed."""
        now = world_time()
        self.violations += [f"{now:.2f} {li}" for li in self.failed_jobs.on_shown(job_id, where)]

    def look_at_records(self) -> None:
        """Judge what new records tell, where there are any to be seen."""

    def judge_acknowledged(self, executor: MemoryExecutor, end: EndedTask) -> None:
        if end.kind is EndKind.DONE:
            self.done_acknowledged.add(end.task)
            ended = self.done_runs_at[executor.incarnation_name, end.task, end.run]
            if any(start > ended for start in self.starts[end.task]):
                self.violations.append(f"{ended:.2f} TWICE {end.task} began again after its end")
        if end.kind is EndKind.FAILED:
            self.failed[end.task] += 1
            now = world_time()
            self.violations += [f"{now:.2f} {line}" for line in self.budget.on_noted(executor, end)]
