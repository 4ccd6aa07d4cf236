"""One run of a task on one executor, with the phases of its life cycle."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.messages import TaskName
    from linkspan.shard.progress_rate import ProgressRate
    from linkspan.shard.task import Task

NEVER = float("-inf")
"""A time before all others, for events that have not happened."""

FULL_PACE = 100
"""Pace in percent at which each run starts."""

FULL_PROGRESS = 100
"""Progress in percent of a run that is done, or of a standing task that is serving."""


class Phase(Enum):
    """Phase of an attempt's life cycle."""

    STARTING = "starting"
    """The start order is queued or sent, and its answer is awaited."""
    RUNNING = "running"
    """The executor has confirmed the run."""
    DOUBT = "doubt"
    """The start is unanswered: the call failed, but the start may still arrive."""
    STOPPING = "stopping"
    """The run is being stopped, and its end has not been reported."""
    INHERITED = "inherited"
    """A previous owner recorded the run, and the executor has not reported to this owner."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One run of a task on one executor.

    Attributes:
        task: The task.
        run: Number of the run.
        executor_id: Name of the incarnation that runs it.
        phase: Phase of its life cycle.
        placed_at: Steady time of the placement.
        confirmed_at: Steady time at which the executor confirmed the run.
        pace: Ordered share of full speed, in percent.
        pace_confirmed: Whether the executor has confirmed the pace.
        paced_at: Steady time of the last pace order.
        full_pace_s: Work done up to ``paced_at``, as seconds at full speed.
        progress: Reported share of the work that is done, in percent.
        progress_at: Steady time at which the executor was certainly alive when it reported that the
            progress had last risen.
        rate: Rate at which the progress rises, ``None`` before it is measured.
        usage: Usage in the executor's last report that had one (see ``RunningTask.usage``).
        over_target_since: Steady time since when a standing task exceeds its latency target.
        stop_sent_at: Steady time of the last stop order.
        stop_taken_at: Steady time at which the executor accepted a stop, ``None`` if it did not.
        listed: Whether a report of its incarnation has listed the run. An answer to the start does
            not prove that, as the start may have arrived at the next incarnation.
        listed_at: Steady time at which a report that lists the run was last applied.
        carried_over: Whether the attempt was transferred from an earlier incarnation and its
            present one has not listed it.
        answered_unlisted: Whether an earlier incarnation's start was answered but never listed, so
            that the run may be at the present incarnation.
        refused_for_good: Whether its incarnation accepted a stop and then did not list the run.
        reserves_capacity: Whether its executor counts its resources as used.
        start_may_arrive_until: Steady time until which an unanswered start of the run may still
            arrive.
        ticket: Permission of the queue's placement policy; empty without one.
        starts: Number of start orders sent for the run.
        speculative: Whether it is a speculative copy that runs in parallel to an earlier attempt
            of its task.
        recovered: Whether it was found on record or in a report, so that its start time is unknown.
        isolated: Whether it was started away from other tasks with a crash history.
        moved: Whether it is stopped so that the task continues on another executor.
        sent_at: Steady time at which its start was last sent.
        follows_answer: Whether its task had to be isolated and the executor had answered
            immediately before the start was sent.
    """

    task: Task
    run: int
    executor_id: str
    phase: Phase
    placed_at: float
    confirmed_at: float = NEVER
    pace: int = FULL_PACE
    pace_confirmed: bool = True
    paced_at: float = NEVER
    full_pace_s: float = 0.0
    progress: int = 0
    progress_at: float = NEVER
    rate: ProgressRate | None = None
    usage: float | None = None
    over_target_since: float | None = None
    stop_sent_at: float = NEVER
    stop_taken_at: float | None = None
    listed: bool = False
    listed_at: float = NEVER
    carried_over: bool = False
    answered_unlisted: bool = False
    refused_for_good: bool = False
    reserves_capacity: bool = False
    start_may_arrive_until: float = NEVER
    ticket: str = ""
    starts: int = 1
    speculative: bool = False
    recovered: bool = False
    isolated: bool = False
    moved: bool = False
    sent_at: float = NEVER
    follows_answer: bool = False

    @property
    def key(self) -> tuple[TaskName, int]:
        """Key under which executors list the run: task name and run number."""
        return self.task.name, self.run

    @property
    def ordered_at(self) -> float:
        """Steady time before which this owner had certainly not sent its last start.

        It is before all other times if a previous owner started the run.
        """
        return NEVER if self.recovered else max(self.placed_at, self.sent_at)

    @property
    def start_unanswered(self) -> bool:
        """Whether this tenure sent a start that is unanswered and may still arrive.

        Starts of previous owners do not count: an executor that has seen this tenure's token
        refuses them.
        """
        if self.phase is Phase.INHERITED or self.recovered:
            return False
        return self.confirmed_at == NEVER and not self.listed

    @property
    def sent_once(self) -> bool:
        """Whether only one start was ever sent, so that none can arrive once the run is confirmed.

        This is unknown for recovered runs: a previous owner may have sent another start without
        recording it.
        """
        return self.starts == 1 and not self.recovered

    @property
    def recorded_starts(self) -> int:
        """Number of starts to record for the next owner; 0 if no start may still arrive."""
        return self.starts if self.start_unanswered or self.start_may_arrive_until != NEVER else 0

    @property
    def may_have_run(self) -> bool:
        """Whether a run that this owner has not confirmed may have lasted until now."""
        history = self.task.crash_history
        if history and history.crash_of(self.executor_id):
            return True
        # A former owner that recorded no unanswered start had confirmed the run.
        confirmed_before = self.recovered and self.start_may_arrive_until == NEVER
        return confirmed_before and not self.carried_over

    def confirm(self, now: float) -> None:
        """Record that the executor has confirmed the run."""
        self.phase = Phase.RUNNING
        self.confirmed_at = now
        self.task.waiting_since = NEVER
        self.task.never_ran = False

    def full_pace_s_at(self, now: float) -> float:
        """Return the work done up to a steady time, as seconds at full speed."""
        since = max(self.placed_at, self.paced_at)
        return self.full_pace_s + (now - since) * self.pace / FULL_PACE

    def set_pace(self, percent: int, now: float) -> None:
        """Record that the run works at a share of full speed, in percent, from now on."""
        self.full_pace_s = self.full_pace_s_at(now)
        self.paced_at = now
        self.pace = percent
        self.pace_confirmed = True
