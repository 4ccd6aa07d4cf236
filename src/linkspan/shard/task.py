"""One task of a step, over all its runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.attempt import FULL_PROGRESS, NEVER, Phase
from linkspan.shard.failures import NO_FAILURES, Failures

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.crash_history import CrashHistory
    from linkspan.shard.messages import TaskName
    from linkspan.shard.step_run import StepRun


@dataclass(slots=True, eq=False)
class Task:
    """One task of a step.

    Attributes:
        name: Its name.
        step: Its step.
        done: Whether it has ended well; final.
        failed: Runs that ended failed; of standing tasks, which have no limit, none are kept.
        next_run: Number of its next run.
        managed_by: Shard that looks after it instead of this one, if any.
        delegation_number: Number of its last loan, 0 before the first.
        returned_by: Number of the last loan that each shard gave back, by shard.
        checkpoint: Where the next run resumes.
        saved_by: Number of the run that saved that, as far as this owner heard.
        attempts: Its attempts that may be running.
        avoided_executors: Executors on which it failed or stood still.
        crash_history: What crashes of its executors say against it, ``None`` for nothing.
        retracted_crashes: Lives whose end turned out to be no crash while another shard looks after
            it.
        not_before: Steady time before which it is not started again.
        moves: Times that it was moved since a run took far longer than its like.
        refusals: Starts of it that executors refused in a row.
        ready_since: Steady time since when it could have been started.
        away_since: For standing tasks, since when it is not at work.
    """

    name: TaskName
    step: StepRun
    done: bool = False
    failed: Failures = NO_FAILURES
    next_run: int = 1
    managed_by: int | None = None
    delegation_number: int = 0
    returned_by: dict[int, int] = field(default_factory=dict)
    checkpoint: str = ""
    saved_by: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    avoided_executors: set[str] = field(default_factory=set)
    crash_history: CrashHistory | None = None
    retracted_crashes: set[str] = field(default_factory=set)
    not_before: float = NEVER
    moves: int = 0
    refusals: int = 0
    ready_since: float = NEVER
    away_since: float = NEVER

    def save(self, run: int, checkpoint: str) -> None:
        """Take in where a run could be resumed; what an earlier run saved is behind that."""
        if checkpoint and run >= self.saved_by:
            self.checkpoint = checkpoint
            self.saved_by = run

    @property
    def failures(self) -> int:
        """How many of its runs ended failed."""
        return self.failed.count

    @property
    def pending(self) -> bool:
        """Whether it waits for an attempt."""
        return not self.done and not self.attempts and self.managed_by is None

    @property
    def at_work(self) -> bool:
        """Whether a run of it tells that it is at work; of standing tasks."""
        return any(a.phase is Phase.RUNNING and a.progress >= FULL_PROGRESS for a in self.attempts)

    @property
    def needs_isolation(self) -> bool:
        """Whether it is to be started apart from others that may crash their executor."""
        return self.crash_history is not None and self.crash_history.needs_isolation

    @property
    def at_crash_limit(self) -> bool:
        """Whether one more crash under it gives it up."""
        return self.crash_history is not None and self.crash_history.at_crash_limit

    @property
    def on_record(self) -> bool:
        """Whether the store holds the crashes under it.

        Until it does, a next owner would not know that a start of it is one more.
        """
        return self.crash_history is None or self.step.run.durable >= self.crash_history.version

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
        return self.next_run > 1 or self.delegation_number > 0
