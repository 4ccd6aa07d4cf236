"""One tenure of a shard: its tasks own the sockets and drive the core."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol, TypeVar

from linkspan.errors import (
    Fenced,
    LinkspanError,
    ProducerFenced,
    ProducerGap,
    RecordError,
    StoreRefused,
    StoreUnanswered,
    Unreachable,
    WrongIncarnation,
)
from linkspan.events import Event
from linkspan.jobs.records import Begun, Dropped, Finished, JobRecord, Lent, Loan, Moved, Returned
from linkspan.shard.core import ShardCore
from linkspan.shard.leases import inherited_lapse
from linkspan.shard.machines import MachineWatch
from linkspan.shard.messages import (
    ExecutorRecord,
    ExecutorReport,
    PaceOrder,
    StartAnswer,
    StartOrder,
    StopOrder,
    can_run,
)
from linkspan.shard.ownership import OFFLINE_S
from linkspan.shard.pacing import Pacer
from linkspan.shard.planner import Planner, summarize
from linkspan.shard.progress import (
    ROSTER_KEY,
    RunKey,
    decode_roster,
    encode_moved,
    encode_roster,
    encode_run,
    key_of,
    moved_to,
    parse_key,
)
from linkspan.shard.rebalance import Rebalancer
from linkspan.store.types import Partition, Record
from linkspan.store.writer import GroupWriter

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from linkspan.events import EventLog
    from linkspan.host.configuration import Configuration
    from linkspan.host.job_book import JobBook
    from linkspan.host.metrics import HostMetrics
    from linkspan.host.registry import ConfigurationWatch, ExecutorRegistry
    from linkspan.host.settings import HostSettings
    from linkspan.jobs.catalog import JobEntry
    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.core import Order
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.machines import MachineService
    from linkspan.shard.ownership import Owner
    from linkspan.shard.rebalance import Handover
    from linkspan.shard.state import JobRun
    from linkspan.shard.summary import HallSummary
    from linkspan.store.types import Store

GATHER_S = 0.06
"""Pause between two looks at an executor: ends that come within it are told
together. Objectives leave half a second and more beside the work itself."""

FLUSH_S = 0.06
"""Time for which changes of progress are gathered into one append."""

PLAN_DELAY_S = 0.004
"""Time for which news is gathered before a plan is made."""

TICK_S = 0.1
"""Time between checks of what only time changes."""

IDLE_WAIT_S = 2.0
"""How long a look waits for an end: the longest that executors grant."""

PACED_WAIT_S = 0.5
"""How long it waits where best-effort tasks run beside standing ones: the time
that a figure of their latency covers."""

RETRY_S = 0.15
"""First pause after a call to an executor got no answer; doubled up to the next."""

MAX_RETRY_S = 0.6
"""Longest pause between calls to a silent executor."""

MACHINES_S = 1.0
"""Time between looks at the machine service: an executor that crashed is found
sooner than by its silence, which takes up to three seconds."""

BEGUN_S = 1.0
"""Time for which jobs that began are gathered; counts may be two seconds old."""

REBALANCE_S = 0.3
"""Time between looks for work that another hall could take."""

PRUNE_S = 15.0
"""Time between removals of records that are past their time."""

PRUNE_MARGIN_S = 60.0
"""Time for which finished jobs are kept beyond what callers were promised."""

FREEZE_TICK_S = 0.05
"""Time between looks at the clock that find a stand-still of this process."""


T = TypeVar("T")


class Executors(Protocol):
    """Calls to executors under the tenure's token."""

    async def start(self, address: str, order: StartOrder, *, until_s: float) -> StartAnswer: ...

    async def stop(self, address: str, order: StopOrder) -> bool: ...

    async def pace(self, address: str, order: PaceOrder) -> bool: ...

    async def renew(
        self,
        address: str,
        executor_id: str,
        *,
        acknowledged: int,
        until_s: float | None,
        wait_s: float,
    ) -> ExecutorReport: ...


class TenureLost(LinkspanError):
    """The shard has another owner; this tenure ends."""


class Tenure:
    """Runs a shard from a claim until another owner is found.

    Args:
        owner: This tenure as the store holds it.
        settings: The host's settings.
        store: The platform's store.
        executors: Calls to executors under the tenure's token.
        machines: The machine service, where there is one.
        book: The jobs.
        registry: The registered executors.
        configuration: The configuration in force.
        shard: Number of the shard.
        summary_of: Returns what the owner of a shard last told.
        log: Where events go.
        metrics: Where counts and times go.
        former_offline_s: Time for which the former owner may act after our claim;
            0 if it surely does not live.
    """

    def __init__(
        self,
        owner: Owner,
        *,
        settings: HostSettings,
        store: Store,
        executors: Executors,
        machines: MachineService | None,
        book: JobBook,
        registry: ExecutorRegistry,
        configuration: ConfigurationWatch,
        shard: int,
        summary_of: Callable[[int], HallSummary | None],
        log: EventLog,
        metrics: HostMetrics,
        former_offline_s: float = OFFLINE_S,
    ) -> None:
        self._former_offline_s = former_offline_s
        self._metrics = metrics
        self._owner = owner
        self._settings = settings
        self._store = store
        self._executors = executors
        self._machines = machines
        self._book = book
        self._registry = registry
        self._configuration = configuration
        self._shard = shard
        self._hall = settings.halls[shard]
        self._log = log
        self._partition = Partition("progress", shard, keyed=True)
        self._writer = GroupWriter(store, self._partition, name="owner", epoch=owner.token)
        self._core = ShardCore(shard, settings.bounds, log=log.write)
        self._planner = Planner(self._core)
        self._summary_of = summary_of
        self._rebalancer = Rebalancer(
            self._core, summaries=self._other_summaries, count_able=self._count_able
        )
        self._pacer = Pacer(self._core, self._core.colocation)
        self._claimed_at = time.monotonic()
        self._proved_at = self._claimed_at
        self._must_prove_since = float("-inf")
        self._wake = asyncio.Event()
        self._dirty = asyncio.Event()
        self._finish = asyncio.Event()
        self._watchers: dict[str, asyncio.Task[None] | None] = {}
        self._group: asyncio.TaskGroup | None = None
        self._roster: frozenset[str] = frozenset()
        self._stopping = False
        self._ending = False
        self._recovered = False

    def __repr__(self) -> str:
        return f"Tenure(shard={self._shard}, token={self._owner.token})"

    @property
    def core(self) -> ShardCore:
        """The shard's state."""
        return self._core

    def proved(self, at: float) -> None:
        """Take in that the store had no other owner at a steady time."""
        self._proved_at = max(self._proved_at, at)

    def may_act(self, now: float) -> bool:
        """Whether orders may go out.

        After a stand-still another owner may be at work: it must be ruled out first.
        """
        if self._stopping or self._proved_at < self._must_prove_since:
            return False
        return now - self._proved_at < OFFLINE_S

    async def run(self) -> None:
        """Recover the shard and run it until cancelled.

        Raises:
            TenureLost: Another owner was found.
        """
        stop_listening = [
            self._book.listen(self._on_job),
            self._configuration.listen(self._on_configuration),
        ]
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                self._spawn(self._writer.run())
                await self._recover()
                self._spawn(self._watch_freeze())
                self._spawn(self._plan_loop())
                self._spawn(self._flush_loop())
                self._spawn(self._finish_loop())
                self._spawn(self._begun_loop())
                self._spawn(self._prune_loop())
                self._spawn(self._rebalance_loop())
                self._spawn(self._machines_loop())
                self._spawn(self._tick_loop())
        except* (Fenced, ProducerFenced, ProducerGap, TenureLost) as errors:
            raise TenureLost(f"shard {self._shard}: {errors.exceptions[0]}") from errors
        finally:
            self._ending = True
            for stop in stop_listening:
                stop()

    async def hand_on(self, limit_s: float) -> None:
        """Stop giving orders and make what is known durable, within a time limit."""
        self._stopping = True
        for watcher in self._watchers.values():
            if watcher:
                watcher.cancel()
        try:
            async with asyncio.timeout(limit_s):
                await self._flush()
        except (TimeoutError, LinkspanError) as error:
            # The next owner finds the rest at the executors.
            self._log.write(Event.OWNER_HANDED_ON, shard=self._shard, left=repr(error))

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None] | None:
        """Run work within the tenure, unless the tenure is ending."""
        if self._group is None or self._ending:
            work.close()
            return None
        return self._group.create_task(self._guarded(work))

    async def _guarded(self, work: Coroutine[None, None, None]) -> None:
        try:
            await work
        except Exception:
            # The group cancels the rest; no more work may join it.
            self._ending = True
            raise

    # Recovery

    async def _recover(self) -> None:
        await self._until_stored(self._fence_former)
        page = await self._until_stored(lambda: self._store.newest(self._partition))
        await self._until_stored(self._book.follower.sync)
        await self._until_stored(self._registry.follower.sync)
        records = {entry.key: entry.value for entry in page.entries if entry.value}
        now = time.monotonic()
        core = self._core
        if self._configuration.current:
            core.configure(self._configuration.current)
        lapse = inherited_lapse(
            self._claimed_at, self._former_offline_s, self._settings.bounds.max_lease_s
        )
        core.inherit(self._read_roster(records.pop(ROSTER_KEY, b"")), lapse)
        self._roster = frozenset(core.executors)
        self._add_jobs(records, now)
        core.list_executors(self._registry.executors(self._hall), now)
        self._recovered = True
        self._metrics.count("claims")
        self._metrics.observe("recovery", now - self._claimed_at)
        self._log.write(
            Event.OWNER_RECOVERED,
            shard=self._shard,
            token=self._owner.token,
            took_s=round(now - self._claimed_at, 3),
            **core.describe(),
        )
        self._watch_executors()
        self._news()

    async def _fence_former(self) -> None:
        await self._writer.write([])

    async def _until_stored(self, call: Callable[[], Coroutine[None, None, T]]) -> T:
        while True:
            try:
                return await call()
            except (StoreRefused, StoreUnanswered):
                await asyncio.sleep(RETRY_S)

    def _read_roster(self, value: bytes) -> tuple[ExecutorRecord, ...]:
        if not value:
            return ()
        try:
            return decode_roster(value)
        except RecordError as error:
            self._log.write(Event.RECORD_SKIPPED, partition="progress", error=str(error))
            return ()

    def _add_jobs(self, records: dict[bytes, bytes], now: float) -> None:
        progress: dict[str, dict[int, bytes]] = {}
        for key, value in records.items():
            try:
                run = parse_key(key)
            except RecordError as error:
                self._log.write(Event.RECORD_SKIPPED, partition="progress", error=str(error))
                continue
            progress.setdefault(run.job_id, {})[run.repetition] = value
        for job_id, entry in list(self._book.catalog.of_shard(self._shard)):
            runs = progress.pop(job_id, {})
            if entry.finished:
                self._core.drop_progress(job_id, runs)
            elif self._is_moved(job_id, entry, runs):
                continue
            else:
                self._add_job(job_id, entry, now, inherited=True, progress=runs)
                self._tell_again(job_id, entry)
        for job_id, runs in progress.items():
            self._core.drop_progress(job_id, runs)

    def _is_moved(self, job_id: str, entry: JobEntry, runs: dict[int, bytes]) -> bool:
        """Finish a move that a former owner began."""
        try:
            shard = moved_to(runs.get(0, b""))
        except RecordError as error:
            self._log.write(Event.RECORD_SKIPPED, partition="progress", error=str(error))
            return False
        if shard is None:
            return False
        if entry.shard == self._shard:
            self._spawn(self._tell_moved(job_id, shard))
        else:
            self._core.drop_progress(job_id, runs)
        return True

    def _tell_again(self, job_id: str, entry: JobEntry) -> None:
        """Tell of loans and returns that a former owner may not have told."""
        if entry.shard != self._shard:
            given = {loan for loans in self._core.loans(job_id).values() for loan in loans}
            untold = given & set(entry.open_loans(self._shard))
            if untold:
                before = entry.returned.get(self._shard, ())
                self._book.write([Returned(job_id, self._shard, (*before, *sorted(untold)))])
            return
        self._take_back(job_id, entry, time.monotonic())
        for shard, loans in self._core.loans(job_id).items():
            if set(loans) - set(entry.lent.get(shard, ())):
                self._book.write([Lent(job_id, shard, loans)])

    def _add_job(
        self,
        job_id: str,
        entry: JobEntry,
        now: float,
        *,
        inherited: bool,
        progress: dict[int, bytes] | None = None,
    ) -> None:
        if entry.submitted is None:
            return
        borrowed = None if entry.shard == self._shard else entry.open_loans(self._shard)
        try:
            self._core.add_job(
                entry.submitted,
                now,
                inherited=inherited,
                moved=entry.moved is not None,
                progress=progress,
                borrowed=borrowed,
            )
        except RecordError as error:
            self._log.write(Event.RECORD_SKIPPED, partition="progress", error=str(error))
        if entry.cancelled:
            self._core.cancel_job(job_id)

    # News from elsewhere

    def _on_job(self, job_id: str) -> None:
        if not self._recovered:
            return
        now = time.monotonic()
        entry = self._book.catalog.get(job_id)
        if entry is None:
            return
        if entry.finished:
            self._core.on_finished(job_id)
        elif job_id in self._core.jobs:
            self._on_known_job(job_id, entry, now)
        elif entry.shard == self._shard or self._shard in entry.lent:
            # A former owner that has not yet read of our claim may see it too.
            self._add_job(job_id, entry, now, inherited=self._core.adopting)
        self._news()

    def _on_known_job(self, job_id: str, entry: JobEntry, now: float) -> None:
        if entry.cancelled:
            self._core.cancel_job(job_id)
        elif entry.shard != self._shard:
            self._core.borrow_more(job_id, entry.open_loans(self._shard), now)
        else:
            self._take_back(job_id, entry, now)

    def _take_back(self, job_id: str, entry: JobEntry, now: float) -> None:
        for loans in entry.returned.values():
            self._core.take_back(job_id, loans, now)

    def _on_configuration(self, configuration: Configuration) -> None:
        self._core.configure(configuration)
        self._news()

    def on_executors(self) -> None:
        """Take in that registrations changed."""
        if not self._recovered:
            return
        self._core.list_executors(self._registry.executors(self._hall), time.monotonic())
        self._watch_executors()
        self._news()

    def summary(self) -> HallSummary:
        """Return the state of the hall for other hosts."""
        return summarize(self._core, time.monotonic())

    def adopt(self, summary: HallSummary) -> None:
        """Take over what the owner of another hall learnt."""
        self._core.colocation.adopt(summary.effects, time.monotonic())

    def _news(self) -> None:
        self._wake.set()
        self._hand_out_records()

    def _hand_out_records(self) -> None:
        if self._core.dirty or self._core.dropped or self._roster_changed():
            self._dirty.set()
        if self._core.finished:
            self._finish.set()

    def _roster_changed(self) -> bool:
        return self._roster != self._core.executors.keys()

    # Planning and orders

    async def _plan_loop(self) -> None:
        while True:
            await self._wake.wait()
            await asyncio.sleep(PLAN_DELAY_S)
            self._wake.clear()
            self._plan()

    def _plan(self) -> None:
        now = time.monotonic()
        if self.may_act(now):
            self._planner.plan(now, time.time())
            self._send_orders()
        self._hand_out_records()

    def _send_orders(self) -> None:
        core = self._core
        orders, core.orders = core.orders, []
        for order in orders:
            if isinstance(order, StartOrder):
                self._metrics.observe("start_wait", core.waited(order, time.monotonic()))
        for order in orders:
            self._spawn(self._send(order))
        looks, core.look_at = core.look_at, set()
        for executor_id in looks:
            executor = core.executors.get(executor_id)
            if executor:
                self._spawn(self._look_once(executor))

    async def _send(self, order: Order) -> None:
        executor = self._core.executors.get(order.executor_id)
        if executor is None or executor.clock is None:
            if isinstance(order, StartOrder):
                self._core.on_start_unsent(order, time.monotonic())
            return
        address = executor.record.address
        try:
            if isinstance(order, StartOrder):
                until = executor.clock.grant(self._settings.bounds.max_lease_s, time.monotonic())
                began = time.monotonic()
                answer = await self._executors.start(address, order, until_s=until)
                self._metrics.observe("executor_call", time.monotonic() - began, call="start")
                self._metrics.count("starts", outcome=answer.outcome.name.lower())
                self._core.on_started(order, answer, time.monotonic())
            elif isinstance(order, StopOrder):
                taken = await self._executors.stop(address, order)
                self._core.on_stopped(order, taken, time.monotonic())
            else:
                await self._executors.pace(address, order)
        except WrongIncarnation:
            self._core.on_gone(order.executor_id, time.monotonic(), "another incarnation answers")
        except Unreachable:
            call = type(order).__name__
            self._metrics.count("executor_calls", call=call, outcome="unreachable")
            if isinstance(order, StartOrder):
                self._core.on_start_unanswered(order, time.monotonic())
        self._news()

    # Executors

    def _watch_executors(self) -> None:
        for executor_id, executor in self._core.executors.items():
            watcher = self._watchers.get(executor_id)
            if watcher is None or watcher.done():
                self._watchers[executor_id] = self._spawn(self._watch(executor))
        for executor_id in self._watchers.keys() - self._core.executors.keys():
            watcher = self._watchers.pop(executor_id)
            if watcher:
                watcher.cancel()

    async def _watch(self, executor: ExecutorState) -> None:
        pause = RETRY_S
        while self._core.executors.get(executor.executor_id) is executor:
            if await self._look(executor, self._wait_for(executor)):
                pause = RETRY_S
                await self._settle(executor)
            else:
                await asyncio.sleep(pause)
                pause = min(2 * pause, MAX_RETRY_S)

    def _wait_for(self, executor: ExecutorState) -> float:
        if not executor.adopted or executor.silent_since is not None:
            return 0.0
        if executor.unacked:
            return 0.0
        if executor.best_effort() and executor.standing():
            return PACED_WAIT_S
        return min(IDLE_WAIT_S, self._settings.bounds.max_lease_s / 6)

    async def _look_once(self, executor: ExecutorState) -> None:
        await self._look(executor, 0.0)

    async def _look(self, executor: ExecutorState, wait_s: float) -> bool:
        asked = time.monotonic()
        until = None
        # A silent executor's lease must run out: it may hear us without being heard.
        if executor.clock and executor.silent_since is None and self.may_act(asked):
            until = executor.clock.grant(self._settings.bounds.max_lease_s, asked)
        try:
            report = await self._executors.renew(
                executor.record.address,
                executor.executor_id,
                acknowledged=executor.acknowledged,
                until_s=until,
                wait_s=wait_s,
            )
        except WrongIncarnation:
            self._core.on_gone(
                executor.executor_id, time.monotonic(), "another incarnation answers"
            )
            self._news()
            return False
        except Unreachable:
            self._core.on_silent(executor.executor_id, time.monotonic())
            self._news()
            return False
        now = time.monotonic()
        self._count_ends(executor, report)
        self._core.on_report(executor.executor_id, report, asked=asked, now=now)
        self._pacer.on_report(executor, now)
        self._news()
        return True

    def _count_ends(self, executor: ExecutorState, report: ExecutorReport) -> None:
        for end in report.ended:
            if end.number > executor.seen:
                self._metrics.count("ends", how=end.kind.value)

    async def _settle(self, executor: ExecutorState) -> None:
        """Wait until ends are durable, so that the next look does not list them again."""
        await asyncio.sleep(GATHER_S)
        executor.advance_acknowledged()
        waited = GATHER_S
        while executor.unacked and waited < MAX_RETRY_S:
            await asyncio.sleep(GATHER_S / 2)
            waited += GATHER_S / 2
            executor.advance_acknowledged()

    async def _machines_loop(self) -> None:
        watch = MachineWatch()
        while self._machines:
            await asyncio.sleep(MACHINES_S)
            executors = self._core.executors.values()
            known = {e.executor_id for e in executors if e.rostered}
            silent = {e.executor_id for e in executors if e.silent_since is not None}
            if not known:
                continue
            try:
                machines = await self._machines.machines()
            except Unreachable:
                # Only a help: leases tell in the end.
                continue
            for executor_id in watch.gone(machines, known, silent):
                self._core.on_gone(executor_id, time.monotonic(), "machine lists it no more")
                self._news()

    # Records

    async def _flush_loop(self) -> None:
        while True:
            await self._dirty.wait()
            await asyncio.sleep(FLUSH_S)
            self._dirty.clear()
            await self._flush()

    async def _flush(self) -> None:
        core = self._core
        runs = list(core.dirty.values())
        core.dirty.clear()
        dropped, core.dropped = core.dropped, []
        # A job whose final state is on its way is dropped once that is durable.
        runs = [run for run in runs if not run.job.closing]
        versions = [run.version for run in runs]
        records = [Record(encode_run(run), key_of(run)) for run in runs]
        records += [Record(b"", key) for key in dropped]
        roster = frozenset(core.executors)
        if roster != self._roster:
            listed = encode_roster(e.record for e in core.executors.values())
            records.append(Record(listed, ROSTER_KEY))
        if not records:
            return
        await self._writer.write(records)
        self._roster = roster
        self._mark_durable(runs, versions, roster)

    def _mark_durable(
        self, runs: list[JobRun], versions: list[int], roster: frozenset[str]
    ) -> None:
        for run, version in zip(runs, versions, strict=True):
            run.durable = max(run.durable, version)
        for executor_id in roster:
            executor = self._core.executors.get(executor_id)
            if executor and not executor.rostered:
                executor.rostered = True
                self._wake.set()

    async def _finish_loop(self) -> None:
        while True:
            await self._finish.wait()
            self._finish.clear()
            decided, self._core.finished = self._core.finished, []
            for finished in decided:
                self._spawn(self._record_finish(finished))

    async def _record_finish(self, finished: Finished) -> None:
        entry = self._book.catalog.get(finished.job_id)
        records: list[JobRecord] = [
            Finished(finished.job_id, finished.state, finished.shard, time.time(), finished.queue)
        ]
        records += [Dropped("s", finished.job_id, host) for host in (entry.hosts if entry else ())]
        records += [Dropped(kind, finished.job_id) for kind in ("c", "b", "m")]
        records += [
            Dropped(kind, finished.job_id, str(shard))
            for shard in (entry.lent if entry else ())
            for kind in ("l", "r")
        ]
        await self._book.write(records)
        self._core.on_finished(finished.job_id)
        self._news()

    async def _begun_loop(self) -> None:
        while True:
            await asyncio.sleep(BEGUN_S)
            begun, self._core.begun = self._core.begun, []
            records = [
                Begun(job_id)
                for job_id in begun
                if job_id in self._core.jobs and not self._core.jobs[job_id].closing
            ]
            if records:
                await self._book.write(records)

    async def _prune_loop(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_S)
            limit = time.time() - self._settings.bounds.state_kept_s - PRUNE_MARGIN_S
            old = [
                Dropped("f", job_id)
                for job_id, entry in self._book.catalog.of_shard(self._shard)
                if entry.finished and entry.finished.at < limit
            ]
            if old:
                await self._book.write(old)

    # Handovers

    async def _rebalance_loop(self) -> None:
        while True:
            await asyncio.sleep(REBALANCE_S)
            if not self.may_act(time.monotonic()):
                continue
            for handover in self._rebalancer.plan(self.summary(), time.monotonic()):
                self._core.jobs[handover.job_id].handing_over = True
                self._spawn(self._hand_over(handover))

    async def _hand_over(self, handover: Handover) -> None:
        job_id, shard, tasks = handover
        if tasks is None:
            key = RunKey(job_id, 0).encode()
            await self._writer.write([Record(encode_moved(shard), key)])
            await self._tell_moved(job_id, shard)
            return
        job = self._core.jobs[job_id]
        run = self._core.give_away(job_id, shard, tasks)
        if run is None:
            return
        await self._writer.write([Record(encode_run(run), key_of(run))])
        if job.borrowed:
            await self._book.write([self._returned(job_id, run, tasks)])
        else:
            await self._book.write([Lent(job_id, shard, self._core.loans(job_id)[shard])])
        job.handing_over = False

    def _returned(self, job_id: str, run: JobRun, tasks: tuple[tuple[int, int], ...]) -> Returned:
        entry = self._book.catalog.get(job_id)
        before = entry.returned.get(self._shard, ()) if entry else ()
        loans = tuple(Loan(s, i, run.steps[s].tasks[i].loan) for s, i in tasks)
        return Returned(job_id, self._shard, (*before, *loans))

    async def _tell_moved(self, job_id: str, shard: int) -> None:
        await self._book.write([Moved(job_id, shard)])
        self._core.remove_moved(job_id)
        self._core.drop_progress(job_id, [0])
        self._news()

    def _other_summaries(self) -> dict[int, HallSummary]:
        return {
            shard: summary
            for shard in range(len(self._settings.halls))
            if shard != self._shard and (summary := self._summary_of(shard)) is not None
        }

    def _count_able(self, shard: int, step: StepSpec, service: str) -> int:
        executors = self._registry.executors(self._settings.halls[shard])
        return sum(e.service == service and not e.draining and can_run(step, e) for e in executors)

    # Time

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            self._core.tick(now)
            if not self.may_act(now) and now - self._proved_at >= 2 * OFFLINE_S:
                raise TenureLost("ownership was not proved for too long")
            if self._core.ready or self._core.orders or self._core.jobs:
                self._wake.set()

    async def _watch_freeze(self) -> None:
        """Find out that this process stood still: another may own the shard since."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(FREEZE_TICK_S)
            now = time.monotonic()
            if now - last > self._settings.bounds.freeze_s + FREEZE_TICK_S:
                self._must_prove_since = now
                self._log.write(
                    Event.OWNER_SILENT,
                    shard=self._shard,
                    owner="this host",
                    stood_still_s=round(now - last, 2),
                )
            last = now
