"""What a caller asks for: a job as a graph of steps of equal tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.errors import InvalidInput

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_TASKS = 10_000
"""Most tasks of one job; above it one job could outgrow a store record."""

MAX_REPEATED_TASKS = 30_000
"""Most tasks of all repetitions of a job. An owner holds each from the start, in 580 bytes,
or 1,280 where each repetition has one: 38 MB, a fifth of the smallest host's memory."""

MAX_SIZE = 2**31
"""Largest size that a task may ask for, in thousandths of a core or megabytes: sums over
a whole hall stay within the 64 bits of a record's numbers."""

MAX_TIME_S = 1e9
"""Longest estimate and latest due time after one another, in seconds: thirty years."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Room that one task takes.

    Attributes:
        milli_cpu: Processor share in thousandths of a core.
        memory_mb: Memory in megabytes.
        gpus: Accelerators.
    """

    milli_cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def union(self, other: Demand) -> Demand:
        """Return the least room that holds either.

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
    """One step: a number of equal tasks.

    Attributes:
        count: Number of tasks.
        demand: Room that each task takes.
        estimate_s: Caller's rough guess of one task's running time.
        depends_on: Indexes of earlier steps that must be done first.
        label: Label that an executor must carry; empty for any.
        data_rack: Rack label where the step's data lies; empty for anywhere.
        max_per_executor: Most tasks of the step on one executor; 0 for no limit.
        gang: Whether the tasks only run all together.
        one_rack: Whether the tasks run faster inside one rack.
        speculative: Whether copies of a task may run side by side.
        standing: Whether tasks run until the job is cancelled.
        disruption_budget: Standing tasks that may be away at once by our doing;
            ``None`` where the caller set no budget.
        best_effort: Whether the tasks run in processor time that others leave,
            so that their processor demand is not reserved.
        image: What the tasks run; tasks of one image behave alike.
        latency_target_ms: Tail latency that standing tasks are to stay under, 0 for none.
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
    """Repetition of a job.

    Attributes:
        count: How often the steps run.
        first_s: Due time of the first repetition, in seconds since 1970.
        interval_s: Time between due times.
    """

    count: int
    first_s: float
    interval_s: float

    def due(self, repetition: int) -> float:
        """Return when a repetition is due, in seconds since 1970."""
        return self.first_s + repetition * self.interval_s


@dataclass(frozen=True)
class JobSpec:
    """A job as a caller submitted it.

    Attributes:
        job_id: The caller's id of the job.
        queue: Name of the queue that it was submitted to.
        payload: Text that every task gets.
        steps: Steps in the caller's order.
        schedule: Repetition, or ``None`` for a job that runs once, at once.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    schedule: Schedule | None = None

    def longest_paths_to(self, lengths: Sequence[float]) -> tuple[float, ...]:
        """Return, for each step, the time of the longest chain that ends with it.

        Args:
            lengths: Times of the steps, in seconds.
        """
        ends: list[float] = []
        for step, length in zip(self.steps, lengths, strict=True):
            before = max((ends[index] for index in step.depends_on), default=0.0)
            ends.append(before + length)
        return tuple(ends)

    def longest_paths_from(self, lengths: Sequence[float]) -> tuple[float, ...]:
        """Return, for each step, the time of the longest chain that begins with it.

        Args:
            lengths: Times of the steps, in seconds.
        """
        totals = [0.0] * len(self.steps)
        for index in reversed(range(len(self.steps))):
            totals[index] += lengths[index]
            for earlier in self.steps[index].depends_on:
                totals[earlier] = max(totals[earlier], totals[index])
        return tuple(totals)

    @property
    def standing(self) -> bool:
        """Whether a step of the job lasts until it is cancelled."""
        return any(step.standing for step in self.steps)

    @property
    def repetitions(self) -> int:
        """How often the steps run."""
        return self.schedule.count if self.schedule else 1


def check_job(spec: JobSpec) -> None:
    """Check what the types alone do not guarantee.

    Raises:
        InvalidInput: A field is out of bounds or a dependency is no earlier step.
    """
    if not spec.steps:
        raise InvalidInput("steps", "empty", "give at least one step")
    for index, step in enumerate(spec.steps):
        _check_step(index, step)
    total = sum(step.count for step in spec.steps)
    if total > MAX_TASKS:
        raise InvalidInput("steps", f"{total} tasks", f"give {MAX_TASKS} at most")
    if spec.schedule:
        _check_schedule(spec.schedule, total)


def _check_schedule(schedule: Schedule, tasks: int) -> None:
    if not 1 <= schedule.count <= MAX_REPEATED_TASKS // tasks:
        problem = f"{schedule.count} times {tasks} tasks"
        raise InvalidInput("schedule", problem, f"give {MAX_REPEATED_TASKS} tasks at most")
    if not 0 <= schedule.interval_s <= MAX_TIME_S:
        raise InvalidInput("schedule", "interval", f"give 0 to {MAX_TIME_S:.0f} s")


def _check_step(index: int, step: StepSpec) -> None:
    path = f"steps/{index}"
    if step.count < 1:
        raise InvalidInput(f"{path}/count", f"{step.count}", "give 1 or more")
    demand = step.demand
    if min(demand.milli_cpu, demand.memory_mb, demand.gpus, step.estimate_s) < 0:
        raise InvalidInput(path, "negative size or estimate", "give 0 or more")
    if max(demand.milli_cpu, demand.memory_mb, demand.gpus) > MAX_SIZE:
        raise InvalidInput(path, "size", f"give {MAX_SIZE} at most")
    if step.estimate_s > MAX_TIME_S:
        raise InvalidInput(path, "estimate", f"give {MAX_TIME_S:.0f} s at most")
    if any(not 0 <= earlier < index for earlier in step.depends_on):
        raise InvalidInput(f"{path}/depends_on", "no earlier step", "name earlier steps only")
