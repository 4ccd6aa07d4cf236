"""Which executors are there, are silent, or are gone for good."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.executor import NEVER_LEAVES, ExecutorState
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.reports._restarts import unsure_since

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.messages import ExecutorRecord
    from linkspan.shard.reports._crashes import CrashTracker
    from linkspan.shard.reports._restarts import RestartTracker
    from linkspan.shard.shard_job import ShardJob


INHERITED_GRACE_S = 2.5
"""Time for which an executor that a former owner used is not taken for gone when its
entry is missing: after an outage of the store entries are back within about two seconds."""


class ExecutorLiveness:
    """Tells when what may run on an executor has surely ended.

    Args:
        state: The shard's state.
        crashes: Counts crashes.
        successions: Keeps what may be at an executor's next life.
    """

    def __init__(
        self, state: ShardState, crashes: CrashTracker, successions: RestartTracker
    ) -> None:
        self._state = state
        self._crashes = crashes
        self._successions = successions
        self._inherited_until = float("-inf")
        self._roster_read = True

    def __repr__(self) -> str:
        return f"ExecutorLiveness({self._state!r})"

    def inherit(self, roster: Iterable[ExecutorRecord], until: float, *, read: bool = True) -> None:
        """Take over executors on which a former owner may have started work.

        Args:
            roster: Those executors, or those registered where the roster is not readable.
            until: Steady time by which all leases granted there have ended.
            read: Whether the roster was read. If not, it may name others, too.
        """
        self._inherited_until = until
        self._roster_read = read
        for record in roster:
            executor = self._add_executor(record)
            executor.rostered = read
            executor.listed = False
            executor.withheld_ends.update(record.withheld_ends)
            self._state.awaiting_report_ids.add(record.executor_id)

    def may_start(self, job: ShardJob, now: float) -> bool:
        """Whether no former owner's unrecorded run of a job can be alive, or have ended unseen.

        Told by each executor for itself. One that answers in part is renewed by this owner, so
        what a former one granted there does not lapse: only a whole report or its silence counts.
        """
        if not job.inherited:
            return True
        if not (self._roster_read or self._over(self._inherited_until, now)):
            return False
        unanswered = map(self._state.executors.__getitem__, self._state.awaiting_report_ids)
        return all(self._lapsed(executor, now) for executor in unanswered)

    def list_executors(
        self, records: Iterable[ExecutorRecord], now: float, *, missing: Mapping[str, float]
    ) -> None:
        """Take in the executors of the hall that are registered at present.

        Args:
            records: These executors, also those whose entry went moments ago.
            now: Steady time.
            missing: Since when entries of some of them are missing, in steady time.
        """
        named = [self._named(record) for record in records]
        self._excuse_planned(named)
        listed = {r.executor_id: r for r in named if not self._successions.is_over(r.executor_id)}
        for executor_id, record in listed.items():
            known = self._state.executors.get(executor_id)
            if known is None:
                self._state.log(Event.EXECUTOR_SEEN, executor=executor_id, address=record.address)
                known = self._add_executor(record)
            known.register(record)
            if executor_id in missing:
                # The first time stands: an outage of the store moves the one that is told.
                known.entry_removed_at = min(missing[executor_id], known.entry_removed_at)
            else:
                known.entry_removed_at = NEVER_LEAVES
            if record.draining and known.leaves_at == NEVER_LEAVES:
                self._state.log(
                    Event.EXECUTOR_DRAINING, executor=executor_id, remaining_s=record.remaining_s
                )
                known.leaves_at = now + record.remaining_s
        for executor_id, known in list(self._state.executors.items()):
            if executor_id in listed:
                continue
            if known.missing_since == NEVER_LEAVES:
                known.missing_since = now if known.listed else now + INHERITED_GRACE_S
            known.listed = False

    def on_gone(self, executor_id: str, now: float, proof: str, *, since: float | None) -> None:
        """Take in that an incarnation is gone, with all that ran on it.

        Args:
            executor_id: The incarnation.
            now: Steady time.
            proof: What tells so, for the log.
            since: Steady time by which what was answered was surely answered by it. What was
                answered later, or not at all, may be at a next one under its id. ``None`` where
                that cannot be, since another id answers at its address.
        """
        executor = self._state.executors.get(executor_id)
        if executor is None:
            return
        unsure = [] if since is None else unsure_since(executor, since)
        if executor.is_placeholder and unsure:
            self._release(executor, now, keep=unsure)
            return
        self._state.log(
            Event.EXECUTOR_GONE,
            executor=executor_id,
            proof=proof,
            runs=len(executor.attempts),
            unsure=len(unsure),
        )
        if not executor.is_placeholder:
            self._crashes.on_gone(executor, now, proof)
        if unsure:
            self._successions.await_next(executor, unsure, now)
        # Its registration may outlast it, so its name is kept.
        self._successions.end(executor, now)
        self._release(executor, now)

    def on_silent(self, executor_id: str, now: float, *, cause: str = "") -> None:
        """Take in that a call to an executor got no answer, or none that decodes."""
        executor = self._state.executors.get(executor_id)
        if executor is None:
            return
        if executor.silent_since is None:
            executor.silent_since = now
            self._state.log(
                Event.EXECUTOR_SILENT,
                executor=executor_id,
                runs=len(executor.attempts),
                cause=cause,
            )
        if self._lapsed(executor, now) and self._held(executor):
            self._on_lapsed(executor, now)

    def _excuse_planned(self, records: Iterable[ExecutorRecord]) -> None:
        """Take back crashes of executors that had left as planned, as entries tell that come late.

        The store may tell that an executor leaves after another one answers at its address.
        """
        for record in records:
            if record.draining and record.executor_id not in self._state.executors:
                self._crashes.retract(record.executor_id, "it left as planned")

    def _named(self, record: ExecutorRecord) -> ExecutorRecord:
        """Return an entry under the name of the life that it is of.

        One without a birth is of whichever life of its id answers.
        """
        if Incarnation.of(record.executor_id).started_at_ms is not None:
            return record
        incarnations = self._state.incarnations_by_id.get(record.executor_id, {})
        met = next(
            (name for name, known in incarnations.items() if known.has_reported), record.executor_id
        )
        return replace(record, executor_id=met)

    def _add_executor(self, record: ExecutorRecord) -> ExecutorState:
        executor = self._state.executors.get(record.executor_id)
        if executor is None:
            executor = ExecutorState(record)
            self._state.add_executor(executor)
        return executor

    def _held(self, executor: ExecutorState) -> bool:
        """Whether anything waits for what may run on an executor to be over."""
        waited_for = executor.executor_id in self._state.awaiting_report_ids
        return waited_for or bool(executor.attempts) or not executor.listed

    def _lapsed(self, executor: ExecutorState, now: float) -> bool:
        """Whether all leases there have ended, whoever granted them."""
        clock = executor.clock
        if clock:
            return self._over(clock.leases_expired_at(), now)
        return self._over(max(self._inherited_until, executor.leases_expire_at), now)

    def _over(self, ended_at: float, now: float) -> bool:
        """Whether a lease is over that ends at a steady time, and that no later owner renewed."""
        return ended_at <= min(now, self._state.sole_owner_until)

    def _on_lapsed(self, executor: ExecutorState, now: float) -> None:
        if executor.attempts:
            self._state.log(
                Event.LEASES_LAPSED,
                executor=executor.executor_id,
                runs=len(executor.attempts),
                silent_s=round(now - (executor.silent_since or now), 2),
            )
            # A cut looks like a crash until the incarnation is known to be gone.
            executor.expired_attempts = list(executor.attempts.values())
        if not executor.listed and not executor.is_placeholder:
            self._crashes.on_lost(executor, now)
        self._release(executor, now)
        self._state.resolve_inherited(executor.executor_id, "lapsed")
        if not executor.listed:
            self._state.remove_executor(executor.executor_id)

    def _release(
        self, executor: ExecutorState, now: float, *, keep: Iterable[Attempt] = ()
    ) -> None:
        kept = set(keep)
        for attempt in list(executor.attempts.values()):
            if attempt not in kept:
                self._state.close(attempt, now)
