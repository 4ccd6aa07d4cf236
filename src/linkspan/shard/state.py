"""State of the tasks that a shard's owner looks after."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from linkspan.shard.messages import TaskName

if TYPE_CHECKING:
    from collections.abc import Iterator

    from linkspan.jobs.records import Submitted
    from linkspan.jobs.spec import JobSpec, StepSpec

NEVER = float("-inf")
"""A time before all others."""

FULL_PACE = 100
"""Pace in percent at which each run starts."""

FULL_PROGRESS = 100
"""Progress in percent of a run that is done, or of a standing task that is at work."""


class Phase(Enum):
    """Where an attempt stands."""

    STARTING = "starting"
    """The order is out and not answered."""
    RUNNING = "running"
    """The executor has confirmed it."""
    DOUBT = "doubt"
    """The order got no answer; it may still be carried out."""
    STOPPING = "stopping"
    """It is to stop, and has not been seen to end."""
    INHERITED = "inherited"
    """A former owner recorded it; the executor was not asked yet."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One run of a task on one executor.

    Attributes:
        task: The task.
        run: Number of the run.
        executor_id: Where it is.
        phase: Where it stands.
        placed_at: Steady time of the decision.
        confirmed_at: Steady time at which the executor confirmed it.
        pace: Share of full speed that it was ordered to work at, in percent.
        pace_known: Whether the executor is known to have taken that.
        paced_at: Steady time at which that was ordered.
        worked_s: Time of full speed that it had worked for by then.
        progress: How much of its work is done, in percent.
        progress_at: Steady time at which that last rose.
        usage: Last figure that the executor gave for it.
        over_since: Since when a standing task is over its latency target.
        stop_sent_at: Steady time of the last stop order.
        stop_taken_at: Steady time at which the executor took a stop, if it did.
        copy: Whether it runs beside an earlier attempt of its task.
        moved: Whether it is stopped to continue elsewhere.
    """

    task: Task
    run: int
    executor_id: str
    phase: Phase
    placed_at: float
    confirmed_at: float = NEVER
    pace: int = FULL_PACE
    pace_known: bool = True
    paced_at: float = NEVER
    worked_s: float = 0.0
    progress: int = 0
    progress_at: float = NEVER
    usage: float | None = None
    over_since: float | None = None
    stop_sent_at: float = NEVER
    stop_taken_at: float | None = None
    copy: bool = False
    moved: bool = False

    @property
    def key(self) -> tuple[TaskName, int]:
        """Name under which executors list it."""
        return self.task.name, self.run

    def worked_by(self, now: float) -> float:
        """Return how much time of full speed it has worked for, in seconds."""
        since = max(self.placed_at, self.paced_at)
        return self.worked_s + (now - since) * self.pace / FULL_PACE

    def set_pace(self, percent: int, now: float) -> None:
        """Let it work at a share of full speed from now on."""
        self.worked_s = self.worked_by(now)
        self.paced_at = now
        self.pace = percent
        self.pace_known = True


@dataclass(slots=True, eq=False)
class Task:
    """One task of a step.

    Attributes:
        name: Its name.
        step: Its step.
        done: Whether it has ended well; final.
        failures: Runs that ended failed.
        next_run: Number of its next run.
        counted_run: Ends of runs below this number were counted by a former owner.
        lent: Shard that looks after it instead of this one, if any.
        loan: Number of its last loan, 0 before the first.
        given_back: Number of the last loan that each shard gave back, by shard.
        checkpoint: Where the next run resumes.
        attempts: Its attempts that may be running.
        avoid: Executors on which it failed or stood still.
        not_before: Steady time before which it is not started again.
        ready_since: Steady time since when it could have been started.
        away_since: For standing tasks, since when it is not at work.
    """

    name: TaskName
    step: StepRun
    done: bool = False
    failures: int = 0
    next_run: int = 1
    counted_run: int = 0
    lent: int | None = None
    loan: int = 0
    given_back: dict[int, int] = field(default_factory=dict)
    checkpoint: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    avoid: set[str] = field(default_factory=set)
    not_before: float = NEVER
    ready_since: float = NEVER
    away_since: float = NEVER

    @property
    def pending(self) -> bool:
        """Whether it waits for an attempt."""
        return not self.done and not self.attempts and self.lent is None

    @property
    def share_left(self) -> float:
        """Part of its work that is not done, 0 to 1, by what its runs report.

        Without a run it is all to do: how far a checkpoint reaches is not known.
        """
        if self.done:
            return 0.0
        return 1.0 - max((a.progress for a in self.attempts), default=0) / FULL_PROGRESS

    @property
    def displaced(self) -> bool:
        """Whether it has run before, here or in the shard that lent it."""
        return self.next_run > 1 or self.loan > 0


@dataclass(slots=True, eq=False)
class StepRun:
    """One step of one repetition of a job.

    Attributes:
        run: The repetition.
        index: Number of the step.
        spec: What the caller asked for.
        tasks: Its tasks.
        left: Tasks that are not done.
        durations: Running times at full speed of tasks that are done, in seconds.
        failed_runs: Numbers of a gang's runs that failed.
    """

    run: JobRun
    index: int
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    left: int = 0
    durations: list[float] = field(default_factory=list)
    failed_runs: set[int] = field(default_factory=set)
    _median_s: float = 0.0
    _median_of: int = 0

    @property
    def failures(self) -> int:
        """Failed runs of a gang as a whole."""
        return sum(task.failures for task in self.tasks)

    @property
    def share_left(self) -> float:
        """Part of its longest task that is not done, 0 to 1."""
        longest = 0.0
        for task in self.tasks:
            if task.done:
                continue
            if not task.attempts:
                # Most steps that are looked at wait for a start: the first such task tells.
                return 1.0
            longest = max(longest, task.share_left)
        return longest

    @property
    def tasks_left(self) -> float:
        """Sum of the parts of its tasks that are not done, in tasks."""
        total = 0.0
        for task in self.tasks:
            if task.done:
                continue
            total += task.share_left if task.attempts else 1.0
        return total

    @property
    def median_s(self) -> float:
        """Median running time of tasks that are done, in seconds; there must be one."""
        # Each plan asks for it for each run, and times are only ever added.
        if self._median_of != len(self.durations):
            self._median_of = len(self.durations)
            self._median_s = sorted(self.durations)[self._median_of // 2]
        return self._median_s

    def pending(self) -> list[Task]:
        """Return the tasks that wait for an attempt."""
        return [t for t in self.tasks if not (t.done or t.attempts) and t.lent is None]

    @property
    def open(self) -> bool:
        """Whether all steps that it depends on are done."""
        return self.run.released and all(
            self.run.steps[index].left == 0 for index in self.spec.depends_on
        )


@dataclass(slots=True, eq=False)
class JobRun:
    """One repetition of a job.

    Attributes:
        job: The job.
        repetition: Its number.
        steps: Its steps.
        version: Counts the changes that a record must hold.
        durable: Version that the store holds.
        released: Whether its due time has come.
    """

    job: ShardJob
    repetition: int
    steps: list[StepRun] = field(default_factory=list)
    version: int = 0
    durable: float = 0
    released: bool = True

    @property
    def done(self) -> bool:
        """Whether every task is done."""
        return all(step.left == 0 for step in self.steps)

    @property
    def work_left(self) -> float:
        """Work of the tasks that are not done, in thousandths of a core times seconds."""
        lengths = self.job.lengths_s
        return sum(
            step.tasks_left * step.spec.demand.milli_cpu * lengths[step.index]
            for step in self.steps
            if step.left
        )

    def tasks(self) -> Iterator[Task]:
        """Iterate over all tasks."""
        for step in self.steps:
            yield from step.tasks

    def task(self, name: TaskName) -> Task | None:
        """Return a task by name, ``None`` if the job has none of that name."""
        if name.step >= len(self.steps) or name.index >= len(self.steps[name.step].tasks):
            return None
        return self.steps[name.step].tasks[name.index]


@dataclass(slots=True, eq=False)
class ShardJob:
    """A job that lives in the shard.

    Attributes:
        submitted: Its submission.
        inherited: Whether a former owner may have started tasks of it.
        runs: Its repetitions by number.
        begun: Whether a task was started.
        closing: Whether its final state is decided; nothing is started any more.
        handing_over: Whether it is on its way to another shard.
        moved: Whether it came from another shard.
        borrowed: Whether it lives in another shard that lent some of its tasks.
        max_attempts: Failed runs of a task after which it has failed.
        priority: Its queue's priority.
        stretch: Part of its objective, in times of its longest chain of steps.
        target_s: Time that its objective has beside that.
        objective_s: Time from acceptance in which it is to be done, as expected.
        step_took_s: Times of the steps that have ended, in seconds.
        lengths_s: For each step, time that one of its tasks is expected to take.
        after_s: For each step, time of the longest chain that begins with it.
        service: Service whose executors run it.
        advised: Whether its queue's policy decides where its steps may run.
        ticket_valid_s: How long a ticket of that policy holds, in seconds.
    """

    submitted: Submitted
    inherited: bool = False
    runs: dict[int, JobRun] = field(default_factory=dict)
    begun: bool = False
    closing: bool = False
    handing_over: bool = False
    moved: bool = False
    borrowed: bool = False
    max_attempts: int = 1
    priority: int = 0
    stretch: float = 1.0
    target_s: float = 0.0
    objective_s: float = 0.0
    step_took_s: dict[int, float] = field(default_factory=dict)
    lengths_s: tuple[float, ...] = ()
    after_s: tuple[float, ...] = ()
    service: str = ""
    advised: bool = False
    ticket_valid_s: float = 0.0

    def __post_init__(self) -> None:
        # Until more is known, the caller's guesses stand.
        self.lengths_s = tuple(step.estimate_s for step in self.spec.steps)
        self.after_s = self.spec.after(self.lengths_s)

    @property
    def spec(self) -> JobSpec:
        """What the caller asked for."""
        return self.submitted.spec

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.submitted.spec.job_id

    def attempts(self) -> Iterator[Attempt]:
        """Iterate over all attempts that may be running."""
        for run in self.runs.values():
            for task in run.tasks():
                yield from task.attempts


def new_run(job: ShardJob, repetition: int) -> JobRun:
    """Return a repetition with all of its tasks to do."""
    run = JobRun(job, repetition)
    for index, spec in enumerate(job.spec.steps):
        step = StepRun(run, index, spec, left=spec.count)
        step.tasks = [
            Task(TaskName(job.job_id, repetition, index, number), step)
            for number in range(spec.count)
        ]
        run.steps.append(step)
    return run
