"""A job managed by a shard, with its queue's terms and its expected durations."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.done_repetitions import NO_REPETITIONS, DoneRepetitions
from linkspan.shard.messages import TaskName

if TYPE_CHECKING:
    from collections.abc import Iterator

    from linkspan.jobs.records import Submitted, TaskIndex
    from linkspan.jobs.spec import JobSpec
    from linkspan.model.configuration import QueueTerms
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.task import Task


@dataclass(slots=True, eq=False)
class ShardJob:
    """A job that the shard manages, wholly or in part.

    Attributes:
        submitted: Its submission.
        inherited: Whether a previous owner may have started tasks of it.
        runs: Its open repetitions by number: those that are due or have begun, and are not done.
        done_repetitions: Those that are done and not among these any more.
        start_ordered: Whether a start of a task may have been sent, so that the job can't move to
            another shard as a whole any more.
        begun: Whether a task is known to have begun, by an answer, a report or a record.
        closing: Whether its final state is decided; nothing is started any more.
        records_progress: Whether its progress is still recorded, so that a next owner decides the
            same if this one is lost before the final state is on record.
        handing_over: Whether a handover of the job, or of tasks of it, is being recorded.
        moving: Whether the whole job is being moved to another shard.
        moved: Whether it was moved here from another shard.
        completed_seen: Number of its tasks that are done by the records of other shards and were
            marked as such here.
        delegated_here: Whether its home is another shard, which has delegated tasks of it to this
            one.
        max_attempts: Number of failed runs of a task after which the job fails; ``None`` while the
            queue's limit is unknown, so that no number of failures fails the job.
        limit_version: Version of the configuration that sets this limit, ``None`` if unknown.
        priority: Its queue's priority.
        stretch: Factor of its objective that applies to the duration of its longest path.
        target_s: Constant part of its objective, in seconds.
        objective_s: Time from acceptance within which it is expected to be done, in seconds.
        measured_durations_s: Measured durations of the steps that are done, in seconds, by step.
        expected_durations_s: For each step, the expected duration of one of its tasks, in seconds.
        remaining_path_s: For each step, the duration of the longest path that begins with it, in
            seconds.
        service: Service whose executors run it.
        requires_ticket: Whether its tasks need tickets of the queue's placement policy.
        ticket_valid_s: Validity of such a ticket, in seconds.
    """

    submitted: Submitted
    inherited: bool = False
    runs: dict[int, JobRun] = field(default_factory=dict)
    done_repetitions: DoneRepetitions = NO_REPETITIONS
    _next_repetition: int = 0
    start_ordered: bool = False
    begun: bool = False
    closing: bool = False
    records_progress: bool = True
    handing_over: bool = False
    moving: bool = False
    moved: bool = False
    completed_seen: int = 0
    delegated_here: bool = False
    max_attempts: int | None = None
    limit_version: int | None = None
    priority: int = 0
    stretch: float = 1.0
    target_s: float = 0.0
    objective_s: float = 0.0
    measured_durations_s: dict[int, float] = field(default_factory=dict)
    expected_durations_s: tuple[float, ...] = ()
    remaining_path_s: tuple[float, ...] = ()
    service: str = ""
    requires_ticket: bool = False
    ticket_valid_s: float = 0.0

    def __post_init__(self) -> None:
        # The caller's estimates apply until durations are measured.
        self.expected_durations_s = tuple(step.estimate_s for step in self.spec.steps)
        self.remaining_path_s = self.spec.longest_paths_from(self.expected_durations_s)

    @property
    def spec(self) -> JobSpec:
        """The job's specification, as submitted."""
        return self.submitted.spec

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.submitted.spec.job_id

    @property
    def opens_repetitions(self) -> bool:
        """Whether this shard opens further repetitions of it as they fall due."""
        if self.closing or self.delegated_here or not self.spec.opens_on_demand:
            return False
        return self.next_repetition < self.spec.repetitions

    @property
    def next_repetition(self) -> int:
        """Lowest number of a repetition that is neither open nor done."""
        while self._next_repetition in self.runs or self._next_repetition in self.done_repetitions:
            self._next_repetition += 1
        return self._next_repetition

    @property
    def next_due_s(self) -> float:
        """Time of day at which that repetition is due, in seconds since 1970; infinite if none."""
        schedule = self.spec.schedule
        if schedule is None or self.next_repetition >= schedule.count:
            return float("inf")
        return schedule.due(self.next_repetition)

    @property
    def open_tasks(self) -> int:
        """Number of tasks of its open repetitions."""
        return len(self.runs) * self.spec.tasks_per_repetition

    @property
    def done(self) -> bool:
        """Whether all of its repetitions are done."""
        open_and_done = sum(run.done for run in self.runs.values())
        return self.done_repetitions.count + open_and_done == self.spec.repetitions

    @property
    def has_delegations(self) -> bool:
        """Whether a task of it was delegated to another shard."""
        return any(task.delegation_number for run in self.runs.values() for task in run.tasks())

    def task(self, index: TaskIndex) -> Task | None:
        """Return one of its tasks, ``None`` if it has no such task."""
        run = self.runs.get(index.repetition)
        return run.task(TaskName(self.job_id, *index)) if run else None

    def apply_limit(self, max_attempts: int, version: int | None) -> None:
        """Apply a limit of failed runs, unless a newer one is known.

        If it is unknown which limit is newer, the larger one applies, because failing a job is
        final.

        Args:
            max_attempts: The limit.
            version: Version of the configuration that sets it; ``None`` if unknown.
        """
        if self.max_attempts is None or self.limit_version is None:
            self.max_attempts = max(max_attempts, self.max_attempts or 0)
            self.limit_version = version
        elif version is not None and version > self.limit_version:
            self.max_attempts, self.limit_version = max_attempts, version

    def apply_terms(self, terms: QueueTerms, version: int | None) -> None:
        """Apply a queue's terms, unless newer ones are known.

        Args:
            terms: The terms.
            version: Version of the configuration that sets them; ``None`` if unknown.
        """
        if version is not None and self.limit_version is not None and version < self.limit_version:
            return
        self.apply_limit(terms.max_attempts, version)
        self.priority = terms.priority
        self.stretch = terms.stretch
        self.target_s = terms.target_s
        self.service = terms.service
        self.requires_ticket = terms.advice is not None
        self.ticket_valid_s = terms.advice.valid_s if terms.advice else 0.0

    def attempts_exhausted(self, failures: int) -> bool:
        """Return whether a number of failed runs of a task reaches the limit."""
        return self.max_attempts is not None and failures >= self.max_attempts

    def attempts(self) -> Iterator[Attempt]:
        """Iterate over all attempts of its tasks."""
        for run in self.runs.values():
            for task in run.tasks():
                yield from task.attempts
