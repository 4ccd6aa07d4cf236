"""One host without its sockets: entry, job records, ownership, all in one loop."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.events import Event
from linkspan.host._slowness import Slowness
from linkspan.host.candidate import Candidate
from linkspan.host.front import Front
from linkspan.host.shards import ShardChooser
from linkspan.host.sizes import ExecutorSizes
from linkspan.jobs.job_registry import JobRegistry
from linkspan.shard.registry import ConfigurationWatch, ExecutorRegistry
from linkspan.store.metered import MeteredStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from linkspan.events import EventLog
    from linkspan.host.front import CallerFormat
    from linkspan.metrics import HostMetrics
    from linkspan.model.configuration import Configuration
    from linkspan.model.settings import HostSettings
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.machines import MachineService
    from linkspan.shard.messages import ExecutorRecord
    from linkspan.shard.ownership.ownership import Claim, Owner
    from linkspan.shard.planning.advice import PolicyService
    from linkspan.shard.tenure import Executors, Tenure
    from linkspan.store.types import Partition, Store

OWNER_LISTING_PAUSE_S = 0.5
"""Pause between readings of the executors' registrations where this host owns a
shard: an executor that drains is to be left within two seconds."""

OWNER_JOBS_PAUSE_S = 0.02
"""Pause between readings of the job records by an owner: jobs are to start within
tens of milliseconds."""

JOBS_PAUSE_S = 1.0
"""The same elsewhere; callers' questions read at once."""

STORE_LOST_S = 1.5
"""Time without the store after which this host calls itself not ready: the
balancer's own limit is two seconds of silence."""

ADAPT_S = 0.1
"""Time between checks of what this host owns and knows."""

IDLE_ADAPT_S = 0.25
"""The same while it owns nothing and may claim: most hosts do so most of the time."""

DRAIN_TICK_S = 0.05
"""Time between checks whether a drain is over."""


@dataclass(frozen=True)
class Adapter:
    """What a host needs of the platform's manner of speaking.

    Attributes:
        store: The platform's store.
        executors: Makes calls to executors under a fencing token.
        machines: The machine service, ``None`` where there is none.
        policy: The placement policies' service, ``None`` where there is none.
        bodies: Form of what callers send and get.
        configuration_records: Where the operator writes.
        configuration_key: Key of the configuration there.
        executor_records: Where executors register themselves.
        decode_configuration: Decodes the operator's record.
        decode_executor: Decodes an executor's record.
    """

    store: Store
    executors: Callable[[int], Executors]
    machines: MachineService | None
    policy: PolicyService | None
    bodies: CallerFormat
    configuration_records: Partition
    configuration_key: bytes
    executor_records: Partition
    decode_configuration: Callable[[bytes], Configuration]
    decode_executor: Callable[[str, bytes], ExecutorRecord]


class Host:
    """Everything that one host decides and keeps.

    Args:
        settings: The host's settings.
        adapter: The platform.
        incarnation: Life of this process.
        log: Where events go.
        metrics: Where counts and times go.
        loaded_s: Time that the program took to load, in seconds.
    """

    def __init__(
        self,
        settings: HostSettings,
        adapter: Adapter,
        *,
        incarnation: str,
        log: EventLog,
        metrics: HostMetrics,
        loaded_s: float = 0.0,
    ) -> None:
        self._settings = settings
        self._adapter = replace(adapter, store=MeteredStore(adapter.store, metrics))
        self._metrics = metrics
        adapter = self._adapter
        self._log = log
        self._draining = False
        self._follows_executors = False
        self._slowness = Slowness(loaded_s)
        self._sizes = ExecutorSizes(len(settings.halls))
        self.job_registry = JobRegistry(adapter.store, incarnation, log)
        self.executor_registry = ExecutorRegistry(
            adapter.store,
            adapter.executor_records,
            adapter.decode_executor,
            log,
            serves=self._serves,
        )
        self.configuration = ConfigurationWatch(
            adapter.store,
            adapter.configuration_records,
            adapter.configuration_key,
            adapter.decode_configuration,
            log,
        )
        self.candidates = [
            Candidate(
                adapter.store,
                shard=shard,
                host=settings.name,
                incarnation=incarnation,
                home=shard == settings.shard,
                make_tenure=self._make_tenure,
                log=log,
                slowness=self._slowness,
                on_summary=self._on_summary,
            )
            for shard in range(len(settings.halls))
        ]
        self.front = Front(
            self.job_registry,
            self.configuration,
            adapter.bodies,
            choose_shard=ShardChooser(settings, self._summary_of).choose,
            capacities=self._sizes.of,
            incarnation=incarnation,
            log=log,
            metrics=metrics,
        )
        self.executor_registry.follower.pause_s = OWNER_LISTING_PAUSE_S
        self.executor_registry.pause()
        self.executor_registry.on_change = self._on_executors
        self.configuration.subscribe(lambda _configuration: self._on_executors())

    def __repr__(self) -> str:
        return f"Host({self._settings.name!r})"

    @property
    def knows_all(self) -> bool:
        """Whether the configuration and the jobs were read once."""
        return self.configuration.current is not None and self.job_registry.follower.ready

    @property
    def ready(self) -> bool:
        """Whether callers are served best here."""
        home = self.candidates[self._settings.shard]
        return (
            not self._draining
            and self.knows_all
            and steady() - home.last_response_at < STORE_LOST_S
        )

    async def run(self) -> None:
        """Run until cancelled.

        Raises:
            ExceptionGroup: A task ended by an error.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self.configuration.follower.run())
            group.create_task(self.job_registry.follower.run())
            group.create_task(self.job_registry.writer.run())
            group.create_task(self.executor_registry.follower.run())
            group.create_task(self.executor_registry.expire_loop())
            group.create_task(self._adapt())
            for candidate in self.candidates:
                group.create_task(candidate.run())

    async def drain(
        self,
        *,
        notice_s: float,
        limit_s: float,
        refuse_new: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Leave the balancer, hand shards on and finish what is in flight.

        Args:
            notice_s: Time for the balancer to see that this host is not ready.
            limit_s: Longest time that all of it may take; what waits for the store is
                answered by then.
            refuse_new: Called after the notice; from then on no request may come in, so
                that what is in flight runs dry.
        """
        began = steady()
        self._draining = True
        self.front.drain(until=began + limit_s)
        self._log.write(Event.DRAINING, in_flight=self.front.in_flight)
        await asyncio.gather(*(candidate.hand_off() for candidate in self.candidates))
        await asyncio.sleep(began + notice_s - steady())
        if refuse_new:
            await refuse_new()
        # What was read just now counts as in flight a moment later.
        await asyncio.sleep(DRAIN_TICK_S)
        while self.front.in_flight and steady() < began + limit_s:
            await asyncio.sleep(DRAIN_TICK_S)

    def _make_tenure(self, owner: Owner, shard: int, claim: Claim) -> Tenure:
        # Most hosts never own a shard; each start of theirs would load all that it takes.
        from linkspan.shard.tenure import Tenure

        tenure = Tenure(
            owner,
            claim,
            settings=self._settings,
            store=self._adapter.store,
            executors=self._adapter.executors,
            machines=self._adapter.machines,
            policy=self._adapter.policy,
            job_registry=self.job_registry,
            executor_registry=self.executor_registry,
            configuration=self.configuration,
            shard=shard,
            summary_of=self._summary_of,
            log=self._log,
            metrics=self._metrics,
        )
        self.job_registry.follower.pause_s = OWNER_JOBS_PAUSE_S
        if not self._follows_executors:
            self._follows_executors = True
            self.executor_registry.resume()
        # Also of this hall itself: a new owner goes on with what its predecessor told.
        for told in range(len(self._settings.halls)):
            if summary := self._summary_of(told):
                tenure.adopt(summary)
        return tenure

    def _serves(self, service: str) -> bool:
        configuration = self.configuration.current
        return configuration is not None and service in configuration.services

    def _summary_of(self, shard: int) -> HallSummary | None:
        return self.candidates[shard].view.summary

    async def _adapt(self) -> None:
        """Read often where a decision waits for it, seldom elsewhere, to save calls."""
        while True:
            owning = any(candidate.tenure for candidate in self.candidates)
            self.job_registry.follower.pause_s = OWNER_JOBS_PAUSE_S if owning else JOBS_PAUSE_S
            if not owning and self._follows_executors:
                self._follows_executors = False
                self.executor_registry.pause()
            may_claim = self.knows_all and not self._draining
            if may_claim:
                for candidate in self.candidates:
                    candidate.enable()
            await self._rest(IDLE_ADAPT_S if may_claim and not owning else ADAPT_S)

    async def _rest(self, pause_s: float) -> None:
        """Sleep, and observe by how much that takes too long."""
        began = steady()
        await asyncio.sleep(pause_s)
        self._slowness.note_lag(steady() - began - pause_s)

    def _on_summary(self, shard: int, summary: HallSummary) -> None:
        """Take in what a hall tells, and have the shards of this host learn from it."""
        self._sizes.note(shard, summary)
        for candidate in self.candidates:
            if candidate.tenure:
                candidate.tenure.adopt(summary)

    def _on_executors(self) -> None:
        for candidate in self.candidates:
            if candidate.tenure:
                candidate.tenure.on_executors()
