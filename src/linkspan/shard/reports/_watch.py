"""Looks at executors: their reports, their silence and their end."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import Unreachable, WrongIncarnation
from linkspan.shard.attempt import Phase
from linkspan.shard.colocation.pacing import Pacer
from linkspan.shard.machines import MachineWatch
from linkspan.shard.reports._restarts import answering

if TYPE_CHECKING:
    from linkspan.shard._context import TenureContext
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import ExecutorReport

GATHER_S = 0.06
"""Pause between two looks at an executor: ends that come within it are told
together. Objectives leave half a second and more beside the work itself."""

IDLE_WAIT_S = 2.0
"""How long a look waits for an end: the longest that executors grant."""

LOOKS_PER_LEASE = 6
"""Looks, each of which renews, that fit into the longest lease at the least."""

PACED_WAIT_S = 0.5
"""How long it waits where best-effort tasks run beside standing ones: the time
that a figure of their latency covers."""

FIGURES_APART_S = 0.25
"""Least time between figures of tasks that count, but for looks that waited: they are of the last
half second, and are told again by looks that follow each other at once."""

INITIAL_BACKOFF_S = 0.15
"""First pause after a call to an executor got no answer; doubled up to the next.
A recovery pauses as long when the store does not answer."""

MAX_BACKOFF_S = 0.6
"""Longest pause between calls to a silent executor."""

FIRST_REFRESH_S = 3.5
"""Longest wait for the job records behind an executor's first report: a slow link
brings a read in three seconds, and the shortest lease lasts six."""

MACHINES_S = 1.0
"""Time between looks at the machine service: an executor that crashed is found
sooner than by its silence, which takes up to three seconds."""

MACHINES_AGAIN_S = 0.25
"""The same where a list left out an executor that is silent: it takes a second list to
believe it, and what ran there waits for that."""


ACKNOWLEDGE_WITHIN_S = 0.2
"""Time after an executor's report within which it may be told to forget ends. A later call may
come to its next life, whose ends nobody has read; that one has begun, and ended, no run of ours
so soon after the report of the one before, unless a start is on its way there."""

ENDS_SOON_S = 0.4
"""Expected length of a run below which it may begin and end within that time: guesses are rough."""


def acknowledges(executor: ExecutorState, now: float) -> int:
    """Return the number up to which an executor may be told now to forget its ends.

    It is 0, which forgets nothing, also where there is nothing new. After a silence, a
    stand-still of this host or a claim an executor is asked first which life it is.
    """
    fresh = executor.silent_since is None and now - executor.answered_at <= ACKNOWLEDGE_WITHIN_S
    if not (fresh and executor.ack_pending):
        return 0
    if any(_may_come_and_end(attempt, now) for attempt in executor.attempts.values()):
        return 0
    return executor.acknowledged


def _may_come_and_end(attempt: Attempt, now: float) -> bool:
    """Whether a start is on its way whose run may have ended where the next look comes to."""
    if attempt.phase is Phase.STARTING:
        return True
    on_its_way = attempt.unanswered or attempt.start_may_arrive_until > now
    return on_its_way and attempt.task.step.expected_s < ENDS_SOON_S


class ExecutorWatch:
    """Keeps one look open at each executor and renews the leases there.

    Args:
        context: What the tenure works with.
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
        # By state and not by name: one that leaves the books may be back at once, under its name.
        self._watchers: dict[ExecutorState, asyncio.Task[None] | None] = {}
        self._cancelled = False
        self._entered = 0

    def __repr__(self) -> str:
        return f"ExecutorWatch(shard={self._shard})"

    def watch_all(self) -> None:
        """Watch each executor that the core knows, and no other."""
        if self._cancelled:
            return
        self._entered = self._core.membership_changes
        for executor in list(self._watchers.keys() - set(self._core.executors.values())):
            self._end_watch(self._watchers.pop(executor))
        for executor in self._core.executors.values():
            watcher = self._watchers.get(executor)
            if watcher is None or watcher.done():
                self._watchers[executor] = self._scope.spawn(self._watch(executor))

    def cancel(self) -> None:
        """Stop watching for good, without waiting for looks that are open."""
        self._cancelled = True
        for watcher in self._watchers.values():
            self._end_watch(watcher)

    def _end_watch(self, watcher: asyncio.Task[None] | None) -> None:
        if watcher:
            watcher.cancel()

    async def poll_once(self, executor: ExecutorState) -> None:
        """Ask an executor for its report now."""
        await self._look(executor, 0.0)

    async def machines_loop(self) -> None:
        """Find executors whose machine is gone, where a machine service tells."""
        watch = MachineWatch()
        while self._machines:
            suspects = watch.missed & self._silent()
            await asyncio.sleep(MACHINES_AGAIN_S if suspects else MACHINES_S)
            known = suspects or self._rostered()
            if not known:
                continue
            asked = steady()
            try:
                machines = await self._machines.machines()
            except Unreachable:
                # Only a help: leases tell in the end.
                continue
            for executor_id, since in watch.gone(machines, known, asked=asked).items():
                self._core.on_gone(executor_id, steady(), "machine lists it no more", since=since)
                self._follow_lives()
                self._changes.notify()

    def _rostered(self) -> set[str]:
        return {e.executor_id for e in self._core.executors.values() if e.rostered}

    def _silent(self) -> set[str]:
        executors = self._core.executors.values()
        return {e.executor_id for e in executors if e.silent_since is not None}

    async def _watch(self, executor: ExecutorState) -> None:
        pause = INITIAL_BACKOFF_S
        while self._core.executors.get(executor.executor_id) is executor:
            tells = executor.ack_pending
            if await self._look(executor, self._wait_for(executor)):
                pause = INITIAL_BACKOFF_S
                if not tells or executor.ack_pending or executor.unacked:
                    await self._settle(executor)
            else:
                await asyncio.sleep(pause)
                pause = min(2 * pause, MAX_BACKOFF_S)

    def _follow_lives(self) -> None:
        """Watch a life that was just found, and none that is over."""
        if self._entered != self._core.membership_changes:
            self.watch_all()

    def _wait_for(self, executor: ExecutorState) -> float:
        if not executor.has_reported or executor.silent_since is not None:
            return 0.0
        if executor.unacked or executor.ack_pending:
            # A look that tells an executor to forget ends may come to its next life. Where it
            # waited there, it would forget ends that nobody has read.
            return 0.0
        if executor.best_effort() and executor.standing():
            return PACED_WAIT_S
        return min(IDLE_WAIT_S, self._settings.bounds.max_lease_s / LOOKS_PER_LEASE)

    async def _look(self, executor: ExecutorState, wait_s: float) -> bool:
        asked = steady()
        acknowledged = acknowledges(executor, asked)
        until = None
        # A silent executor's lease must run out: it may hear us without being heard.
        if executor.clock and executor.silent_since is None and self._proof.may_act(asked):
            until = executor.clock.grant(self._settings.bounds.max_lease_s, asked)
        try:
            with self._calls.to(executor) as call:
                report = await call.renew(
                    executor.record.address,
                    executor.executor_id,
                    acknowledged=acknowledged,
                    until_s=until,
                    wait_s=wait_s,
                )
        except WrongIncarnation:
            self._core.on_gone(executor.executor_id, steady(), "another incarnation answers")
            self._follow_lives()
            self._changes.notify()
            return False
        except Unreachable as error:
            self._core.on_silent(executor.executor_id, steady(), cause=str(error))
            self._changes.notify()
            return False
        name = answering(executor.executor_id, report)
        if name != executor.executor_id:
            # It has not seen the token that it is to be asked under.
            self._core.on_incarnation_found(executor.executor_id, name, asked=asked, now=steady())
            self._follow_lives()
            return False
        executor.ack_delivered = max(executor.ack_delivered, acknowledged)
        executor.answered_at = steady()
        report = await self._known_part(report, first=not self._core.has_reported(name))
        now = steady()
        self._count_ends(name, report)
        self._core.on_report(executor.executor_id, report, asked=asked, now=now)
        if wait_s or now - executor.figures_at >= FIGURES_APART_S:
            executor.figures_at = now
            self._pacer.on_report(executor, now, time.time())
        self._follow_lives()
        self._changes.notify()
        return True

    async def _known_part(self, report: ExecutorReport, *, first: bool) -> ExecutorReport:
        """Return what a report says of jobs whose records were read up to it.

        A former owner may have started a job that was accepted just now: taken for
        unknown, it would be started once more when its record is read. It may also have
        ended a job and let the executor forget that: what the first report of an
        executor does not name counts as not run only by records read after it.
        """
        unknown = self._core.unknown(report.job_ids)
        if not unknown and not first:
            return report
        if first:
            read = await self._job_registry.refresh(max_age_s=0.0, timeout_s=FIRST_REFRESH_S)
        else:
            read = await self._job_registry.refresh(max_age_s=0.0)
        if read:
            return report
        return report.without(unknown)

    def _count_ends(self, executor_id: str, report: ExecutorReport) -> None:
        executor = self._core.executors.get(executor_id)
        seen = executor.last_handled_end if executor else 0
        for end in report.ended:
            if end.number > seen:
                self._metrics.count("ends", how=end.kind.value)

    async def _settle(self, executor: ExecutorState) -> None:
        """Wait until ends are durable, so that the next look does not list them again."""
        await asyncio.sleep(GATHER_S)
        executor.advance_acknowledged(steady())
        waited = GATHER_S
        while executor.unacked and waited < MAX_BACKOFF_S and not executor.withholds_end(steady()):
            await asyncio.sleep(GATHER_S / 2)
            waited += GATHER_S / 2
            executor.advance_acknowledged(steady())
