"""Checks the orders and reports of executors against the requests of callers."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.messages import EndedTask, EndKind, StartOrder, TaskName
from tests.attempt_budget import AttemptBudget
from tests.crashing import CrashingTasks
from tests.failed_jobs import FailedJobs
from tests.job_builders import QUEUE
from tests.succeeded_jobs import SucceededJobs
from tests.virtual_time import world_time

if TYPE_CHECKING:
    from linkspan.jobs.spec import JobSpec, StepSpec
    from linkspan.model.configuration import Queue
    from tests.one_hall import OneHall
    from tests.standins.memory_executor import MemoryExecutor

CONTACT_S = 3.0
"""The platform's `contactMs`: time after a fault in which its consequences are allowed."""

CANCEL_S = 3.0
"""The platform's `cancel_ms`: time after a cancel's answer in which starts are allowed."""

STOP_S = 0.9
"""The platform's `stop_ms`: maximum duration of a stop."""

CANCEL_CHECK_S = 0.1
"""Interval between searches for running tasks of cancelled jobs."""


@dataclass
class RunJudge:
    """Records requests and runs, and the promises that were broken.

    Attributes:
        violations: Broken promises.
        queue: Queue of the jobs, as configured when they were accepted.
        specs: Submitted jobs by id.
        cancelled: Time at which a job's cancel was answered, by job id.
        faulty_until: Time at which the last fault ended.
        done: Tasks with a run that ended as done.
        done_acknowledged: Tasks whose end as done an owner acknowledged.
        done_runs_at: Time at which a run ended as done, by executor incarnation, task and run
            number: a new owner that knows of no run may use the same number on another executor.
        failed: Number of acknowledged failed runs of each task.
        watches: Further checks, called at the interval of the search for cancelled work: timers of
            their own would change the order of events, and so the scenario of a seed.
        starts: Times at which runs of each task started.
        executors: Executors by address.
        one_hall: Checks the hall of first runs.
        crashing: Checks starts of tasks that crash their executors.
        budget: Checks starts of tasks that reached the limit of failed runs.
        failed_jobs: Checks that jobs shown as failed have a cause.
        succeeded_jobs: Checks that all tasks of jobs shown as succeeded have ended as done.
    """

    violations: list[str] = field(default_factory=list, kw_only=True)
    queue: Queue = field(default=QUEUE, kw_only=True)
    specs: dict[str, JobSpec] = field(default_factory=dict, init=False)
    cancelled: dict[str, float] = field(default_factory=dict, init=False)
    faulty_until: float = field(default=float("-inf"), init=False)
    done: set[TaskName] = field(default_factory=set, init=False)
    done_acknowledged: set[TaskName] = field(default_factory=set, init=False)
    done_runs_at: dict[tuple[str, TaskName, int], float] = field(default_factory=dict, init=False)
    failed: Counter[TaskName] = field(default_factory=Counter, init=False)
    starts: defaultdict[TaskName, list[float]] = field(
        default_factory=lambda: defaultdict(list), init=False
    )
    watches: list[Callable[[], None]] = field(default_factory=list, init=False)
    executors: dict[str, MemoryExecutor] = field(default_factory=dict, init=False)
    one_hall: OneHall = field(init=False)
    crashing: CrashingTasks = field(default_factory=CrashingTasks, init=False)
    budget: AttemptBudget = field(init=False)
    failed_jobs: FailedJobs = field(init=False)
    succeeded_jobs: SucceededJobs = field(init=False)
    _overdue: set[TaskName] = field(default_factory=set, init=False)

    def __post_init__(self) -> None:
        self.budget = AttemptBudget(self)
        self.failed_jobs = FailedJobs(self)
        self.succeeded_jobs = SucceededJobs(self)

    def record_fault(self) -> None:
        """Record that a fault other than a cancel, a late order or a removal is present."""
        self.faulty_until = world_time()

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
            names = [task._replace(step=earlier, index=i) for i in range(count)]
            if not all(name in self.done for name in names):
                self.violations.append(f"{now:.2f} ORDER {task}")
        self.violations += [f"{now:.2f} {line}" for line in self.budget.on_start(task)]

    def judge_prompt_start(self, _executor: MemoryExecutor, task: TaskName) -> None:
        """Judge a start that was carried out without delay, in case its job was cancelled."""
        now = world_time()
        if now > self._cancel_counts_from(task.job_id) + CANCEL_S:
            self.violations.append(f"{now:.2f} UNASKED {task} was started after its cancel")

    async def check_cancelled(self) -> None:
        """Find tasks that continue to run after their job was cancelled, and call the watches."""
        while True:
            await asyncio.sleep(CANCEL_CHECK_S)
            now = world_time()
            for executor in self.executors.values():
                executor.advance()
                for run in executor.running.values() if executor.alive else ():
                    if (
                        now > self._must_end_by(run.task, run.began)
                        and run.task not in self._overdue
                    ):
                        self._overdue.add(run.task)
                        self.violations.append(f"{now:.2f} UNASKED {run.task} runs on")
            for watch in self.watches:
                watch()

    def _must_end_by(self, task: TaskName, began: float) -> float:
        """Return the time by which a task must have ended; its start may have arrived late."""
        return max(self._cancel_counts_from(task.job_id) + CANCEL_S, began + CONTACT_S) + STOP_S

    def _cancel_counts_from(self, job_id: str) -> float:
        """Return the cancel's time, or ``CONTACT_S`` after the last fault if that is later."""
        cancelled = self.cancelled.get(job_id, float("inf"))
        return max(cancelled, self.faulty_until + CONTACT_S)

    def judge_end(self, executor: MemoryExecutor, task: TaskName, run: int, kind: EndKind) -> None:
        if kind is EndKind.DONE:
            # A state shown before this end must not count on it.
            self.look_at_records()
            self.done.add(task)
            ended = executor.incarnation_name, task, run
            self.done_runs_at.setdefault(ended, world_time())
        if kind is EndKind.FAILED:
            self.budget.on_failed(executor, task, run)

    def judge_listed(self, executor: MemoryExecutor, ends: list[EndedTask]) -> None:
        """Record the ends that an executor lists, after judging the states shown before."""
        if any(end.kind is EndKind.FAILED for end in ends):
            self.look_at_records()
        for end in ends:
            self.failed_jobs.on_listed(executor, end)

    def judge_failed(self, job_id: str, where: str) -> None:
        """Judge a job that is shown as failed."""
        now = world_time()
        self.violations += [f"{now:.2f} {li}" for li in self.failed_jobs.on_shown(job_id, where)]

    def judge_succeeded(self, job_id: str, where: str) -> None:
        """Judge a job that is shown as succeeded."""
        now = world_time()
        self.violations += [f"{now:.2f} {li}" for li in self.succeeded_jobs.on_shown(job_id, where)]

    def look_at_records(self) -> None:
        """Judge new job records. Worlds with a store override this."""

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
