"""Polls executors for their reports, renews their leases and detects their silence and end."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import Fenced, Unconnected, Unreachable, WrongIncarnation
from linkspan.shard.colocation.pacing import Pacer
from linkspan.shard.machines import MachineWatch
from linkspan.shard.reports._restarts import reporting_incarnation

if TYPE_CHECKING:
    from linkspan.shard._context import TenureContext
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import ExecutorReport

END_BATCH_S = 0.06
"""Pause between two polls of an executor, so that ends within it arrive in one report. Objectives
leave half a second or more beyond the work itself."""

MAX_POLL_WAIT_S = 2.0
"""Time for which an executor may hold a poll open until a run ends: the maximum that executors
grant."""

MIN_POLLS_PER_LEASE = 6
"""Minimum number of polls, each of which renews the lease, within the longest lease."""

PACED_POLL_WAIT_S = 0.5
"""Maximum poll wait at executors that run best-effort tasks together with standing ones: the time
that one latency figure of a standing task covers."""

MIN_FIGURES_INTERVAL_S = 0.25
"""Minimum time between two figures of an executor that count, except from polls that waited. A
figure covers the last half second, and polls in quick succession would count it repeatedly."""

INITIAL_BACKOFF_S = 0.15
"""First pause after an unanswered call to an executor; doubled up to ``MAX_BACKOFF_S``. Recovery
pauses for the same time when the store does not answer."""

MAX_BACKOFF_S = 0.6
"""Longest pause between calls to a silent executor."""

MAX_FIRST_REFRESH_S = 3.5
"""Longest wait for the job records that an executor's first report depends on: a slow link delivers
a read in three seconds, and the shortest lease lasts six."""

MACHINE_POLL_INTERVAL_S = 1.0
"""Time between polls of the machine service, which detects a crashed executor earlier than its
silence does: that takes up to three seconds."""

MACHINE_RECHECK_INTERVAL_S = 0.25
"""Time between polls after a list omitted a silent executor: only a second list confirms that the
machine is gone, and restarts of the runs there wait for it."""

CLOSE_POLL_INTERVAL_S = 0.03
"""Interval between close polls of an executor. Polls of an executor that is down overlap."""

CLOSE_POLL_LIMIT_S = 0.25
"""Limits the time that a close poll waits for its answer, so that at most nine are open: a host
opens twelve connections to an executor, and orders need some of them."""

CLOSE_POLL_SPACING_S = 0.005
"""Minimum time between any two close polls: after the crash of a whole hall hundreds of starts are
unanswered."""

CLOSE_POLL_CHECK_S = 0.1
"""Time between checks whether an executor has to be polled closely."""


class ExecutorWatch:
    """Keeps one poll open at each executor and renews the leases there.

    Args:
        context: Shared objects of the tenure.
    """

    def __init__(self, context: TenureContext) -> None:
        self._core = context.core
        self._job_registry = context.job_registry
        self._shard = context.shard
        self._settings = context.settings
        self._calls = context.calls
        self._machines = context.machines
        self._metrics = context.metrics
        self._scope = context.scope
        self._proof = context.proof
        self._changes = context.changes
        self._pacer = Pacer(self._core, self._core.interference)
        # Keyed by state, not by name: a removed executor may return at once under the same name.
        self._watchers: dict[ExecutorState, asyncio.Task[None] | None] = {}
        self._cancelled = False
        self._membership_seen = 0

    def __repr__(self) -> str:
        return f"ExecutorWatch(shard={self._shard})"

    def watch_all(self) -> None:
        """Watch each executor in the core's state, and stop watching all others."""
        if self._cancelled:
            return
        self._membership_seen = self._core.membership_changes
        for executor in list(self._watchers.keys() - set(self._core.executors.values())):
            self._end_watch(self._watchers.pop(executor))
        for executor in self._core.executors.values():
            watcher = self._watchers.get(executor)
            if watcher is None or watcher.done():
                self._watchers[executor] = self._scope.spawn(self._watch(executor))

    def cancel(self) -> None:
        """Stop watching for good, without waiting for open polls."""
        self._cancelled = True
        for watcher in self._watchers.values():
            self._end_watch(watcher)

    def _end_watch(self, watcher: asyncio.Task[None] | None) -> None:
        if watcher:
            watcher.cancel()

    async def poll_once(self, executor: ExecutorState) -> None:
        """Poll an executor for its report now."""
        await self._poll(executor, 0.0)

    async def poll_closely_loop(self) -> None:
        """Poll executors in quick succession to which an abandoned start may still arrive.

        A next incarnation refuses that start from its first call on.
        """
        while not self._cancelled:
            executors = self._core.executors_to_poll_closely(steady())
            for executor in executors:
                self._scope.spawn(self._poll_closely(executor))
            spacing_s = len(executors) * CLOSE_POLL_SPACING_S
            interval_s = max(CLOSE_POLL_INTERVAL_S, spacing_s) if executors else CLOSE_POLL_CHECK_S
            await asyncio.sleep(interval_s)

    async def _poll_closely(self, executor: ExecutorState) -> None:
        await self._poll(executor, 0.0, limit_s=CLOSE_POLL_LIMIT_S)

    async def poll_machines_loop(self) -> None:
        """Detect executors whose machine is gone, if the platform has a machine service."""
        tracker = MachineWatch()
        while self._machines:
            suspects = tracker.missing & self._silent()
            await asyncio.sleep(MACHINE_RECHECK_INTERVAL_S if suspects else MACHINE_POLL_INTERVAL_S)
            known = suspects or self._rostered()
            if not known:
                continue
            asked = steady()
            try:
                machines = await self._machines.machines()
            except Unreachable:
                # The machine service only speeds up detection; expired leases are sufficient.
                continue
            for executor_id, since in tracker.find_ended(machines, known, asked=asked).items():
                self._core.on_incarnation_ended(
                    executor_id, steady(), "machine service no longer lists it", since=since
                )
                self.watch_new_incarnations()
                self._changes.notify()

    def _rostered(self) -> set[str]:
        return {e.executor_id for e in self._core.executors.values() if e.rostered}

    def _silent(self) -> set[str]:
        executors = self._core.executors.values()
        return {e.executor_id for e in executors if e.silent_since is not None}

    async def _watch(self, executor: ExecutorState) -> None:
        pause = INITIAL_BACKOFF_S
        while self._core.executors.get(executor.executor_id) is executor:
            acknowledging = executor.ack_pending
            if await self._poll(executor, self._poll_wait_s(executor)):
                pause = INITIAL_BACKOFF_S
                if not acknowledging or executor.ack_pending or executor.unacked:
                    await self._wait_for_acknowledgements(executor)
            else:
                await asyncio.sleep(pause)
                pause = min(2 * pause, MAX_BACKOFF_S)

    def watch_new_incarnations(self) -> None:
        """Watch incarnations that were just found, and stop watching those that have ended."""
        if self._membership_seen != self._core.membership_changes:
            self.watch_all()

    def _poll_wait_s(self, executor: ExecutorState) -> float:
        if not executor.has_reported or executor.silent_since is not None:
            return 0.0
        if executor.unacked or executor.ack_pending:
            # A poll that acknowledges ends may reach the next incarnation. If the poll waited
            # there, it would acknowledge ends that nobody has read.
            return 0.0
        if executor.best_effort() and executor.latency_targeted():
            return PACED_POLL_WAIT_S
        return min(MAX_POLL_WAIT_S, self._settings.bounds.max_lease_s / MIN_POLLS_PER_LEASE)

    async def _poll(
        self, executor: ExecutorState, wait_s: float, *, limit_s: float | None = None
    ) -> bool:
        """Poll an executor, and return whether it reported.

        Args:
            executor: The executor.
            wait_s: Time for which it may wait for an end.
            limit_s: Limits the time until the answer; an executor without an answer by then does
                not count as silent. Such a poll acknowledges no ends. ``None`` for the usual limit
                of calls, after which the executor counts as silent.
        """
        asked = steady()
        address = executor.record.address
        # Most close polls are in vain, and some reach an incarnation whose ends nobody has read.
        acknowledged = 0
        if limit_s is None:
            acknowledged = self._core.acknowledgements.acknowledgeable_end(executor, asked)
        try:
            async with asyncio.timeout(limit_s):
                report = await self._renew(executor, acknowledged, wait_s, asked)
        except TimeoutError:
            return False
        except WrongIncarnation:
            self._core.on_other_answered(executor.executor_id, address, steady())
            self.watch_new_incarnations()
            self._changes.notify()
            return False
        except Unreachable as error:
            if limit_s is None:
                self._core.on_silent(executor.executor_id, steady(), cause=str(error))
                self._changes.notify()
            return False
        if executor.record.address != address:
            # The registration was replaced meanwhile; who is at the new address is not known yet.
            return False
        name = reporting_incarnation(executor.executor_id, report)
        if name != executor.executor_id:
            # The new incarnation has not yet seen its own fencing token and must be polled under
            # it.
            self._core.on_incarnation_found(executor.executor_id, name, asked=asked, now=steady())
            self.watch_new_incarnations()
            return False
        executor.ack_delivered = max(executor.ack_delivered, acknowledged)
        report = await self._without_unread_jobs(report, first=self._depends_on_jobs(name, report))
        if executor.record.address != address:
            return False
        now = steady()
        self._count_ends(name, report)
        self._core.on_report(executor.executor_id, report, asked=asked, now=now)
        if wait_s or now - executor.usage_applied_at >= MIN_FIGURES_INTERVAL_S:
            executor.usage_applied_at = now
            self._pacer.on_report(executor, now, time.time())
        self.watch_new_incarnations()
        self._changes.notify()
        return True

    async def _renew(
        self, executor: ExecutorState, acknowledged: int, wait_s: float, asked: float
    ) -> ExecutorReport:
        """Call an executor for its report, and track the call if it acknowledges ends.

        Raises:
            Fenced, WrongIncarnation, Unreachable: As for :meth:`Executors.renew`.
        """
        until = None
        # Do not renew a silent executor's lease, so that it expires: the executor may receive polls
        # although its answers are lost.
        if executor.clock and executor.silent_since is None and self._proof.may_act(asked):
            until = executor.clock.grant(self._settings.bounds.max_lease_s, asked)
        sent = self._core.acknowledgements.send(executor, acknowledged, asked)
        try:
            with self._calls.to(executor) as call:
                report = await call.renew(
                    executor.record.address,
                    executor.executor_id,
                    acknowledged=acknowledged,
                    until_s=until,
                    wait_s=wait_s,
                )
        except (Fenced, Unconnected, WrongIncarnation):
            # The call was refused, so it is certainly not carried out later.
            self._core.acknowledgements.on_refused(sent)
            raise
        except BaseException:
            # Also where the poll is cancelled: the call may be on its way.
            self._core.acknowledgements.on_unanswered(sent, steady())
            raise
        else:
            answered_by = reporting_incarnation(executor.executor_id, report)
            self._core.acknowledgements.on_answered(sent, steady(), by=answered_by)
            return report
        finally:
            if sent:
                self._changes.acknowledgement_ended()

    def _depends_on_jobs(self, executor_id: str, report: ExecutorReport) -> bool:
        """Return whether a report is an executor's first one and tells of runs, or omits some.

        The first report of a new executor, which may have received no start, does neither.
        """
        if self._core.has_reported(executor_id):
            return False
        return bool(report.job_ids) or self._core.first_report_may_omit_runs(executor_id)

    async def _without_unread_jobs(self, report: ExecutorReport, *, first: bool) -> ExecutorReport:
        """Return the part of a report on jobs whose records are read up to the report.

        A former owner may have started a job that was accepted just now. If its run were treated as
        unknown, the job would be started again when its record is read. A former owner may also
        have finished a job and acknowledged its ends: a run that an executor's first report omits
        counts as not started only by job records read after that report.

        Args:
            report: The report.
            first: Whether it is an executor's first report, of which this holds.
        """
        unknown = self._core.unknown_jobs(report.job_ids)
        if not unknown and not first:
            return report
        if first:
            read = await self._job_registry.refresh(max_age_s=0.0, timeout_s=MAX_FIRST_REFRESH_S)
        else:
            read = await self._job_registry.refresh(max_age_s=0.0)
        if read:
            return report
        return report.without(unknown)

    def _count_ends(self, executor_id: str, report: ExecutorReport) -> None:
        executor = self._core.executors.get(executor_id)
        last_handled = executor.last_handled_end if executor else 0
        for end in report.ended:
            if end.number > last_handled:
                self._metrics.count("ends", how=end.kind.value)

    async def _wait_for_acknowledgements(self, executor: ExecutorState) -> None:
        """Wait until ends may be acknowledged, so that the next poll does not list them again."""
        await asyncio.sleep(END_BATCH_S)
        executor.advance_acknowledged(steady())
        waited = END_BATCH_S
        while self._awaits_acknowledgement(executor) and waited < MAX_BACKOFF_S:
            await asyncio.sleep(END_BATCH_S / 2)
            waited += END_BATCH_S / 2
            executor.advance_acknowledged(steady())

    def _awaits_acknowledgement(self, executor: ExecutorState) -> bool:
        """Whether ends wait for their record, or acknowledgements for a higher fencing token."""
        if executor.unacked:
            return not executor.withholds_end(steady())
        return self._core.acknowledgements.lacks_token(executor)
