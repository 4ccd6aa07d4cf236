"""What passes between a shard's owner and the executors of its hall."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from enum import Enum
from itertools import takewhile
from typing import TYPE_CHECKING, NamedTuple

from linkspan.jobs.spec import Demand, StepSpec

if TYPE_CHECKING:
    from collections.abc import Iterable


class TaskName(NamedTuple):
    """Name of a task, unique over all jobs.

    Attributes:
        job_id: Its job.
        repetition: Number of the job's repetition, from 0.
        step: Number of the step, from 0.
        index: Number of the task in the step, from 0.
    """

    job_id: str
    repetition: int
    step: int
    index: int  # type: ignore[assignment]


@dataclass(frozen=True, slots=True)
class ExecutorRecord:
    """An executor as it registers itself.

    Attributes:
        executor_id: Name of this incarnation; a restart brings another, also under the same id.
        service: Service whose tasks it runs.
        address: ``ip:port`` where it takes orders.
        hall: Its hall.
        capacity: Room in all.
        labels: Its labels, the rack among them.
        rack: Its rack's label.
        draining: Whether it is about to leave.
        remaining_s: While it drains, the least time until it leaves; else 0.
        confirmed: Whether its newest entry names it; another writer may have put one
            there that does not, and then it gets no new work.
        is_placeholder: Whether it stands for an executor's next life, which may carry out orders to
            the one before and has not answered yet.
        withheld_ends: Numbers of ends that a former owner held back from acknowledgement.
    """

    executor_id: str
    service: str
    address: str
    hall: str
    capacity: Demand
    labels: frozenset[str]
    rack: str = ""
    draining: bool = False
    remaining_s: float = 0.0
    confirmed: bool = True
    is_placeholder: bool = False
    withheld_ends: tuple[int, ...] = ()

    @property
    def takes_new_work(self) -> bool:
        """Whether work may be started there that does not run yet."""
        return self.confirmed and not self.draining


@dataclass(frozen=True, slots=True)
class ExecutorKind:
    """Executors of a hall that are alike.

    Attributes:
        service: Service whose tasks they run.
        capacity: Room in all of each.
        labels: Their labels.
        count: How many there are.
    """

    service: str
    capacity: Demand
    labels: frozenset[str]
    count: int


def kinds_of(executors: Iterable[ExecutorRecord]) -> tuple[ExecutorKind, ...]:
    """Return the kinds of some executors."""
    counts = Counter((e.service, e.capacity, e.labels) for e in executors)
    return tuple(ExecutorKind(*kind, count) for kind, count in counts.items())


def can_run(step: StepSpec, executor: ExecutorRecord | ExecutorKind) -> bool:
    """Whether an empty executor of this kind could run a task of a step."""
    labelled = not step.label or step.label in executor.labels
    return labelled and large_enough(step, executor.capacity)


def large_enough(step: StepSpec, capacity: Demand) -> bool:
    """Whether a task of a step fits into an empty executor of a size, whatever its labels."""
    demand = step.demand
    return (
        demand.memory_mb <= capacity.memory_mb
        and demand.gpus <= capacity.gpus
        and (step.best_effort or demand.milli_cpu <= capacity.milli_cpu)
    )


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """Its lease ran out."""
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """The other members of its gang did not come."""


class RunningTask(NamedTuple):
    """A run that an executor lists as running.

    Attributes:
        task: Its task.
        run: Number of the run.
        checkpoint: Where another run could resume; empty for the beginning.
        progress: How much of its work is done, in percent; for standing tasks 100
            while they are at work.
        usage: A rough figure of the last half second: the tail latency in
            milliseconds for standing tasks with a target, else thousandths of
            a core in use; ``None`` where there is none.
    """

    task: TaskName
    run: int
    checkpoint: str
    progress: int
    usage: float | None


class EndedTask(NamedTuple):
    """A run that ended, listed until it is acknowledged.

    Attributes:
        number: Number of the end within this incarnation, rising from 1.
        task: Its task.
        run: Number of the run.
        kind: How it ended.
        checkpoint: Where another run could resume; empty for the beginning.
    """

    number: int
    task: TaskName
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class ExecutorReport:
    """What an executor runs and what ended there.

    Attributes:
        clock_s: The executor's steady clock when it answered.
        running: Runs at work.
        ended: Ends that are not acknowledged yet, in order.
        is_complete: Whether it names all runs there, so that a run in neither list is none.
        started_at_ms: When the executor that answered started, ``None`` where it does not tell.
    """

    clock_s: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    is_complete: bool = True
    started_at_ms: int | None = None

    @property
    def keys(self) -> set[tuple[TaskName, int]]:
        """Runs that the report names, at work or ended."""
        running = {(row.task, row.run) for row in self.running}
        return running | {(end.task, end.run) for end in self.ended}

    @property
    def job_ids(self) -> set[str]:
        """Jobs that the report names."""
        running = {row.task.job_id for row in self.running}
        return running | {end.task.job_id for end in self.ended}

    def without(self, job_ids: set[str]) -> ExecutorReport:
        """Return the report without some jobs, and without ends from their first on.

        Ends are acknowledged by number, so later ones have to wait for an earlier one.
        """
        running = tuple(row for row in self.running if row.task.job_id not in job_ids)
        ended = tuple(takewhile(lambda end: end.task.job_id not in job_ids, self.ended))
        return replace(self, running=running, ended=ended, is_complete=False)


class StartOutcome(Enum):
    """What an executor answered to a start."""

    STARTED = "started"
    NO_ROOM = "no room"
    SUPERSEDED = "superseded"
    """A run with this number or a higher one was stopped or ended there."""
    LATE = "late"
    """The lease that the order brought was over."""
    NO_TICKET = "no ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    """The executor did nothing, and says that it is not well."""


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """An executor's answer to a start.

    Attributes:
        outcome: What it did.
        clock_s: Its steady clock, ``None`` where the answer had none.
    """

    outcome: StartOutcome
    clock_s: float | None


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run.

    Attributes:
        executor_id: Incarnation that it is meant for.
        task: The task.
        run: Number of the run.
        payload: The job's text.
        checkpoint: Where to resume; empty for the beginning.
        ticket: Permission of the queue's placement policy; empty without one.
    """

    executor_id: str
    task: TaskName
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run, or to refuse it should its start arrive later."""

    executor_id: str
    task: TaskName
    run: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Order to work at a share of full speed, in percent."""

    executor_id: str
    task: TaskName
    run: int
    percent: int
