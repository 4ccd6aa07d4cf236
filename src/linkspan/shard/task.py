"""One task of a step, across all of its runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.jobs.records import TaskIndex
from linkspan.shard.attempt import FULL_PROGRESS, NEVER, Phase
from linkspan.shard.failures import NO_FAILURES, Failures

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.crash_changes import CrashChanges
    from linkspan.shard.crash_history import CrashHistory
    from linkspan.shard.messages import TaskName
    from linkspan.shard.step_run import StepRun


@dataclass(slots=True, eq=False)
class Task:
    """One task of a step.

    Attributes:
        name: Its name.
        step: Its step.
        done: Whether a run of it succeeded; final.
        failed: Its failed runs; none are kept for standing tasks, which have no limit.
        failed_version: First version of its repetition's record that holds the last one of which
            this owner has heard.
        withheld_version: Version that must be durable before it may be placed again: a start of it
            was not sent, as its failed runs were not on record.
        next_run: Number of its next run.
        never_ran: Whether no run had any of the lower numbers, as far as its owners know: starts
            were refused or certainly not carried out, or a new owner skipped the numbers.
        managed_by: Shard that manages it instead of this one, ``None`` if this shard does.
        delegation_number: Number of its last delegation, 0 before the first.
        returned_by: Number of the last delegation that each shard has returned, by shard.
        checkpoint: Checkpoint from which the next run resumes.
        saved_by: Number of the run that saved the checkpoint, as far as this owner knows.
        attempts: Its attempts that may be running.
        avoided_executors: Executors on which it failed or got stuck.
        crash_history: Crashes that count against it, ``None`` if there are none.
        crash_changes: Crashes found or retracted while another shard manages the task, ``None`` if
            there are none.
        not_before: Steady time before which it is not started again after a refused start.
        moves: Number of times it was moved because a run took far longer than comparable ones.
        preemptions: Number of times it was stopped in favour of work with a reservation.
        refusals: Number of consecutive starts that executors refused.
        ready_since: Steady time since when this shard could have started it: ``waiting_since``, or
            the time at which the shard began to manage it, if that is later.
        unrecorded_starts: Whether a start of it may still be carried out, or run, that its record
            does not name.
        idle_in_record: Whether a record that may be durable names no attempt of it.
        idle_records: Number of records made here that named none.
        waiting_since: Steady time since when it has been waiting for a run: since its last run
            ended, in whichever hall, or since its step opened. ``NEVER`` while it runs. Waits that
            must end are measured from it, as handovers and refused starts do not change it.
    """

    name: TaskName
    step: StepRun
    done: bool = False
    failed: Failures = NO_FAILURES
    failed_version: int = 0
    withheld_version: int = 0
    next_run: int = 1
    never_ran: bool = False
    managed_by: int | None = None
    delegation_number: int = 0
    returned_by: dict[int, int] = field(default_factory=dict)
    checkpoint: str = ""
    saved_by: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    avoided_executors: set[str] = field(default_factory=set)
    crash_history: CrashHistory | None = None
    crash_changes: CrashChanges | None = None
    not_before: float = NEVER
    moves: int = 0
    preemptions: int = 0
    refusals: int = 0
    unrecorded_starts: bool = False
    idle_in_record: bool = True
    idle_records: int = 0
    ready_since: float = NEVER
    waiting_since: float = NEVER

    def save(self, run: int, checkpoint: str) -> None:
        """Store a run's checkpoint, unless a later run has saved one."""
        if checkpoint and run >= self.saved_by:
            self.checkpoint = checkpoint
            self.saved_by = run

    def set_failed(self, failed: Failures) -> None:
        """Set its failed runs."""
        self.failed = failed
        self.step.has_failures = self.step.has_failures or failed.count > 0

    def note_failed(self, failed: Failures) -> None:
        """Set its failed runs, one of which this owner has just heard of and is about to record."""
        self.set_failed(failed)
        self.failed_version = self.step.run.version + 1

    @property
    def failures(self) -> int:
        """Number of its failed runs."""
        return self.failed.count

    @property
    def pending(self) -> bool:
        """Whether this shard manages it and it needs an attempt."""
        return not self.done and not self.attempts and self.managed_by is None

    def startable(self, now: float) -> bool:
        """Return whether it may be started by this shard.

        It may not while a refused start is not to be retried yet, while its owner has yet to decide
        whether to give it up, and while failed runs for which a start was withheld are not on
        record.
        """
        recorded = self.step.run.durable >= self.withheld_version
        return self.not_before <= now and not self.decision_pending and recorded

    @property
    def decision_pending(self) -> bool:
        """Whether its owner has yet to decide whether to give it up.

        Until then it must not start, here or in another shard: it could crash one more executor
        than the decision is about.
        """
        return self.crash_history is not None and self.crash_history.decision_pending

    @property
    def at_work(self) -> bool:
        """Whether a run of it reports full progress: for a standing task, that it is serving."""
        return any(a.phase is Phase.RUNNING and a.progress >= FULL_PROGRESS for a in self.attempts)

    @property
    def needs_isolation(self) -> bool:
        """Whether it must be started away from other tasks with a crash history."""
        return self.crash_history is not None and self.crash_history.needs_isolation

    @property
    def at_crash_limit(self) -> bool:
        """Whether one more crash reaches a limit, whatever its score."""
        return self.crash_history is not None and self.crash_history.at_crash_limit

    @property
    def crash_history_durable(self) -> bool:
        """Whether the store holds its crash history.

        Until then, the next owner would not know that another start follows these crashes.
        """
        return self.crash_history is None or self.step.run.durable >= self.crash_history.version

    @property
    def failures_durable(self) -> bool:
        """Whether the store holds all failures that this owner has heard of, of its gang, too.

        Until then, the next owner would not count them, and start the task once too often.
        """
        if not self.step.has_failures:
            return True
        counted = self.step.tasks if self.step.spec.gang else (self,)
        durable = self.step.run.durable
        return all(task.failed_version <= durable for task in counted)

    @property
    def remaining_share(self) -> float:
        """Remaining share of its work, 0 to 1, by the progress that its runs report.

        It is 1 without a run, because the progress of a checkpoint is unknown.
        """
        if self.done:
            return 0.0
        if len(self.attempts) == 1:
            return 1.0 - self.attempts[0].progress / FULL_PROGRESS
        return 1.0 - max((a.progress for a in self.attempts), default=0) / FULL_PROGRESS

    @property
    def may_have_run(self) -> bool:
        """Whether a run of it may have begun, in whichever hall.

        That decides whose turn it is, and nothing on which it depends that a task runs only once.
        """
        return self.next_run > 1 and not self.never_ran

    @property
    def has_run_before(self) -> bool:
        """Whether it may have run before, or was delegated: it has lost time already."""
        return self.may_have_run or self.delegation_number > 0


def index_of(task: Task) -> TaskIndex:
    """Return which task of its job a task is."""
    return TaskIndex(task.name.repetition, task.name.step, task.name.index)
