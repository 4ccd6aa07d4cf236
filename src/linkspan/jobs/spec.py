"""Specification of a job: a graph of steps, each consisting of identical tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.errors import InvalidInput

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_TASKS = 10_000
"""Limits the tasks of one job: records of larger jobs could exceed the store's record size."""

MAX_REPEATED_TASKS = 30_000
"""Limits the tasks of all repetitions of a job together."""

MAX_RESOURCE_AMOUNT = 2**31
"""Limits each resource of a task's demand, in thousandths of a core, megabytes or GPUs, so that
sums over a whole hall fit into the 64-bit numbers of a record."""

MAX_DURATION_S = 1e9
"""Limits estimates and intervals between repetitions, in seconds: thirty years."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Resources that one task needs.

    Attributes:
        milli_cpu: CPU share in thousandths of a core.
        memory_mb: Memory in megabytes.
        gpus: Number of accelerators.
    """

    milli_cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    @property
    def amounts(self) -> tuple[int, int, int]:
        """The amounts of the resources, in the order of the attributes."""
        return self.milli_cpu, self.memory_mb, self.gpus

    def plus(self, other: Demand, times: float = 1) -> Demand:
        """Return the sum of this demand and a multiple of another one, in whole amounts.

        Example:
            >>> Demand(2_000, 100).plus(Demand(500, 50), -2)
            Demand(milli_cpu=1000, memory_mb=0, gpus=0)
        """
        return Demand(
            int(self.milli_cpu + times * other.milli_cpu),
            int(self.memory_mb + times * other.memory_mb),
            int(self.gpus + times * other.gpus),
        )

    def without(self, other: Demand) -> Demand:
        """Return what is left of this demand beside another one, of each resource 0 at least.

        Example:
            >>> Demand(2_000, 100).without(Demand(500, 300))
            Demand(milli_cpu=1500, memory_mb=0, gpus=0)
        """
        left = self.plus(other, -1)
        return Demand(max(left.milli_cpu, 0), max(left.memory_mb, 0), max(left.gpus, 0))

    def fitting_into(self, free: Demand) -> int:
        """Return how often this demand fits into free resources, negative if more than all is used.

        Example:
            >>> Demand(2_000, 100).fitting_into(Demand(9_000, 250))
            2
        """
        limits = [f // own for own, f in zip(self.amounts, free.amounts, strict=True) if own]
        return min(limits, default=1)

    def union(self, other: Demand) -> Demand:
        """Return the smallest demand that covers both this demand and another one.

        Example:
            >>> Demand(2_000, 100).union(Demand(1_000, 200))
            Demand(milli_cpu=2000, memory_mb=200, gpus=0)
        """
        return Demand(
            max(self.milli_cpu, other.milli_cpu),
            max(self.memory_mb, other.memory_mb),
            max(self.gpus, other.gpus),
        )


@dataclass(frozen=True)
class StepSpec:
    """One step: a number of identical tasks.

    Attributes:
        count: Number of tasks.
        demand: Resources that each task needs.
        estimate_s: Caller's estimate of the duration of one task, in seconds.
        depends_on: Indexes of earlier steps that must finish first.
        label: Label that an executor must have; empty for any executor.
        data_rack: Label of the rack that stores the step's data; empty for any rack.
        max_per_executor: Maximum tasks of the step on one executor; 0 for no limit.
        gang: Whether the tasks are started all together or not at all.
        one_rack: Whether the tasks run faster within one rack.
        speculative: Whether speculative copies of a task may run concurrently.
        standing: Whether the tasks run until the job is cancelled.
        disruption_budget: Maximum standing tasks that the scheduler may interrupt at the same
            time; ``None`` if the caller set no budget.
        best_effort: Whether the tasks run on CPU time that other tasks leave unused, so that no
            CPU is reserved for them.
        image: Image that the tasks run; tasks with the same image behave alike.
        latency_target_ms: Target for the tail latency of standing tasks, 0 for none.
        checkpoints: Whether the tasks save their progress.
    """

    count: int
    demand: Demand = field(default_factory=Demand)
    estimate_s: float = 1.0
    depends_on: tuple[int, ...] = ()
    label: str = ""
    data_rack: str = ""
    max_per_executor: int = 0
    gang: bool = False
    one_rack: bool = False
    speculative: bool = False
    standing: bool = False
    disruption_budget: int | None = None
    best_effort: bool = False
    image: str = ""
    latency_target_ms: float = 0.0
    checkpoints: bool = False


@dataclass(frozen=True)
class Schedule:
    """Schedule of a repeated job.

    Attributes:
        count: Number of repetitions.
        first_s: Due time of the first repetition, in seconds since 1970.
        interval_s: Time between due times, in seconds.
    """

    count: int
    first_s: float
    interval_s: float

    def due(self, repetition: int) -> float:
        """Return the due time of a repetition, in seconds since 1970."""
        return self.first_s + repetition * self.interval_s


@dataclass(frozen=True)
class JobSpec:
    """A job as a caller submitted it.

    Attributes:
        job_id: Id that the caller chose.
        queue: Name of the queue that the job was submitted to.
        payload: Text that is passed to every task.
        steps: Steps in the caller's order.
        schedule: Schedule of a repeated job, ``None`` for a job that runs once, immediately.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    schedule: Schedule | None = None

    def longest_paths_to(self, durations_s: Sequence[float]) -> tuple[float, ...]:
        """Return the duration of the longest path that ends with each step, the step included.

        Args:
            durations_s: Durations of the steps, in seconds.
        """
        totals: list[float] = []
        for step, duration_s in zip(self.steps, durations_s, strict=True):
            before = max((totals[index] for index in step.depends_on), default=0.0)
            totals.append(before + duration_s)
        return tuple(totals)

    def longest_paths_from(self, durations_s: Sequence[float]) -> tuple[float, ...]:
        """Return the duration of the longest path that starts with each step, the step included.

        Args:
            durations_s: Durations of the steps, in seconds.
        """
        totals = [0.0] * len(self.steps)
        for index in reversed(range(len(self.steps))):
            totals[index] += durations_s[index]
            for earlier in self.steps[index].depends_on:
                totals[earlier] = max(totals[earlier], totals[index])
        return tuple(totals)

    @property
    def standing(self) -> bool:
        """Whether any step of the job runs until the job is cancelled."""
        return any(step.standing for step in self.steps)

    @property
    def repetitions(self) -> int:
        """Number of times that the steps run."""
        return self.schedule.count if self.schedule else 1

    @property
    def tasks_per_repetition(self) -> int:
        """Number of tasks of all steps."""
        return sum(step.count for step in self.steps)

    @property
    def opens_on_demand(self) -> bool:
        """Whether an owner keeps only those repetitions in memory that can run now.

        Repetitions with standing tasks run until the job is cancelled.
        """
        return self.schedule is not None and not self.standing


def check_job(spec: JobSpec) -> None:
    """Check the constraints that the types do not express.

    Raises:
        InvalidInput: A field is out of range, or a step depends on a step that is not earlier.
    """
    if not spec.steps:
        raise InvalidInput("steps", "empty", "give at least one step")
    for index, step in enumerate(spec.steps):
        _check_step(index, step)
    total = sum(step.count for step in spec.steps)
    check_task_count(total)
    if spec.schedule:
        _check_schedule(spec.schedule, total)


def check_task_count(total: int) -> None:
    """Check the number of a job's tasks.

    Raises:
        InvalidInput: There are too many.
    """
    if total > MAX_TASKS:
        raise InvalidInput("steps", f"{total} tasks", f"give {MAX_TASKS} at most")


def _check_schedule(schedule: Schedule, tasks: int) -> None:
    if not 1 <= schedule.count <= MAX_REPEATED_TASKS // tasks:
        problem = f"{schedule.count} times {tasks} tasks"
        raise InvalidInput("schedule", problem, f"give {MAX_REPEATED_TASKS} tasks at most")
    if not 0 <= schedule.interval_s <= MAX_DURATION_S:
        raise InvalidInput("schedule", "interval", f"give 0 to {MAX_DURATION_S:.0f} s")


def _check_step(index: int, step: StepSpec) -> None:
    path = f"steps/{index}"
    if step.count < 1:
        raise InvalidInput(f"{path}/count", f"{step.count}", "give 1 or more")
    demand = step.demand
    if min(demand.milli_cpu, demand.memory_mb, demand.gpus, step.estimate_s) < 0:
        raise InvalidInput(path, "negative size or estimate", "give 0 or more")
    if max(demand.milli_cpu, demand.memory_mb, demand.gpus) > MAX_RESOURCE_AMOUNT:
        raise InvalidInput(path, "size", f"give {MAX_RESOURCE_AMOUNT} at most")
    if step.estimate_s > MAX_DURATION_S:
        raise InvalidInput(path, "estimate", f"give {MAX_DURATION_S:.0f} s at most")
    if any(not 0 <= earlier < index for earlier in step.depends_on):
        raise InvalidInput(f"{path}/depends_on", "no earlier step", "name earlier steps only")
