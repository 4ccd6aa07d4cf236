"""One run of a task on one executor, and the words for where it stands."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.messages import TaskName
    from linkspan.shard.task import Task

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
        pace_confirmed: Whether the executor is known to have taken that.
        paced_at: Steady time at which that was ordered.
        worked_s: Time of full speed that it had worked for by then.
        progress: How much of its work is done, in percent.
        progress_at: Steady time at which that last rose.
        usage: Last figure that the executor gave for it.
        over_since: Since when a standing task is over its latency target.
        stop_sent_at: Steady time of the last stop order.
        stop_taken_at: Steady time at which the executor took a stop, if it did.
        listed: Whether the life that it is on has named it: a start that was answered may have come
            to the next one.
        carried_over: Whether it came over from a life before, and the one that it counts at has not
            named it.
        start_may_arrive_until: Steady time until which a start of it may be on its way that got no
            answer.
        ticket: Permission of the queue's placement policy; empty without one.
        starts: How often its start was sent.
        speculative: Whether it runs beside an earlier attempt of its task.
        recovered: Whether it was found on record or at its executor: for how long it runs is not
            known then.
        isolated: Whether it was started apart from other suspects of crashes.
        moved: Whether it is stopped to continue elsewhere.
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
    worked_s: float = 0.0
    progress: int = 0
    progress_at: float = NEVER
    usage: float | None = None
    over_since: float | None = None
    stop_sent_at: float = NEVER
    stop_taken_at: float | None = None
    listed: bool = False
    carried_over: bool = False
    start_may_arrive_until: float = NEVER
    ticket: str = ""
    starts: int = 1
    speculative: bool = False
    recovered: bool = False
    isolated: bool = False
    moved: bool = False

    @property
    def key(self) -> tuple[TaskName, int]:
        """Name under which executors list it."""
        return self.task.name, self.run

    @property
    def unanswered(self) -> bool:
        """Whether this tenure sent its start and had no answer: it may be on its way.

        A former owner's start is refused by who has seen our token.
        """
        if self.phase is Phase.INHERITED or self.recovered:
            return False
        return self.confirmed_at == NEVER and not self.listed

    @property
    def sent_once(self) -> bool:
        """Whether one start of it was sent in all: none is on its way once it runs.

        A former owner may have sent one more that it could not record.
        """
        return self.starts == 1 and not self.recovered

    @property
    def recorded_starts(self) -> int:
        """How many starts of it a next owner has to know of, 0 where none may be on its way."""
        return self.starts if self.unanswered or self.start_may_arrive_until != NEVER else 0

    def worked_by(self, now: float) -> float:
        """Return how much time of full speed it has worked for, in seconds."""
        since = max(self.placed_at, self.paced_at)
        return self.worked_s + (now - since) * self.pace / FULL_PACE

    def set_pace(self, percent: int, now: float) -> None:
        """Let it work at a share of full speed from now on."""
        self.worked_s = self.worked_by(now)
        self.paced_at = now
        self.pace = percent
        self.pace_confirmed = True
