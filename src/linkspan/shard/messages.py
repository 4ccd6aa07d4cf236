"""Records, orders and reports exchanged between a shard's owner and the hall's executors."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from enum import Enum
from itertools import takewhile
from typing import TYPE_CHECKING, NamedTuple

from linkspan.jobs.spec import Demand, StepSpec
from linkspan.shard.incarnation import Incarnation

if TYPE_CHECKING:
    from collections.abc import Iterable


class TaskName(NamedTuple):
    """Name of a task, unique across all jobs.

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


class KindKey(NamedTuple):
    """Properties by which executors are grouped.

    Attributes:
        service: Service whose tasks they run.
        capacity: Total capacity of each executor.
        labels: Their labels.
    """

    service: str
    capacity: Demand
    labels: frozenset[str]


@dataclass(frozen=True, slots=True)
class ExecutorRecord:
    """Registration of an executor.

    Attributes:
        executor_id: Name of the incarnation; each restart creates another one, even under the same
            id.
        service: Service whose tasks it runs.
        address: ``ip:port`` at which it accepts orders.
        hall: Its hall.
        capacity: Its total capacity.
        labels: Its labels, including that of the rack.
        rack: Label of its rack.
        draining: Whether it is about to leave.
        remaining_s: Minimum time until it leaves while it drains, in seconds; otherwise 0.
        confirmed: Whether its newest registry entry is valid. It is not if another writer has
            replaced the entry; the executor then gets no new work.
        is_placeholder: Whether it represents the next incarnation of an executor, which may carry
            out orders sent to the previous one and has not answered yet.
        withheld_ends: Numbers of the ends whose acknowledgement a previous owner withheld.
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
        """Whether new work may be started there."""
        return self.confirmed and not self.draining

    @property
    def kind(self) -> KindKey:
        """Properties by which executors are grouped."""
        return KindKey(self.service, self.capacity, self.labels)

    def runs(self, service: str, label: str) -> bool:
        """Return whether it runs tasks of a service that require a label; empty for none."""
        return self.service == service and (not label or label in self.labels)

    def is_same_incarnation(self, other: ExecutorRecord) -> bool:
        """Return whether a registration of the same id is of the same incarnation.

        One without a start time is of whichever incarnation is there.
        """
        names = {self.executor_id, other.executor_id}
        return len({Incarnation.of(name).started_at_ms for name in names} - {None}) < 2

    def has_same_place(self, other: ExecutorRecord) -> bool:
        """Return whether a registration has the same service, hall and labels."""
        place = (self.service, self.hall, self.labels, self.rack)
        return place == (other.service, other.hall, other.labels, other.rack)


@dataclass(frozen=True, slots=True)
class ExecutorKind:
    """A group of executors with the same service, capacity and labels.

    Attributes:
        service: Service whose tasks they run.
        capacity: Total capacity of each executor.
        labels: Their labels.
        count: Number of executors in the group.
    """

    service: str
    capacity: Demand
    labels: frozenset[str]
    count: int

    @property
    def key(self) -> KindKey:
        """Properties by which executors are grouped."""
        return KindKey(self.service, self.capacity, self.labels)

    def runs(self, service: str, label: str) -> bool:
        """Return whether they run tasks of a service that require a label; empty for none."""
        return self.service == service and (not label or label in self.labels)


def group_by_kind(executors: Iterable[ExecutorRecord]) -> tuple[ExecutorKind, ...]:
    """Group executors by service, capacity and labels."""
    counts = Counter(executor.kind for executor in executors)
    return tuple(ExecutorKind(*key, count) for key, count in counts.items())


def can_run(step: StepSpec, executor: ExecutorRecord | ExecutorKind) -> bool:
    """Return whether an executor without other work could run a task of a step."""
    label_matches = not step.label or step.label in executor.labels
    return label_matches and fits_capacity(step, executor.capacity)


def has_data(step: StepSpec, kinds: Iterable[ExecutorKind]) -> bool:
    """Return whether an executor of some kinds is in the rack that stores a step's data."""
    return bool(step.data_rack) and any(step.data_rack in kind.labels for kind in kinds)


def fits_capacity(step: StepSpec, capacity: Demand) -> bool:
    """Return whether a task of a step fits into a total capacity, regardless of labels."""
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
    """The run's lease expired."""
    BROKEN = "broken"
    """Another member of the gang ended."""
    ALONE = "alone"
    """The other members of the gang did not start."""


class RunningTask(NamedTuple):
    """A run that an executor lists as running.

    Attributes:
        task: Its task.
        run: Number of the run.
        checkpoint: Checkpoint from which another run can resume; empty for the beginning.
        progress: Share of the work that is done, in percent; 100 for a standing task while it is
            serving.
        usage: Approximate usage over the last half second: the tail latency in milliseconds for a
            standing task with a latency target, otherwise the thousandths of a core in use;
            ``None`` if there is no figure.
    """

    task: TaskName
    run: int
    checkpoint: str
    progress: int
    usage: float | None


class EndedTask(NamedTuple):
    """The end of a run, which the executor lists until it is acknowledged.

    Attributes:
        number: Number of the end within the incarnation, counted from 1.
        task: Its task.
        run: Number of the run.
        kind: How the run ended.
        checkpoint: Checkpoint from which another run can resume; empty for the beginning.
    """

    number: int
    task: TaskName
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class ExecutorReport:
    """Report of an executor: its running tasks and the ends to acknowledge.

    Attributes:
        clock_s: The executor's steady clock when it answered.
        running: Runs that are running.
        ended: Ends that are not acknowledged yet, in order.
        is_complete: Whether the report lists all runs, so that a run in neither list is not there.
        started_at_ms: Start time of the answering incarnation, in milliseconds since 1970; ``None``
            if the executor does not report it.
    """

    clock_s: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    is_complete: bool = True
    started_at_ms: int | None = None

    @property
    def keys(self) -> set[tuple[TaskName, int]]:
        """Keys of all runs in the report, running or ended."""
        running = {(row.task, row.run) for row in self.running}
        return running | {(end.task, end.run) for end in self.ended}

    @property
    def job_ids(self) -> set[str]:
        """Ids of all jobs in the report."""
        running = {row.task.job_id for row in self.running}
        return running | {end.task.job_id for end in self.ended}

    def without(self, job_ids: set[str]) -> ExecutorReport:
        """Return the report without the given jobs, and without all ends from their first end on.

        An acknowledgement covers all ends up to a number, so later ends have to wait for an earlier
        one that cannot be handled yet.
        """
        running = tuple(row for row in self.running if row.task.job_id not in job_ids)
        ended = tuple(takewhile(lambda end: end.task.job_id not in job_ids, self.ended))
        return replace(self, running=running, ended=ended, is_complete=False)


class StartOutcome(Enum):
    """Outcome of a start order, as the executor answered it."""

    STARTED = "started"
    NO_ROOM = "no room"
    SUPERSEDED = "superseded"
    """A run of the task with this number or a higher one was stopped or ended there."""
    LATE = "late"
    """The lease in the order had expired."""
    NO_TICKET = "no ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    """The executor did not start the run because it is unhealthy."""


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """An executor's answer to a start.

    Attributes:
        outcome: Outcome of the order.
        clock_s: The executor's steady clock, ``None`` if the answer does not contain it.
    """

    outcome: StartOutcome
    clock_s: float | None


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run.

    Attributes:
        executor_id: Name of the intended incarnation.
        task: The task.
        run: Number of the run.
        payload: The job's payload.
        checkpoint: Checkpoint from which to resume; empty for the beginning.
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
    """Order to stop a run, and to refuse its start should that arrive later."""

    executor_id: str
    task: TaskName
    run: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Order to set the pace of a run to a share of full speed, in percent."""

    executor_id: str
    task: TaskName
    run: int
    percent: int
