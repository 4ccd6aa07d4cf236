"""One host without its sockets: callers, job records and shard ownership in one event loop."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.events import Event
from linkspan.host._caller_context import CallerContext
from linkspan.host._claim_delay import ClaimDelay
from linkspan.host._submissions import Submissions
from linkspan.host.admission.admission import Admission
from linkspan.host.admission.job_outlook import HallLoad
from linkspan.host.admission.memory_limit import MemoryLimit
from linkspan.host.admission.standing_reservations import StandingReservations
from linkspan.host.caller_waits import CallerWaits
from linkspan.host.candidate import Candidate
from linkspan.host.executor_capacities import ExecutorCapacities
from linkspan.host.front import Front
from linkspan.host.refusals import Refusals
from linkspan.host.shards import ShardChooser
from linkspan.jobs.job_registry import JobRegistry
from linkspan.shard.operator.records import OperatorRecords
from linkspan.shard.registry import ExecutorRegistry
from linkspan.store.metered import MeteredStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from linkspan.events import EventLog
    from linkspan.host.caller_format import CallerFormat
    from linkspan.metrics import HostMetrics
    from linkspan.model.settings import HostSettings
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.machines import MachineService
    from linkspan.shard.messages import ExecutorRecord
    from linkspan.shard.operator.records import OperatorFormat
    from linkspan.shard.ownership.ownership import Claim, Owner
    from linkspan.shard.planning.advice import PolicyService
    from linkspan.shard.tenure import Executors, Tenure
    from linkspan.store.types import Partition, Store

OWNER_EXECUTORS_PAUSE_S = 0.5
"""Pause between reads of the executors' registrations while this host owns a shard, in seconds:
tasks must leave a draining executor within two seconds."""

OWNER_JOBS_PAUSE_S = 0.02
"""Pause between reads of the job records while this host owns a shard, in seconds: jobs must
start within tens of milliseconds."""

JOBS_PAUSE_S = 1.0
"""Pause between reads of the job records while this host owns no shard, in seconds. Requests of
callers trigger reads of their own."""

MAX_STORE_SILENCE_S = 1.5
"""Limits the time without an answer of the store after which the host reports itself not ready,
in seconds. The balancer itself removes a host after two seconds of silence."""

ADJUST_INTERVAL_S = 0.1
"""Interval between adjustments to what this host owns and has read, in seconds."""

IDLE_ADJUST_INTERVAL_S = 0.25
"""The same interval while the host owns no shard and may claim one, which is the state of most
hosts most of the time."""

DRAIN_CHECK_INTERVAL_S = 0.05
"""Interval between checks whether a drain is complete, in seconds."""


@dataclass(frozen=True)
class Adapter:
    """Clients and codecs with which a host accesses the platform.

    Attributes:
        store: The platform's store.
        executors: Returns a client of the executors for a fencing token.
        machines: Client of the machine service, ``None`` if there is none.
        policy: Client of the placement policy service, ``None`` if there is none.
        caller_format: Format of the requests and responses of callers.
        operator_format: Partition, keys and decoders of the operator's records.
        executor_records: Partition in which executors register.
        decode_executor: Decodes a registration of an executor.
    """

    store: Store
    executors: Callable[[int], Executors]
    machines: MachineService | None
    policy: PolicyService | None
    caller_format: CallerFormat
    operator_format: OperatorFormat
    executor_records: Partition
    decode_executor: Callable[[str, bytes], ExecutorRecord]


class Host:
    """One host: its caller interface, its views of the store and its shard candidates.

    Args:
        settings: Settings of the host.
        adapter: Access to the platform.
        incarnation: Incarnation of this process.
        log: Event log.
        metrics: Metrics of the host.
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
        self._claim_delay = ClaimDelay(loaded_s)
        self._executor_capacities = ExecutorCapacities(len(settings.halls))
        self.job_registry = JobRegistry(adapter.store, incarnation, log)
        self.executor_registry = ExecutorRegistry(
            adapter.store,
            adapter.executor_records,
            adapter.decode_executor,
            log,
            serves=self._serves,
        )
        self.operator_records = OperatorRecords(
            adapter.store, adapter.operator_format, settings.halls, log
        )
        self.configuration = self.operator_records.configuration
        shards = range(len(settings.halls))
        self.candidates = [self._make_candidate(shard, incarnation) for shard in shards]
        self.front = self._make_front(incarnation)
        self.executor_registry.follower.pause_s = OWNER_EXECUTORS_PAUSE_S
        self.executor_registry.pause()
        self.executor_registry.on_change = self._on_executors
        self.configuration.subscribe(lambda _configuration: self._on_executors())
        self.operator_records.evacuations.subscribe(self._on_evacuations)

    def __repr__(self) -> str:
        return f"Host({self._settings.name!r})"

    @property
    def caught_up(self) -> bool:
        """Whether the configuration and all job records have been read."""
        return self.configuration.current is not None and self.job_registry.follower.ready

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers to this host."""
        home = self.candidates[self._settings.shard]
        return (
            not self._draining
            and self.caught_up
            and steady() - home.last_response_at < MAX_STORE_SILENCE_S
        )

    async def run(self) -> None:
        """Run until cancelled.

        Raises:
            ExceptionGroup: A task failed.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self.operator_records.follower.run())
            group.create_task(self.job_registry.follower.run())
            group.create_task(self.job_registry.writer.run())
            group.create_task(self.executor_registry.follower.run())
            group.create_task(self.executor_registry.expire_loop())
            group.create_task(self._adjust_loop())
            for candidate in self.candidates:
                group.create_task(candidate.run())

    async def drain(
        self,
        *,
        notice_s: float,
        limit_s: float,
        refuse_new: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Leave the balancer, hand off shards and finish the requests in flight.

        Args:
            notice_s: Time for the balancer to notice that this host is not ready, in seconds.
            limit_s: Maximum time for the whole drain, in seconds; requests that wait for the
                store are answered by then.
            refuse_new: Called after the notice time to stop accepting requests, so that those in
                flight can run out.
        """
        started_at = steady()
        self._draining = True
        self.front.drain(until=started_at + limit_s)
        self._log.write(Event.DRAINING, in_flight=self.front.in_flight)
        await asyncio.gather(*(candidate.hand_off() for candidate in self.candidates))
        await asyncio.sleep(started_at + notice_s - steady())
        if refuse_new:
            await refuse_new()
        # A request that has just been read is counted as in flight a moment later.
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        while self.front.in_flight and steady() < started_at + limit_s:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    def _make_candidate(self, shard: int, incarnation: str) -> Candidate:
        return Candidate(
            self._adapter.store,
            shard=shard,
            host=self._settings.name,
            incarnation=incarnation,
            home=shard == self._settings.shard,
            make_tenure=self._make_tenure,
            log=self._log,
            claim_delay=self._claim_delay,
            on_summary=self._on_summary,
        )

    def _make_front(self, incarnation: str) -> Front:
        context = CallerContext(
            job_registry=self.job_registry,
            configuration=self.configuration,
            form=self._adapter.caller_format,
            waits=CallerWaits(),
            refusals=Refusals(self._log, self._metrics),
            log=self._log,
            metrics=self._metrics,
        )
        reservations = StandingReservations(self.job_registry.catalog)
        self.job_registry.subscribe(reservations.on_job)
        memory_limit = MemoryLimit(self.job_registry.catalog, self._settings.memory_mb)
        chooser = ShardChooser(
            self._settings,
            self._summary_of,
            evacuated=self._is_evacuated,
            accepted_elsewhere=reservations.accepted_elsewhere,
            has_memory=memory_limit.has_room,
        )
        submissions = Submissions(
            context,
            choose_shard=chooser.choose,
            memory_limit=memory_limit,
            admission=Admission(
                self._hall_loads, chooser.eligible_shards, reservations, memory_limit
            ),
            reservations=reservations,
            capacities=self._executor_capacities.of,
            incarnation=incarnation,
            max_record_bytes=self._settings.store.max_record_bytes,
        )
        return Front(context, submissions)

    def _make_tenure(self, owner: Owner, shard: int, claim: Claim) -> Tenure:
        # Imported on demand: most hosts never own a shard, and the import would slow each start.
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
            operator_records=self.operator_records,
            shard=shard,
            summary_of=self._summary_of,
            share_summary=self.candidates[shard].share_summary,
            log=self._log,
            metrics=self._metrics,
        )
        self.job_registry.follower.pause_s = OWNER_JOBS_PAUSE_S
        if not self._follows_executors:
            self._follows_executors = True
            self.executor_registry.resume()
        # Includes the tenure's own hall: a new owner continues from the previous owner's summary.
        for other in range(len(self._settings.halls)):
            if summary := self._summary_of(other):
                tenure.adopt(summary, former=other == shard)
        return tenure

    def _serves(self, service: str) -> bool:
        configuration = self.configuration.current
        return configuration is not None and service in configuration.services

    def _summary_of(self, shard: int) -> HallSummary | None:
        return self.candidates[shard].view.summary

    def _is_evacuated(self, hall: str) -> bool:
        return self.operator_records.evacuations.of(hall) is not None

    def _hall_loads(self) -> list[HallLoad]:
        """Return the loads of all halls, by number of the shard."""
        now = steady()
        return [
            HallLoad(
                hall, candidate.view.summary, candidate.summary_age_s(now), self._is_evacuated(hall)
            )
            for hall, candidate in zip(self._settings.halls, self.candidates, strict=True)
        ]

    async def _adjust_loop(self) -> None:
        """Adjust read intervals to whether this host owns a shard, and enable claims.

        Owners read often, since decisions wait for the records; other hosts read seldom, to save
        calls to the store.
        """
        while True:
            owning = any(candidate.tenure for candidate in self.candidates)
            self.job_registry.follower.pause_s = OWNER_JOBS_PAUSE_S if owning else JOBS_PAUSE_S
            if not owning and self._follows_executors:
                self._follows_executors = False
                self.executor_registry.pause()
            seeks_room = any(c.tenure and c.tenure.seeks_room for c in self.candidates)
            for candidate in self.candidates:
                candidate.read_closely(closely=seeks_room)
            may_claim = self.caught_up and not self._draining
            if may_claim:
                for candidate in self.candidates:
                    candidate.enable()
            await self._sleep_and_measure(
                IDLE_ADJUST_INTERVAL_S if may_claim and not owning else ADJUST_INTERVAL_S
            )

    async def _sleep_and_measure(self, pause_s: float) -> None:
        """Sleep, and record by how much the sleep overran."""
        started_at = steady()
        await asyncio.sleep(pause_s)
        self._claim_delay.record_lag(steady() - started_at - pause_s)

    def _on_summary(self, shard: int, summary: HallSummary) -> None:
        """Apply the summary of a hall to the known capacities and this host's tenures."""
        self._executor_capacities.add_summary(shard, summary)
        for candidate in self.candidates:
            if candidate.tenure:
                candidate.tenure.on_summary(shard, summary)

    def _on_evacuations(self, halls: frozenset[str]) -> None:
        evacuated = len(self.operator_records.evacuations.current)
        self._metrics.set_count("evacuated_halls", evacuated)
        for candidate, hall in zip(self.candidates, self._settings.halls, strict=True):
            if hall in halls:
                candidate.share_summary()

    def _on_executors(self) -> None:
        for candidate in self.candidates:
            if candidate.tenure:
                candidate.tenure.on_executors()
