"""Tracks which executors are registered, which are silent and which have ended."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.attempt import NEVER
from linkspan.shard.executor import FOREVER, ExecutorState
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from linkspan.shard.reports._entry_claims import EntryClaims
from linkspan.shard.reports._restarts import uncertain_attempts

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.messages import ExecutorRecord
    from linkspan.shard.reports._abandoned_starts import AbandonedStarts
    from linkspan.shard.reports._crashes import CrashTracker
    from linkspan.shard.reports._restarts import RestartTracker
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.task import Task


ENTRY_GRACE_S = 2.5
"""Delay added before an executor counts as missing that a former owner used and whose registry
entry is not there, or whose entry another writer has replaced. After an outage of the store entries
are back within about two seconds, and an executor rewrites its own entry at its next heartbeat."""

DRAIN_READ_DELAY_S = 0.3
"""Usual limit of the delay with which a host that follows the registrations reads that an executor
drains: the executor may leave earlier than computed by this delay."""


class ExecutorLiveness:
    """Determines when everything that may run on an executor has certainly ended.

    Args:
        state: The shard's state.
        crashes: Records crashes.
        restarts: Tracks restarts, and the runs that an executor's next incarnation may have.
        abandoned: Abandons starts that a next incarnation may carry out.
    """

    def __init__(
        self,
        state: ShardState,
        crashes: CrashTracker,
        restarts: RestartTracker,
        abandoned: AbandonedStarts,
    ) -> None:
        self._state = state
        self._abandoned = abandoned
        self._crashes = crashes
        self._restarts = restarts
        self._claims = EntryClaims(state)
        self._inherited_leases_expire_at = float("-inf")
        self._roster_readable = True
        self._former_starts_recorded = False
        self._standing_starts_recorded = False

    def __repr__(self) -> str:
        return f"ExecutorLiveness({self._state!r})"

    def inherit(
        self,
        roster: Iterable[ExecutorRecord],
        until: float,
        *,
        read: bool = True,
        starts_recorded: bool = False,
        standing_starts_recorded: bool = False,
    ) -> None:
        """Take over the executors on which a former owner may have started work.

        Args:
            roster: These executors, or the registered ones if the roster is not readable.
            until: Steady time by which all leases that former owners granted there have expired.
            read: Whether the roster was readable. If not, unlisted executors may run work, too.
            starts_recorded: Whether all starts that former owners have sent are on record.
            standing_starts_recorded: Whether those of standing tasks are.
        """
        self._inherited_leases_expire_at = until
        self._roster_readable = read
        self._former_starts_recorded = starts_recorded and read
        self._standing_starts_recorded = standing_starts_recorded and read
        for record in roster:
            executor = self._add_executor(record)
            executor.rostered = read
            executor.address_confirmed = read
            self._state.roster_names.add(record.executor_id)
            executor.listed = False
            executor.withheld_ends.update(record.withheld_ends)
            self._state.awaiting_report_ids.add(record.executor_id)

    @property
    def awaits_former_starts(self) -> bool:
        """Whether former owners may have sent starts on no record that may still be carried out."""
        awaited = self._state.awaiting_report_ids or self._state.awaiting_next_ids
        return bool(awaited) and not self._former_starts_recorded

    def first_report_may_omit_runs(self, executor_id: str) -> bool:
        """Whether an executor's first report may lack a run that was started there.

        Without a readable roster a former owner may have started work at any executor.
        """
        return not self._roster_readable or self._state.may_have_received_starts(executor_id)

    @property
    def roster_readable(self) -> bool:
        """Whether the former owner's roster was readable."""
        return self._roster_readable

    @property
    def standing_starts_recorded(self) -> bool:
        """Whether standing tasks without an attempt on record were started nowhere."""
        return self._standing_starts_recorded

    def knows_inherited_runs(self, now: float) -> bool:
        """Whether no former owner's executor may have a run, now or later, that is unknown here."""
        if self._state.awaiting_report_ids or self._state.awaiting_next_ids:
            return False
        return self._roster_readable or self._has_expired(self._inherited_leases_expire_at, now)

    def may_start_task(self, task: Task, now: float) -> bool:
        """Whether a task may start, of which the record names no attempt.

        A standing task without an attempt on record is started only once that is on record. Where
        all former owners did so, it was started nowhere.
        """
        unrecorded = self._state.unrecorded_starts.may_be_inherited(task)
        if self._standing_starts_recorded and task.step.spec.standing and not unrecorded:
            return True
        return self.may_start(task.step.run.job, now)

    def may_start(self, job: ShardJob, now: float) -> bool:
        """Whether a job may start: no former owner's unrecorded run of it is alive or ended unseen.

        Each executor must report for itself or lose its leases. An executor that sends only partial
        reports has its leases renewed by this owner, so leases from a former owner do not expire
        there. Only a complete report or the executor's silence settles the question.
        """
        if not job.inherited:
            return True
        if not (self._roster_readable or self._has_expired(self._inherited_leases_expire_at, now)):
            return False
        awaited = self._state.awaiting_report_ids | self._state.awaiting_next_ids
        unanswered = map(self._state.executors.__getitem__, awaited)
        return all(self._leases_expired(executor, now) for executor in unanswered)

    def list_executors(
        self, records: Iterable[ExecutorRecord], now: float, *, missing: Mapping[str, float]
    ) -> None:
        """Apply the current list of executors that are registered in the hall.

        Args:
            records: These executors, including those whose entry was removed moments ago.
            now: Steady time.
            missing: Steady time since when an entry has been missing, by executor id.
        """
        resolved = [self._with_incarnation(record) for record in records]
        self._retract_planned_ends(resolved)
        self._claims.begin()
        listed = {r.executor_id for r in resolved if self._register(r, now, missing)}
        self._claims.end()
        replaced_ids = {Incarnation.of(r.executor_id).executor_id for r in resolved}
        for name, executor in list(self._state.executors.items()):
            if name in listed:
                continue
            if executor.missing_since == FOREVER:
                restored_soon = Incarnation.of(name).executor_id in replaced_ids
                at_once = executor.listed and not restored_soon
                executor.missing_since = now if at_once else now + ENTRY_GRACE_S
            executor.listed = False

    def tick(self, now: float) -> None:
        """Apply the entries that were claims when they were read and are none any more."""
        for record in self._claims.records:
            if self._register(self._with_incarnation(record), now, {}):
                self._claims.remove(record)

    def _register(self, record: ExecutorRecord, now: float, missing: Mapping[str, float]) -> bool:
        """Apply a registry entry, and return whether it was applied.

        It is not if its incarnation has ended, or while it contradicts what the executor of its id
        has shown.
        """
        name = record.executor_id
        if self._restarts.has_ended(name):
            return False
        if self._claims.contradicts(record):
            self._claims.add(record)
            return False
        executor = self._state.executors.get(name)
        if executor is None:
            self._state.log(Event.EXECUTOR_SEEN, executor=name, address=record.address)
            self._claims.log(record)
            executor = self._add_executor(record)
        answering = executor.silent_since is None
        just_announced = executor.listed and answering and not executor.draining
        executor.register(record)
        # Keep the earliest time: an outage of the store moves the reported one.
        executor.entry_removed_at = (
            min(missing[name], executor.entry_removed_at) if name in missing else FOREVER
        )
        if record.draining:
            self._on_draining(executor, now, just_announced=just_announced)
        return True

    def _on_draining(self, executor: ExecutorState, now: float, *, just_announced: bool) -> None:
        """Apply the announcement of a draining executor, or apply it again.

        Args:
            executor: The executor.
            now: Steady time.
            just_announced: Whether this owner had read a registration of it without an
                announcement, and the executor answers. Otherwise it may have announced long ago.
        """
        remaining_s = executor.record.remaining_s
        if executor.leaves_at == FOREVER:
            self._state.log(
                Event.EXECUTOR_DRAINING, executor=executor.executor_id, remaining_s=remaining_s
            )
        # The earliest time: the first announcement may have been read late.
        executor.leaves_at = min(executor.leaves_at, now + remaining_s)
        if just_announced or executor.stays_until != NEVER:
            executor.stays_until = executor.leaves_at - DRAIN_READ_DELAY_S

    def on_incarnation_ended(
        self, executor_id: str, now: float, proof: str, *, since: float | None
    ) -> None:
        """Handle the end of an incarnation and of everything that ran on it.

        Args:
            executor_id: The incarnation.
            now: Steady time.
            proof: Evidence for the end, for the log.
            since: Steady time up to which every answer certainly came from this incarnation. Starts
                answered later, or not at all, may be at the next incarnation of the same id.
                ``None`` if there can be none, because another id answers at the address.
        """
        executor = self._state.executors.get(executor_id)
        if executor is None or (since is not None and _has_answered_since(executor, since)):
            return
        uncertain = [] if since is None else uncertain_attempts(executor, since)
        # An abandoned start may reach the next incarnation, which is therefore polled.
        may_arrive = since is not None and self._abandoned.late_until(executor_id) > now
        former = since is not None and self._may_take_former_starts(executor, now)
        may_arrive |= former
        if executor.is_placeholder and (uncertain or may_arrive):
            self._release(executor, now, keep=uncertain)
            return
        self._state.log(
            Event.EXECUTOR_GONE,
            executor=executor_id,
            proof=proof,
            runs=len(executor.attempts),
            unsure=len(uncertain),
        )
        if not executor.is_placeholder:
            self._crashes.on_incarnation_ended(executor, now, proof)
        if uncertain or may_arrive:
            self._restarts.carry_over_to_next(executor, uncertain, now)
        if former:
            self._await_next(executor, now)
        # The registry entry may outlive the incarnation, so its name is remembered as ended.
        self._restarts.end(executor, now)
        self._release(executor, now)

    def on_other_answered(self, executor_id: str, address: str, now: float) -> None:
        """Handle the answer that another executor id runs at the address of a call.

        An incarnation that has answered there before has ended. For others the answer shows only
        that their registration names a wrong address, or that they ended before they answered. The
        same holds if an entry of the incarnation names another address: a roster may have the one
        of another writer's entry. The incarnation is then called at the other one.

        Args:
            executor_id: The incarnation that was called.
            address: The address to which the call was sent.
            now: Steady time.
        """
        executor = self._state.executors.get(executor_id)
        if executor is None or executor.record.address != address:
            return
        if self._claims.gives_other_address(executor):
            executor.address_confirmed = False
        if executor.address_confirmed:
            self.on_incarnation_ended(executor_id, now, "another incarnation answers", since=None)
        else:
            self.on_silent(executor_id, now, cause=f"another executor answers at {address}")

    def _may_take_former_starts(self, executor: ExecutorState, now: float) -> bool:
        """Whether an executor's next incarnation may carry out unrecorded starts of former owners.

        No incarnation of its id has answered this owner, so none has received its higher fencing
        token. A former owner that lost the store sends starts without a record. One that
        released the shard may have stated that there are none.
        """
        if self._former_starts_recorded:
            return False
        if executor.is_placeholder:
            awaited = executor.executor_id in self._state.awaiting_next_ids
            return awaited and not self._leases_expired(executor, now)
        may_return = Incarnation.of(executor.executor_id).started_at_ms is not None
        return may_return and executor.executor_id in self._state.awaiting_report_ids

    def _await_next(self, executor: ExecutorState, now: float) -> None:
        """Await the report of the next incarnation of an executor that never reported.

        Jobs that arrive later do not wait for it, only those of the former owners.
        """
        placeholder = self._state.executors[Incarnation.of(executor.executor_id).executor_id]
        leases_expire_at = max(placeholder.leases_expire_at, now + MAX_START_DELAY_S)
        placeholder.leases_expire_at = leases_expire_at
        self._state.awaiting_next_ids.add(placeholder.executor_id)

    def on_silent(self, executor_id: str, now: float, *, cause: str = "") -> None:
        """Handle a call to an executor that got no answer, or an answer that does not decode."""
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
        if self._leases_expired(executor, now) and self._is_awaited(executor):
            self._on_leases_expired(executor, now)

    def _retract_planned_ends(self, records: Iterable[ExecutorRecord]) -> None:
        """Retract the crashes of executors that left as planned, if their entries say so late.

        The store may report that an executor is leaving after another one answers at its address.
        """
        for record in records:
            if record.draining and record.executor_id not in self._state.executors:
                self._crashes.on_late_announcement(record)

    def _with_incarnation(self, record: ExecutorRecord) -> ExecutorRecord:
        """Return a registry entry under the name of the incarnation that it belongs to.

        An entry without a start time belongs to whichever incarnation of its id has reported.
        """
        if Incarnation.of(record.executor_id).started_at_ms is not None:
            return record
        incarnations = self._state.incarnations_by_id.get(record.executor_id, {})
        reporting = next(
            (name for name, executor in incarnations.items() if executor.has_reported),
            record.executor_id,
        )
        return replace(record, executor_id=reporting)

    def _add_executor(self, record: ExecutorRecord) -> ExecutorState:
        executor = self._state.executors.get(record.executor_id)
        if executor is None:
            executor = ExecutorState(record)
            self._state.add_executor(executor)
        return executor

    def _is_awaited(self, executor: ExecutorState) -> bool:
        """Whether the shard waits for everything that may run on an executor to end."""
        awaited = executor.executor_id in self._state.awaiting_report_ids
        awaited |= executor.executor_id in self._state.awaiting_next_ids
        return awaited or bool(executor.attempts) or not executor.listed

    def _leases_expired(self, executor: ExecutorState, now: float) -> bool:
        """Whether all leases on an executor have expired, whichever owner granted them."""
        clock = executor.clock
        if clock:
            return self._has_expired(clock.leases_expired_at(), now)
        return self._has_expired(
            max(self._inherited_leases_expire_at, executor.leases_expire_at), now
        )

    def _has_expired(self, ended_at: float, now: float) -> bool:
        """Whether a lease with this end time has expired and no later owner can have renewed it."""
        return ended_at <= min(now, self._state.sole_owner_until)

    def _on_leases_expired(self, executor: ExecutorState, now: float) -> None:
        if executor.attempts:
            self._state.log(
                Event.LEASES_LAPSED,
                executor=executor.executor_id,
                runs=len(executor.attempts),
                silent_s=round(now - (executor.silent_since or now), 2),
            )
            # A network cut looks like a crash until the incarnation is known to have ended.
            self._state.keep_expired_attempts(executor, executor.attempts.values())
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
                self._state.close_attempt(attempt, now)


def _has_answered_since(executor: ExecutorState, since: float) -> bool:
    """Whether an executor answers and did so after the proof of its end, which is then wrong.

    A list of machines may be older than an executor's registration.
    """
    return executor.silent_since is None and executor.alive_at > since
