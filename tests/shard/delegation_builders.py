"""Builders of a home hall and another hall that pass the tasks of a job that ends to each other."""

from __future__ import annotations

from linkspan.jobs.catalog import JobEntry
from linkspan.jobs.record_codec import decode, encode
from linkspan.jobs.records import Completed, Delegated, JobRecord, Returned, TaskIndex
from linkspan.jobs.spec import StepSpec
from linkspan.model.configuration import Configuration, Service
from linkspan.model.settings import Bounds
from linkspan.shard.core import ShardCore
from linkspan.shard.handover._delegations import last_delegation_of
from linkspan.shard.messages import EndedTask, EndKind, StartOrder
from linkspan.shard.recovery.progress import encode_run
from linkspan.shard.task import Task
from tests.job_builders import QUEUE
from tests.shard.builders import JOB, add_executor, confirm_start, ignore, plan, submitted_job

HOME, OTHER = 0, 1


def hall(shard: int, *, executors: int = 1) -> ShardCore:
    """Return the core of a hall with executors that have reported."""
    core = ShardCore(shard, Bounds(), log=ignore)
    core.configure(Configuration(1, {QUEUE.name: QUEUE}, {"pool": Service("pool")}))
    for index in range(executors):
        add_executor(core, f"{shard}-{index}")
    return core


class TwoHalls:
    """A home hall without executors, and another one, with the records that they exchange.

    Attributes:
        home: The hall that the job belongs to.
        other: The hall that tasks are delegated to.
        entry: The job by the records written so far.

    Args:
        steps: Steps of the job.
    """

    def __init__(self, *steps: StepSpec) -> None:
        self.home = hall(HOME, executors=0)
        self.other = hall(OTHER)
        self.submitted = submitted_job(*steps)
        self.entry = JobEntry(self.submitted, 0)
        self.home.add_job(self.submitted, 0.0)

    def write(self, record: JobRecord) -> None:
        """Apply a record as readers of the store do."""
        read = decode(*encode(record))
        if isinstance(read, Completed):
            self.entry.completed.update(read.tasks)
        elif isinstance(read, Delegated):
            self.entry.delegated[read.shard] = read.delegations
        elif isinstance(read, Returned):
            self.entry.returned_delegations[read.shard] = read.delegations

    def delegate(self, *tasks: tuple[int, int], now: float) -> None:
        """Delegate tasks and let the other hall read of it."""
        assert len(self.home.hand_over_tasks(JOB, OTHER, tasks)) == len(tasks)
        self.write(Delegated(JOB, OTHER, self.home.delegations(JOB, now)[OTHER]))
        self.read_in_other(now)

    def read_in_other(self, now: float) -> None:
        """Let the other hall read all records."""
        delegations = self.entry.open_delegations(OTHER)
        if JOB not in self.other.jobs:
            self.other.add_job(
                self.submitted,
                now,
                delegated_here=delegations,
                completed=tuple(self.entry.completed),
            )
            return
        self.other.complete_tasks(JOB, self.entry.completed, now)
        self.other.accept_delegations(JOB, delegations, now)

    def give_back(self, *tasks: tuple[int, int], now: float) -> None:
        """Return tasks and let the home hall read of it."""
        returned = self.other.hand_over_tasks(JOB, HOME, tasks)
        assert len(returned) == len(tasks)
        listed = tuple(last_delegation_of(task, now) for task in returned)
        self.write(Returned(JOB, OTHER, listed))
        self.home.reclaim_tasks(JOB, self.entry.returned_delegations[OTHER], now)

    def announce(self, core: ShardCore, now: float) -> None:
        """Write which tasks are done in a hall, and let the other one read of it."""
        tasks = tuple(core.completed.pop(JOB, ()))
        self.write(Completed(JOB, f"{core.shard}.1.1", tasks))
        reader = self.other if core is self.home else self.home
        reader.complete_tasks(JOB, self.entry.completed, now)

    def restart_home(self, now: float) -> None:
        """Replace the home hall's owner by a next one, which reads the records."""
        progress = {0: encode_run(self.home.jobs[JOB].runs[0])}
        self.home = hall(HOME, executors=0)
        self.home.add_job(
            self.submitted,
            now,
            inherited=True,
            progress=progress,
            delegated_elsewhere={OTHER: self.entry.open_delegations(OTHER)},
            completed=tuple(self.entry.completed),
        )
        returned = self.entry.returned_delegations.get(OTHER, ())
        self.home.reclaim_tasks(JOB, returned, now)

    def restart_other(self, now: float) -> None:
        """Replace the other hall's owner by a next one, which reads the records."""
        progress = {0: encode_run(self.other.jobs[JOB].runs[0])}
        self.other = hall(OTHER)
        self.other.add_job(
            self.submitted,
            now,
            inherited=True,
            progress=progress,
            delegated_here=self.entry.open_delegations(OTHER),
            completed=tuple(self.entry.completed),
        )


def start_all(core: ShardCore, now: float) -> list[StartOrder]:
    """Plan, and confirm all starts."""
    orders = plan(core, now)
    for order in orders:
        confirm_start(core, order, now)
    return orders


def ended(order: StartOrder, number: int, how: EndKind, checkpoint: str = "") -> EndedTask:
    """Return the end of the run that an order has started."""
    return EndedTask(number, order.task, order.run, how, checkpoint)


def task_of(core: ShardCore, step: int = 0, index: int = 0) -> Task:
    """Return a task of the job in a hall."""
    task = core.jobs[JOB].task(TaskIndex(0, step, index))
    assert task
    return task
