"""One tenure of a shard: runs the components that do the I/O and drive the core.

The components share a context and have a module each: ``_recovery`` (state left by the previous
owner), ``_feed`` (changes of jobs), ``_dispatch`` (plans and orders), ``_watch`` (polls of
executors), ``_records`` (writes of records), ``_handovers`` (work for other halls), ``_room_news``
(room that other halls seek), ``_advice_requester`` (tickets of placement policies),
``_standing_waits`` (why standing tasks do not run), ``_passed_over`` (steps that wait while other
work starts), ``_unlisted_runs`` (runs that no report lists), ``_unmanaged_tasks`` (tasks between
two halls) and ``_proof`` (proof of ownership).
``_scope`` runs their loops, and ``_changes`` wakes them.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import Fenced, LinkspanError, ProducerFenced, ProducerGap
from linkspan.events import Event
from linkspan.shard._changes import Changes
from linkspan.shard._context import TenureContext
from linkspan.shard._open_work import OpenWork
from linkspan.shard.colocation._effect_selector import EffectSelector
from linkspan.shard.core import ShardCore
from linkspan.shard.handover._completions import Completions
from linkspan.shard.handover._handovers import Handovers
from linkspan.shard.handover._room_news import RoomNews
from linkspan.shard.handover._staying_work import StayingWork
from linkspan.shard.handover._unmanaged_tasks import UnmanagedTasks
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.intake._feed import JobFeed
from linkspan.shard.orders._calls import ExecutorCalls
from linkspan.shard.orders._dispatch import Dispatcher
from linkspan.shard.ownership._proof import OwnershipProof, TenureLost
from linkspan.shard.ownership._scope import TaskScope
from linkspan.shard.planning._advice_requester import AdviceRequester
from linkspan.shard.planning._passed_over import PassedOver
from linkspan.shard.planning._standing_waits import StandingWaits
from linkspan.shard.recovery._recorded_starts import RecordedStarts, is_unrecorded
from linkspan.shard.recovery._records import RecordWriter
from linkspan.shard.recovery._recovery import Recovery
from linkspan.shard.reports._unlisted_runs import UnlistedRuns
from linkspan.shard.reports._watch import ExecutorWatch
from linkspan.store.types import Partition
from linkspan.store.writer import GroupWriter

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.events import EventLog
    from linkspan.jobs.job_registry import JobRegistry
    from linkspan.metrics import HostMetrics
    from linkspan.model.configuration import Configuration
    from linkspan.model.settings import HostSettings
    from linkspan.shard._context import Executors
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.machines import MachineService
    from linkspan.shard.operator.records import OperatorRecords
    from linkspan.shard.ownership.ownership import Claim, Owner
    from linkspan.shard.planning.advice import PolicyService
    from linkspan.shard.registry import ExecutorRegistry
    from linkspan.store.types import Store

__all__ = ["Executors", "Tenure", "TenureLost"]

TICK_S = 0.1
"""Interval between checks of conditions that depend on time alone."""


class Tenure:
    """Runs a shard from its claim until another owner is found.

    Args:
        owner: The store's record of this tenure.
        claim: Details of this host's claim.
        settings: The host's settings.
        store: The platform's store.
        executors: Makes calls to executors under a fencing token.
        machines: Client of the machine service, ``None`` where the platform has none.
        policy: Client of the placement policies' service, ``None`` where the platform has none.
        job_registry: All jobs known to this host.
        executor_registry: The registered executors.
        operator_records: Source of the configuration and the evacuations in force.
        shard: Number of the shard.
        summary_of: Returns the summary that the owner of a shard last published.
        share_summary: Publishes this hall's summary at once.
        log: Event log.
        metrics: The host's metrics.
    """

    def __init__(
        self,
        owner: Owner,
        claim: Claim,
        *,
        settings: HostSettings,
        store: Store,
        executors: Callable[[int], Executors],
        machines: MachineService | None,
        policy: PolicyService | None,
        job_registry: JobRegistry,
        executor_registry: ExecutorRegistry,
        operator_records: OperatorRecords,
        shard: int,
        summary_of: Callable[[int], HallSummary | None],
        share_summary: Callable[[], None],
        log: EventLog,
        metrics: HostMetrics,
    ) -> None:
        core = ShardCore(
            shard, settings.bounds, log=log.write, token=owner.token, count=metrics.count
        )
        partition = Partition("progress", shard, keyed=True)
        self._owner = owner
        self._shard = shard
        self._job_registry = job_registry
        self._executor_registry = executor_registry
        self._operator_records = operator_records
        self._log = log
        self._core = core
        self._writer = GroupWriter(store, partition, name="owner", epoch=owner.token)
        self._effect_selector = EffectSelector()
        self._changes = Changes(core)
        self._scope = TaskScope()
        self._proof = OwnershipProof(
            shard, claim.sent_at, freeze_s=settings.bounds.freeze_s, log=log
        )
        core.sole_owner_until = self._proof.sole_owner_until
        context = TenureContext(
            shard=shard,
            token=owner.token,
            settings=settings,
            store=store,
            partition=partition,
            writer=self._writer,
            calls=ExecutorCalls(executors, core.token_outdated),
            machines=machines,
            job_registry=job_registry,
            executor_registry=executor_registry,
            operator_records=operator_records,
            log=log,
            metrics=metrics,
            core=core,
            changes=self._changes,
            scope=self._scope,
            proof=self._proof,
        )
        self._hall = context.hall
        self._records = RecordWriter(context)
        self._watch = ExecutorWatch(context)
        self._dispatcher = Dispatcher(context, self._watch)
        self._handovers = Handovers(context, summary_of)
        self._room_news = RoomNews(core, self._handovers.other_summaries, share_summary)
        self._completions = Completions(context)
        self._advice_requester = AdviceRequester(context, policy)
        self._standing_waits = StandingWaits(context, self._handovers.other_summaries)
        self._staying_work = StayingWork(
            context, self._handovers.rebalancer.stay_reason, self._handovers.other_summaries
        )
        self._passed_over = PassedOver(context)
        self._unlisted_runs = UnlistedRuns(context)
        self._unmanaged_tasks = UnmanagedTasks(context)
        self._open_work = OpenWork(context)
        self._feed = JobFeed(context)
        self._recovery = Recovery(context, self._feed, self._handovers, self._watch, claim)
        self._recorded_starts = RecordedStarts(core, known=claim.standing_starts_recorded)

    def __repr__(self) -> str:
        return f"Tenure(shard={self._shard}, token={self._owner.token})"

    @property
    def core(self) -> ShardCore:
        """The shard's state and decisions."""
        return self._core

    @property
    def seeks_room(self) -> bool:
        """Whether a standing task has waited here for a while and could use room elsewhere."""
        return self._handovers.rebalancer.seeks_room

    @property
    def standing_starts_recorded(self) -> bool:
        """Whether standing tasks without an attempt on record were started nowhere."""
        return self._recorded_starts.known

    def on_renewal_confirmed(self, at: float, *, token_limit: int = 0) -> None:
        """Record a proof that this tenure owned the shard at a steady time.

        Args:
            at: Steady time at which the store had no other owner.
            token_limit: Highest fencing token that belongs to this tenure.
        """
        self._proof.proved(at)
        self._core.tokens.raise_limit(token_limit)
        self._core.sole_owner_until = self._proof.sole_owner_until

    def may_act(self, now: float) -> bool:
        """Return whether orders may be sent.

        After a freeze of this process there may be another owner, so a new proof is required first.
        """
        return self._proof.may_act(now)

    async def run(self) -> None:
        """Recover the shard and run it until cancelled.

        Raises:
            TenureLost: Another owner was found.
        """
        scope = self._scope
        unsubscribers = [
            self._job_registry.subscribe(self._on_job),
            self._operator_records.configuration.subscribe(self._on_configuration),
            self._operator_records.evacuations.subscribe(self._on_evacuations),
        ]
        try:
            async with asyncio.TaskGroup() as group:
                scope.enter(group)
                scope.spawn(self._writer.run())
                await self._recovery.recover()
                scope.spawn(self._proof.watch_freeze())
                scope.spawn(self._dispatcher.plan_loop())
                scope.spawn(self._records.flush_loop())
                scope.spawn(self._records.record_answers_loop())
                scope.spawn(self._records.finish_loop())
                scope.spawn(self._records.record_started_jobs_loop())
                scope.spawn(self._records.prune_loop())
                scope.spawn(self._handovers.rebalance_loop())
                scope.spawn(self._room_news.publish_loop())
                scope.spawn(self._completions.announce_loop())
                scope.spawn(self._watch.poll_machines_loop())
                scope.spawn(self._watch.poll_closely_loop())
                scope.spawn(self._advice_requester.run())
                scope.spawn(self._standing_waits.report_loop())
                scope.spawn(self._staying_work.report_loop())
                scope.spawn(self._passed_over.report_loop())
                scope.spawn(self._unlisted_runs.report_loop())
                scope.spawn(self._unmanaged_tasks.report_loop())
                scope.spawn(self._open_work.report_loop())
                scope.spawn(self._tick_loop())
        except* (Fenced, ProducerFenced, ProducerGap, TenureLost) as errors:
            raise TenureLost(f"shard {self._shard}: {errors.exceptions[0]}") from errors
        finally:
            scope.end()
            for unsubscribe in unsubscribers:
                unsubscribe()

    async def hand_off(self, limit_s: float) -> bool:
        """Stop sending orders and write all pending records, within a time limit.

        Returns:
            Whether all starts that this tenure and those before it have sent are on record.
        """
        self._proof.stop()
        self._watch.cancel()
        # No start is sent any more. Those that were have changed these versions before.
        versions = self._core.record_versions()
        try:
            async with asyncio.timeout(limit_s):
                await self._records.flush()
                while any(is_unrecorded(run, version) for run, version in versions.items()):
                    await self._changes.next_stored()
        except (TimeoutError, LinkspanError) as error:
            # The next owner learns what is not on record from the executors' reports.
            self._log.write(Event.OWNER_HANDED_ON, shard=self._shard, left=repr(error))
            return False
        return self._recovery.done and self._core.knows_all_starts(steady())

    def on_executors(self) -> None:
        """Apply a change of the executors' registrations."""
        if not self._recovery.done:
            return
        self._core.list_executors(
            self._executor_registry.executors(self._hall),
            steady(),
            missing=self._executor_registry.missing,
        )
        self._watch.watch_all()
        self._changes.notify()

    def summary(self) -> HallSummary:
        """Return the hall's state to publish to other hosts, with selected interference effects."""
        effects = self._effect_selector.select(self._core.interference.effects())
        speeds = self._core.health.speeds.published()
        summary = summarize(self._core, steady(), wall=time.time())
        sought = self._handovers.rebalancer.sought
        return replace(summary, effects=effects, speeds=speeds, sought=sought)

    def adopt(self, summary: HallSummary, *, former: bool = False) -> None:
        """Add what the owner of another hall, or the former owner of this one, has published.

        Args:
            summary: The published summary.
            former: Whether it is the last one of this hall's former owner, whose speeds are then
                taken over. Later summaries of the hall are this owner's own.
        """
        self._core.interference.adopt(summary.effects, steady())
        if former:
            self._core.health.speeds.adopt(summary.speeds, steady())

    def on_summary(self, shard: int, summary: HallSummary) -> None:
        """Apply a new summary of a hall."""
        self.adopt(summary)
        self._handovers.on_summary(shard, summary)

    def _on_job(self, job_id: str) -> None:
        if self._recovery.done:
            self._feed.on_job(job_id)

    def _on_configuration(self, configuration: Configuration) -> None:
        self._core.configure(configuration)
        self._changes.notify()

    def _on_evacuations(self, halls: frozenset[str]) -> None:
        if self._recovery.done and self._hall in halls:
            self._core.evacuate(self._operator_records.evacuations.of(self._hall), steady())
            self._changes.notify()

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = steady()
            self._core.tick(now)
            self._recorded_starts.tick(now)
            self._watch.watch_new_incarnations()
            self._proof.check(now)
            if self._core.ready or self._core.orders or self._core.jobs:
                self._changes.wake.set()
