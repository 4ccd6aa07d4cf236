"""State that a shard's owner keeps for each incarnation of an executor."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from linkspan.jobs.spec import Demand
from linkspan.shard.attempt import NEVER, Phase
from linkspan.shard.executor_usage import ExecutorUsage
from linkspan.shard.planning.set_asides import NOTHING
from linkspan.shard.planning.task_need import default_headroom
from linkspan.shard.refusals import RecentRefusals
from linkspan.shard.unusable_reason import UnusableReason

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.leases import LeaseClock
    from linkspan.shard.messages import ExecutorRecord, TaskName
    from linkspan.shard.unacked_end import UnackedEnd


FOREVER = float("inf")
"""A time after all others, for executors that have not announced to leave and for registrations
that are not missing."""


MAX_ENDS_BEHIND_WITHHELD = 250
"""Limits the ends that queue behind a withheld one. An executor lists at most 500 unacknowledged
ends and none of the later ones."""


@dataclass(slots=True, eq=False)
class ExecutorState:
    """State of one incarnation of an executor.

    Attributes:
        record: Its registration.
        clock: Its clock and granted leases; ``None`` before its first report.
        address_confirmed: Whether it has answered at its address, to this owner or a former one.
            Until then the address is only what its registration says.
        listed: Whether it is registered at present.
        rostered: Whether the durable roster names it, which is a condition for starts.
        has_reported: Whether it has reported in this tenure.
        reported_s: Reading of its own clock in the newest applied report.
        reported_at: Steady time at which its newest report was applied.
        usage_applied_at: Steady time at which usage figures of its runs were last applied.
        silent_since: Steady time of the first unanswered call since its last answer; ``None`` while
            it answers.
        last_handled_end: Number of the last handled end.
        acknowledged: Number of the last end that may be acknowledged.
        unacked: Later ends that were handled, in order.
        attempts: Attempts that may be running there, by task and run.
        quarantined_until: Steady time until which it gets no new work.
        leaves_at: Steady time at which it may leave, while it drains.
        stays_until: Steady time before which it does not leave, while it drains; in the past if
            this owner does not know when the drain was announced.
        unknown_runs: Whether it has, or may have, runs of jobs that this shard does not know and
            that take an unknown part of its capacity.
        missing_since: Steady time from which its registration counts as removed.
        entry_removed_at: Steady time at which its registry entry vanished, if it is still missing.
        largest_capacity: Largest capacity it has registered; a reduced capacity may grow back.
        offload_at: Steady time from which work is moved away, while its attempts exceed its
            capacity.
        leases_expire_at: Steady time by which all leases of an incarnation that has never reported
            have expired.
        ack_delivered: Number of the last end whose acknowledgement the executor has received, as an
            answer shows.
        token: Fencing token of all calls to it.
        withheld_ends: Numbers of its withheld ends, including those that a previous owner withheld
            and this owner has not read.
        expired_attempts: Attempts that were removed when its leases expired, kept while it stays
            silent. They are also kept by task in their ``JobRun``, whose record holds them.
        refusals: Starts that it refused for lack of capacity, or never answered.
        starts_sent: Number of starts that were sent to it in this tenure.
        start_answered_at: Steady time of the last answer to a start that was sent to it.
        no_starts_until: Steady time until which it gets no starts, as an unanswered poll may still
            acknowledge the ends of its next incarnation.
        kept: Resources that are kept for short tasks; ``None`` before that is decided.
    """

    record: ExecutorRecord
    clock: LeaseClock | None = None
    address_confirmed: bool = False
    listed: bool = True
    rostered: bool = False
    has_reported: bool = False
    reported_s: float = NEVER
    reported_at: float = NEVER
    usage_applied_at: float = NEVER
    silent_since: float | None = None
    last_handled_end: int = 0
    acknowledged: int = 0
    unacked: deque[UnackedEnd] = field(default_factory=deque)
    attempts: dict[tuple[TaskName, int], Attempt] = field(default_factory=dict)
    quarantined_until: float = NEVER
    leaves_at: float = FOREVER
    stays_until: float = NEVER
    unknown_runs: bool = False
    missing_since: float = FOREVER
    entry_removed_at: float = FOREVER
    expired_attempts: list[Attempt] = field(default_factory=list)
    largest_capacity: Demand = field(default_factory=Demand)
    offload_at: float | None = None
    leases_expire_at: float = NEVER
    ack_delivered: int = 0
    token: int = 0
    withheld_ends: set[int] = field(default_factory=set)
    refusals: RecentRefusals = field(default_factory=RecentRefusals)
    starts_sent: int = 0
    start_answered_at: float = NEVER
    no_starts_until: float = NEVER
    kept: Demand | None = None

    _best_effort: dict[tuple[TaskName, int], Attempt] = field(default_factory=dict)
    _latency_targeted: dict[tuple[TaskName, int], Attempt] = field(default_factory=dict)
    _duration_checked: dict[tuple[TaskName, int], Attempt] = field(default_factory=dict)
    _copyable: dict[tuple[TaskName, int], Attempt] = field(default_factory=dict)
    _usage: ExecutorUsage = field(default_factory=ExecutorUsage)

    def __post_init__(self) -> None:
        self.largest_capacity = self.record.capacity

    @property
    def executor_id(self) -> str:
        """Name of the incarnation."""
        return self.record.executor_id

    @property
    def is_placeholder(self) -> bool:
        """Whether it represents the next incarnation of an executor, which has not answered yet."""
        return self.record.is_placeholder

    @property
    def total_cpu(self) -> int:
        """Thousandths of a core that it has."""
        return self.record.capacity.milli_cpu

    @property
    def draining(self) -> bool:
        """Whether it is about to leave."""
        return self.record.draining

    @property
    def alive_at(self) -> float:
        """Steady time at which it was certainly alive, the latest known."""
        return self.clock.alive_at if self.clock else NEVER

    @property
    def has_unanswered_start(self) -> bool:
        """Whether the start of one of its attempts is unanswered."""
        return any(attempt.start_unanswered for attempt in self.attempts.values())

    @property
    def reserved_cpu(self) -> int:
        """Thousandths of a core that are reserved by attempts that are not best-effort."""
        return self._usage.reserved_cpu

    @property
    def standing(self) -> Demand:
        """Resources of attempts of standing tasks with a reservation."""
        return self._usage.standing

    @property
    def headroom(self) -> Demand:
        """Free resources that standing tasks leave to short ones: what these don't use of it."""
        if self.kept is None:
            return default_headroom(self.total_cpu)
        # Nothing is kept of most executors, and each look at one for a standing task asks for it.
        if self.kept is NOTHING:
            return NOTHING
        return self.kept.without(self._usage.short)

    @property
    def best_effort_cpu(self) -> int:
        """Thousandths of a core that best-effort attempts demand at full speed."""
        return self._usage.best_effort.milli_cpu

    @property
    def paced_cpu(self) -> float:
        """Thousandths of a core that best-effort attempts demand at their present pace."""
        return sum(
            a.task.step.spec.demand.milli_cpu * a.pace / 100 for a in self._best_effort.values()
        )

    @property
    def free_cpu(self) -> int:
        """Thousandths of a core that are not reserved."""
        return self.record.capacity.milli_cpu - self._usage.reserved_cpu

    @property
    def free_memory(self) -> int:
        """Megabytes of memory that no attempt uses."""
        return self.record.capacity.memory_mb - self._usage.memory_mb

    @property
    def best_effort_memory(self) -> int:
        """Megabytes of memory that best-effort attempts use."""
        return self._usage.best_effort.memory_mb

    @property
    def over_capacity(self) -> bool:
        """Whether its attempts exceed its capacity."""
        return self.free_cpu < 0 or self.free_memory < 0 or self.free_gpus < 0

    @property
    def free_gpus(self) -> int:
        """Accelerators that no attempt uses."""
        return self.record.capacity.gpus - self._usage.gpus

    @property
    def roster_record(self) -> ExecutorRecord:
        """Its record for the roster, with its largest capacity, as a reduction may be temporary."""
        return replace(
            self.record,
            capacity=self.largest_capacity,
            withheld_ends=tuple(sorted(self.withheld_ends)),
        )

    def register(self, record: ExecutorRecord) -> None:
        """Apply its present registration."""
        if record.capacity != self.record.capacity:
            self.refusals.clear()
        self.record = record
        self.listed = True
        self.missing_since = FOREVER
        self.largest_capacity = self.largest_capacity.union(record.capacity)

    def add(self, attempt: Attempt) -> None:
        """Add an attempt, with its resources."""
        if attempt.key not in self.attempts:
            self.attempts[attempt.key] = attempt
            for index in self._indexes(attempt.task.step.spec):
                index[attempt.key] = attempt
            attempt.reserves_capacity = True
            self._usage.add(attempt.task.step.spec, 1)

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt, with its resources."""
        if self.attempts.pop(attempt.key, None):
            for index in self._indexes(attempt.task.step.spec):
                index.pop(attempt.key, None)
            self.release_capacity(attempt)

    def release_capacity(self, attempt: Attempt) -> None:
        """Release the resources of an attempt that certainly does not run there."""
        if attempt.reserves_capacity:
            attempt.reserves_capacity = False
            self._usage.add(attempt.task.step.spec, -1)

    def _indexes(self, spec: StepSpec) -> Iterator[dict[tuple[TaskName, int], Attempt]]:
        """Iterate over the indexes that hold the attempts of a step.

        The indexes save each planning round from iterating over all attempts.
        """
        if spec.best_effort:
            yield self._best_effort
        if spec.latency_target_ms > 0:
            yield self._latency_targeted
        if not (spec.standing or spec.gang or spec.best_effort):
            yield self._duration_checked
        if spec.speculative and not (spec.gang or spec.best_effort):
            # Best-effort work is slow because other work has precedence, which holds for a
            # speculative copy of it as well.
            yield self._copyable

    def usable(self, now: float) -> bool:
        """Return whether it is known to work and answers, so that it could take new work."""
        return self.reason_unusable(now) is None

    def runs(self, service: str, label: str) -> bool:
        """Return whether it runs tasks of a service that require a label; empty for none."""
        return self.record.runs(service, label)

    def reason_unusable(self, now: float) -> UnusableReason | None:
        """Return why it could take no new work at a steady time, ``None`` if it could."""
        if not self.listed:
            return UnusableReason.UNLISTED
        if not self.rostered:
            return UnusableReason.UNROSTERED
        if not self.has_reported:
            return UnusableReason.UNREPORTED
        if self.silent_since is not None:
            return UnusableReason.SILENT
        if now < self.quarantined_until:
            return UnusableReason.QUARANTINED
        return UnusableReason.POLL_UNANSWERED if now < self.no_starts_until else None

    @property
    def ack_pending(self) -> bool:
        """Whether ends may be acknowledged whose acknowledgement the executor has not received."""
        return self.acknowledged > self.ack_delivered

    def withholds_end(self, now: float) -> bool:
        """Return whether its next end is withheld because a start of the run may still arrive."""
        if not self.unacked or len(self.unacked) > MAX_ENDS_BEHIND_WITHHELD:
            return False
        return self.unacked[0].withheld_until > now

    def advance_acknowledged(self, now: float) -> bool:
        """Mark durable ends as acknowledged, in order, and return whether there were any."""
        advanced = False
        while self.unacked and self.unacked[0].durable and not self.withholds_end(now):
            self.acknowledged = self.unacked.popleft().number
            self.withheld_ends.discard(self.acknowledged)
            advanced = True
        return advanced

    def latency_targeted(self) -> list[Attempt]:
        """Return running attempts of standing tasks with a latency target."""
        return [a for a in self._latency_targeted.values() if a.phase is Phase.RUNNING]

    @property
    def over_latency_target(self) -> bool:
        """Whether a standing task there exceeds its latency target."""
        return any(
            attempt.over_target_since is not None for attempt in self._latency_targeted.values()
        )

    def best_effort(self) -> list[Attempt]:
        """Return running best-effort attempts."""
        return [a for a in self._best_effort.values() if a.phase is Phase.RUNNING]

    def all_best_effort(self) -> Iterable[Attempt]:
        """Return all best-effort attempts, including those not confirmed to be running."""
        return self._best_effort.values()

    def duration_checked(self) -> list[Attempt]:
        """Return running attempts whose duration shows whether they are stuck."""
        # Usually empty, and each planning round calls this for all executors.
        if not self._duration_checked:
            return []
        return [a for a in self._duration_checked.values() if a.phase is Phase.RUNNING]

    def copyable(self) -> list[Attempt]:
        """Return running attempts of tasks that may get a speculative copy."""
        if not self._copyable:
            return []
        return [a for a in self._copyable.values() if a.phase is Phase.RUNNING]

    def paced_below(self, below: int) -> list[Attempt]:
        """Return running best-effort attempts whose pace is below a limit in percent."""
        if not self._best_effort:
            return []
        return [
            a for a in self._best_effort.values() if a.pace < below and a.phase is Phase.RUNNING
        ]
