"""An executor as the shard's owner sees it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, NamedTuple

from linkspan.jobs.spec import Demand
from linkspan.shard.attempt import NEVER, Phase

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.leases import LeaseClock
    from linkspan.shard.messages import ExecutorRecord, TaskName


NEVER_LEAVES = float("inf")
"""Steady time at which an executor leaves that has not said that it will, or goes
missing that is registered."""


MAX_ENDS_BEHIND_WITHHELD = 250
"""Ends behind one that is held: an executor lists 500 at once, and none that came after."""


class UnackedEnd(NamedTuple):
    """An end that was acted on and may not be durable.

    Attributes:
        number: Its number at the executor.
        run: The repetition whose record must hold it, ``None`` if nobody needs it.
        version: Version of that record from which on it does.
        withheld_until: Steady time until which a start of its run may be on its way. The executor's
            next life may carry that out, and a run is not to begin after an end that was
            acknowledged.
    """

    number: int
    run: JobRun | None
    version: int
    withheld_until: float = NEVER

    @property
    def durable(self) -> bool:
        """Whether the executor may forget it."""
        return self.run is None or self.run.durable >= self.version


@dataclass(slots=True, eq=False)
class ExecutorState:
    """State of one incarnation of an executor.

    Attributes:
        record: Its registration.
        clock: Its clock and lease; ``None`` before its first answer.
        listed: Whether it is registered at present.
        rostered: Whether the durable roster names it; starts need that.
        has_reported: Whether it has answered in this tenure.
        reported_s: Its own clock in the newest report.
        reported_at: Steady time at which its newest report was read.
        answered_at: Steady time at which an answer that names it last came; its report is read once
            the jobs that it names are.
        figures_at: Steady time at which figures of its tasks were last taken in.
        silent_since: Steady time of the first call without an answer since it
            last answered; ``None`` while it answers.
        last_handled_end: Number of the last end that was acted on.
        acknowledged: Number of the last end that it may forget.
        unacked: Ends after that one, in order.
        attempts: Attempts that may be running there, by task and run.
        quarantined_until: Steady time until which it gets no new work.
        leaves_at: Steady time at which it may leave, while it drains.
        unknown_runs: Whether it runs, or may run, what this shard knows no job of: how
            much room that takes is not known.
        missing_since: Steady time since when its registration is taken for gone.
        entry_removed_at: Steady time at which its entry went, if it did not come back.
        largest_capacity: The most room that it was seen with: what shrank grows again.
        offload_at: Steady time from which work leaves it, while it holds more than its room.
        leases_expire_at: Steady time by which what a life that nobody met may hold has ended.
        ack_delivered: Number of the last end that it was told to forget, in a call that was
            answered.
        token: Fencing token of all calls to it.
        withheld_ends: Numbers of ends that are held, or that a former owner held and this one did
            not read.
        expired_attempts: Attempts that were let go when its leases had ended, while it stays
            silent.
    """

    record: ExecutorRecord
    clock: LeaseClock | None = None
    listed: bool = True
    rostered: bool = False
    has_reported: bool = False
    reported_s: float = NEVER
    reported_at: float = NEVER
    answered_at: float = NEVER
    figures_at: float = NEVER
    silent_since: float | None = None
    last_handled_end: int = 0
    acknowledged: int = 0
    unacked: deque[UnackedEnd] = field(default_factory=deque)
    attempts: dict[tuple[TaskName, int], Attempt] = field(default_factory=dict)
    quarantined_until: float = NEVER
    leaves_at: float = NEVER_LEAVES
    unknown_runs: bool = False
    missing_since: float = NEVER_LEAVES
    entry_removed_at: float = NEVER_LEAVES
    expired_attempts: list[Attempt] = field(default_factory=list)
    largest_capacity: Demand = field(default_factory=Demand)
    offload_at: float | None = None
    leases_expire_at: float = NEVER
    ack_delivered: int = 0
    token: int = 0
    withheld_ends: set[int] = field(default_factory=set)

    _beside: dict[tuple[TaskName, int], Attempt] = field(default_factory=dict)
    _judged: dict[tuple[TaskName, int], Attempt] = field(default_factory=dict)
    _timed: dict[tuple[TaskName, int], Attempt] = field(default_factory=dict)
    _copied: dict[tuple[TaskName, int], Attempt] = field(default_factory=dict)
    _cpu: int = 0
    _best_effort_cpu: int = 0
    _memory: int = 0
    _gpus: int = 0

    def __post_init__(self) -> None:
        self.largest_capacity = self.record.capacity

    @property
    def executor_id(self) -> str:
        """Id of the incarnation."""
        return self.record.executor_id

    @property
    def is_placeholder(self) -> bool:
        """Whether it stands for an executor's next life, which has not answered yet."""
        return self.record.is_placeholder

    @property
    def draining(self) -> bool:
        """Whether it is about to leave."""
        return self.record.draining

    @property
    def left_as_planned(self) -> bool:
        """Whether it leaves as planned: it said so, or answered on when its entry was gone."""
        heard_at = self.clock.observed_at if self.clock else NEVER
        return self.draining or heard_at > self.entry_removed_at

    @property
    def reserved_cpu(self) -> int:
        """Thousandths of a core that attempts with a reservation hold."""
        return self._cpu

    @property
    def best_effort_cpu(self) -> int:
        """Thousandths of a core that best-effort attempts would use."""
        return self._best_effort_cpu

    @property
    def paced_cpu(self) -> float:
        """Thousandths of a core that best-effort attempts use at their present pace."""
        return sum(a.task.step.spec.demand.milli_cpu * a.pace / 100 for a in self._beside.values())

    @property
    def free_cpu(self) -> int:
        """Thousandths of a core that are not reserved."""
        return self.record.capacity.milli_cpu - self._cpu

    @property
    def free_memory(self) -> int:
        """Megabytes that are not taken."""
        return self.record.capacity.memory_mb - self._memory

    @property
    def overfull(self) -> bool:
        """Whether attempts there hold more than its room."""
        return self.free_cpu < 0 or self.free_memory < 0 or self.free_gpus < 0

    @property
    def free_gpus(self) -> int:
        """Accelerators that are not taken."""
        return self.record.capacity.gpus - self._gpus

    @property
    def on_roster(self) -> ExecutorRecord:
        """What a next owner is told of it: at its largest, as it may be small for a while."""
        return replace(
            self.record,
            capacity=self.largest_capacity,
            withheld_ends=tuple(sorted(self.withheld_ends)),
        )

    def register(self, record: ExecutorRecord) -> None:
        """Take in what it says of itself now."""
        self.record = record
        self.listed = True
        self.missing_since = NEVER_LEAVES
        self.largest_capacity = self.largest_capacity.union(record.capacity)

    def add(self, attempt: Attempt) -> None:
        """Count an attempt in."""
        if attempt.key not in self.attempts:
            self.attempts[attempt.key] = attempt
            for kind in self._kinds(attempt.task.step.spec):
                kind[attempt.key] = attempt
            self._count(attempt, 1)

    def remove(self, attempt: Attempt) -> None:
        """Count an attempt out."""
        if self.attempts.pop(attempt.key, None):
            for kind in self._kinds(attempt.task.step.spec):
                kind.pop(attempt.key, None)
            self._count(attempt, -1)

    def _kinds(self, spec: StepSpec) -> Iterator[dict[tuple[TaskName, int], Attempt]]:
        """Iterate over the kinds of attempts that one of a step belongs to.

        Each plan looks at a few of them only and need not pass over the others.
        """
        if spec.best_effort:
            yield self._beside
        if spec.latency_target_ms > 0:
            yield self._judged
        if not (spec.standing or spec.gang or spec.best_effort):
            yield self._timed
        if spec.speculative and not (spec.gang or spec.best_effort):
            # Best-effort work is slow because others come first, and a copy would be, too.
            yield self._copied

    def _count(self, attempt: Attempt, sign: int) -> None:
        step = attempt.task.step.spec
        if step.best_effort:
            self._best_effort_cpu += sign * step.demand.milli_cpu
        else:
            self._cpu += sign * step.demand.milli_cpu
        self._memory += sign * step.demand.memory_mb
        self._gpus += sign * step.demand.gpus

    def usable(self, now: float) -> bool:
        """Whether it may get new work."""
        return (
            self.listed
            and self.rostered
            and self.has_reported
            and self.record.takes_new_work
            and self.silent_since is None
            and now >= self.quarantined_until
        )

    @property
    def ack_pending(self) -> bool:
        """Whether it may forget ends that it was not told to forget yet."""
        return self.acknowledged > self.ack_delivered

    def withholds_end(self, now: float) -> bool:
        """Whether its next end to be acknowledged waits for a start that may be on its way."""
        if not self.unacked or len(self.unacked) > MAX_ENDS_BEHIND_WITHHELD:
            return False
        return self.unacked[0].withheld_until > now

    def advance_acknowledged(self, now: float) -> bool:
        """Move past ends that are durable and return whether there were any."""
        moved = False
        while self.unacked and self.unacked[0].durable and not self.withholds_end(now):
            self.acknowledged = self.unacked.popleft().number
            self.withheld_ends.discard(self.acknowledged)
            moved = True
        return moved

    def standing(self) -> list[Attempt]:
        """Return running attempts of standing tasks with a latency target."""
        return [a for a in self._judged.values() if a.phase is Phase.RUNNING]

    @property
    def disturbed(self) -> bool:
        """Whether a standing task there is over its latency target."""
        return any(attempt.over_since is not None for attempt in self._judged.values())

    def best_effort(self) -> list[Attempt]:
        """Return running best-effort attempts."""
        return [a for a in self._beside.values() if a.phase is Phase.RUNNING]

    def best_effort_attempts(self) -> Iterable[Attempt]:
        """Return best-effort attempts, also those that only may be running."""
        return self._beside.values()

    def timed(self) -> list[Attempt]:
        """Return running attempts whose length tells whether they stand still."""
        # Most executors have none at most times, and each plan asks all of them.
        if not self._timed:
            return []
        return [a for a in self._timed.values() if a.phase is Phase.RUNNING]

    def copied(self) -> list[Attempt]:
        """Return running attempts of tasks that may have a copy beside them."""
        if not self._copied:
            return []
        return [a for a in self._copied.values() if a.phase is Phase.RUNNING]

    def slowed(self, below: int) -> list[Attempt]:
        """Return running best-effort attempts with less than some pace, in percent."""
        if not self._beside:
            return []
        return [a for a in self._beside.values() if a.pace < below and a.phase is Phase.RUNNING]
