"""The scheduler daemon: the asyncio task that owns the core, and the tasks that do its I/O."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from linkspan.errors import LogUnavailable, Unreachable
from linkspan.events import Event
from linkspan.ledger.codec import encode
from linkspan.ledger.ledger import Ledger
from linkspan.peer.messages import Answer, Heartbeat
from linkspan.placement.placer import rules_of
from linkspan.placement.placers import DEFAULT_PLACER, PLACERS
from linkspan.runtime.node import Node, split_address
from linkspan.runtime.operator_app import json_response, listen, make_operator_app
from linkspan.scheduler.append_budget import AppendBudget
from linkspan.scheduler.core import SchedulerCore, Step
from linkspan.scheduler.history import History
from linkspan.scheduler.job_answers import cancel_answer, submit_answer
from linkspan.scheduler.job_requests import JobRequestHandlers
from linkspan.scheduler.ledger_tail import LedgerTail
from linkspan.scheduler.messages import (
    AppendFinished,
    CancelRequested,
    CoreMessage,
    HeartbeatReceived,
    JobsTakenOver,
    LedgerRecovered,
    PageRead,
    ReportReceived,
    SubmitRequested,
)
from linkspan.scheduler.services import wanted_services
from linkspan.scheduler.snapshots import Snapshots, ledger_stream
from linkspan.scheduler.status import status_of
from linkspan.scheduler.step_log import StepLog
from linkspan.scheduler.takeover_task import TakeoverTask
from linkspan.scheduler.timing import Timing
from linkspan.services.http import HttpWorkers

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from linkspan.config.store import ConfigState
    from linkspan.ledger.entries import ApplyResult
    from linkspan.ledger.records import Record
    from linkspan.services.messages import ExchangeRequest
    from linkspan.services.ports import Host, WorkerPort
    from linkspan.settings import SchedulerSettings

TICK_S = 0.1
"""Maximum time between two steps of the core."""


class SchedulerDaemon:
    """One scheduler process.

    Args:
        settings: The settings in force.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        self._settings = settings
        self._node = Node("scheduler", settings)
        self._timing = Timing(
            lease_s=settings.lease_s,
            offline_renewal_s=settings.offline_renewal_s,
            worker_silence_s=settings.worker_silence_s,
            peer_silence_s=settings.peer_silence_s,
            exchange_s=settings.exchange_s,
        )
        self._inbox: asyncio.Queue[CoreMessage] = asyncio.Queue()
        self._placer_name = DEFAULT_PLACER
        self._placer = PLACERS.make(DEFAULT_PLACER)
        self._core: SchedulerCore | None = None
        self._budget = AppendBudget(settings.appends_per_s)
        self._history = History()
        self._step_log = StepLog(self._node)
        self._worker_addresses: dict[str, str] = {}
        self._in_exchange: set[str] = set()
        self._waiting: list[tuple[Callable[[Ledger], Answer | None], asyncio.Future[Answer]]] = []
        self._snapshots = Snapshots(self._node, settings)

    def __repr__(self) -> str:
        return f"SchedulerDaemon({self._node.name!r}, {self._core!r})"

    async def serve(self) -> int:
        """Run until asked to stop, and return the exit code."""
        node = self._node
        await node.start()
        self._core = SchedulerCore(
            node.name, Ledger(self._settings.hall), self._placer, timing=self._timing
        )
        node.complete_heartbeat = self._complete_heartbeat
        JobRequestHandlers(self._core, self._inbox, self._history).register(node)
        node.heartbeats.subscribe(self._on_heartbeat)
        node.host_lists.subscribe(self._on_hosts)
        node.config_states.subscribe(self._on_config)
        app = make_operator_app(node, self._reasons_not_ready)
        app.router.add_get("/status", self._status)
        runner, operators = await listen(app, *split_address(self._settings.operator_listen))
        node.events.write(Event.LISTENING, peer=node.address, operator=operators)
        tail = LedgerTail(node.log, node.events, self._settings.hall, self._inbox.put_nowait)
        node.spawn(tail.run())
        node.spawn(self._run_core(self._core))
        takeover = TakeoverTask(
            node,
            self._core,
            lambda taken: self._inbox.put_nowait(JobsTakenOver(tuple(taken))),
            silence_s=self._settings.hall_silence_s,
        )
        node.spawn(takeover.run())
        await node.wait_for_stop()
        await self._leave_hall(self._core)
        await runner.cleanup()
        return await node.close()

    async def _leave_hall(self, core: SchedulerCore) -> None:
        """Record in the ledger that this scheduler stops renewing leases."""
        core.leave()
        deadline = time.monotonic() + 2 * self._timing.append_timeout_s
        while core.has_joined and time.monotonic() < deadline:
            await asyncio.sleep(TICK_S)

    def _reasons_not_ready(self) -> list[str]:
        reasons = []
        if self._node.draining:
            reasons.append("draining")
        if not self._node.config.version:
            reasons.append("no configuration read yet")
        if self._core is None or not self._core.has_joined:
            reasons.append("not joined in the ledger yet")
        return reasons

    # The task that owns the core.

    async def _run_core(self, core: SchedulerCore) -> None:
        while True:
            await self._handle_messages(core)
            now = time.monotonic()
            started = time.perf_counter()
            live = len(core.live_schedulers(now))
            step = core.step(now, may_append=self._budget.allows(now, live))
            self._node.metrics.pass_seconds.observe({}, time.perf_counter() - started)
            self._execute(core, step)
            self._send_answers(core)
            self._log_step(core, now)

    async def _handle_messages(self, core: SchedulerCore) -> None:
        try:
            async with asyncio.timeout(TICK_S):
                self._handle(await self._inbox.get(), core)
        except TimeoutError:
            return
        while not self._inbox.empty():
            self._handle(self._inbox.get_nowait(), core)

    @singledispatchmethod
    def _handle(self, message: Any, core: SchedulerCore) -> None:
        raise TypeError(f"no handler for message {message!r}")

    @_handle.register
    def _(self, message: PageRead, core: SchedulerCore) -> None:
        now = time.monotonic()
        own = core.on_records(
            message.entries,
            now,
            end=message.end,
            read_started=message.started,
            on_record=self._note_record,
        )
        for decision, result in own:
            self._step_log.on_decision(decision, result)

    @_handle.register
    def _(self, message: LedgerRecovered, core: SchedulerCore) -> None:
        core.on_snapshot(message.ledger, time.monotonic())

    @_handle.register
    def _(self, message: ReportReceived, core: SchedulerCore) -> None:
        core.on_report(message.report, message.started)

    @_handle.register
    def _(self, message: AppendFinished, core: SchedulerCore) -> None:
        core.append_done()
        self._budget.on_append_finished(time.monotonic(), answered=message.answered)

    @_handle.register
    def _(self, message: HeartbeatReceived, core: SchedulerCore) -> None:
        heartbeat = message.heartbeat
        core.on_peer(heartbeat.name, heartbeat.applied, time.monotonic(), unfit=heartbeat.unfit)

    @_handle.register
    def _(self, message: SubmitRequested, core: SchedulerCore) -> None:
        spec = message.spec
        if submit_answer(core.ledger, spec) is None:
            core.submit(spec, time.monotonic())
        self._waiting.append((lambda ledger: submit_answer(ledger, spec), message.answer))
        self._node.events.write(
            Event.JOB_SUBMITTED, job=spec.job_id, tasks=spec.count, priority=spec.priority.name
        )

    @_handle.register
    def _(self, message: CancelRequested, core: SchedulerCore) -> None:
        job_id = message.job_id
        if cancel_answer(core.ledger, job_id) is None:
            core.cancel(job_id, time.monotonic())
        self._waiting.append((lambda ledger: cancel_answer(ledger, job_id), message.answer))
        self._node.events.write(Event.JOB_CANCELLED, job=job_id)

    @_handle.register
    def _(self, message: JobsTakenOver, core: SchedulerCore) -> None:
        core.outbox.add(message.taken)

    def _send_answers(self, core: SchedulerCore) -> None:
        still_pending = []
        for answer_of, future in self._waiting:
            if future.done():
                continue
            answer = answer_of(core.ledger)
            if answer is None:
                still_pending.append((answer_of, future))
            else:
                future.set_result(answer)
        self._waiting = still_pending

    def _execute(self, core: SchedulerCore, step: Step) -> None:
        if step.record is not None:
            self._budget.spend()
            self._node.spawn(self._append(step.record))
        for worker, orders in step.exchanges.items():
            address = self._worker_addresses.get(worker)
            if address is not None and worker not in self._in_exchange:
                self._in_exchange.add(worker)
                self._node.spawn(self._exchange(worker, address, orders))
        if core.leads(time.monotonic()):
            self._snapshots.start_if_due(core.ledger)

    async def _append(self, record: Record) -> None:
        answered = False
        stream = ledger_stream(self._settings.hall)
        try:
            await self._node.log.append(stream, encode(record))
            answered = True
        except LogUnavailable as error:
            self._node.events.write(Event.APPEND_UNKNOWN, reason=str(error))
        result = "answered" if answered else "unknown"
        self._node.metrics.appends.inc({"stream": "ledger", "result": result})
        self._inbox.put_nowait(AppendFinished(answered))

    async def _exchange(self, worker: str, address: str, orders: ExchangeRequest) -> None:
        started = time.monotonic()
        result = "answered"
        try:
            workers: WorkerPort = HttpWorkers(self._node.session)
            report = await workers.exchange(address, orders)
            self._inbox.put_nowait(ReportReceived(report, started))
        except Unreachable as error:
            result = "silent"
            self._node.events.write(Event.WORKER_SILENT, worker=worker, reason=str(error))
        finally:
            self._in_exchange.discard(worker)
        self._node.metrics.exchanges.inc({"result": result})

    # Input of the core.

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        if heartbeat.role == "scheduler" and heartbeat.hall == self._settings.hall:
            self._inbox.put_nowait(HeartbeatReceived(heartbeat))

    def _on_hosts(self, hosts: tuple[Host, ...]) -> None:
        workers = [h for h in hosts if h.role == "worker" and h.hall == self._settings.hall]
        self._worker_addresses.update({host.name: host.address for host in workers})
        if self._core is not None and workers:
            self._core.watch_workers([host.name for host in workers], time.monotonic())
            self._core.leaving = frozenset(host.name for host in workers if host.leaving)

    def _on_config(self, state: ConfigState) -> None:
        document = state.document
        name = document.get(f"placement/{self._settings.customer or 'default'}", DEFAULT_PLACER)
        if name != self._placer_name:
            self._placer_name, self._placer = name, PLACERS.make(name)
        if self._core is not None:
            self._core.placer = self._placer
            self._core.services = wanted_services(document, self._settings.hall)
        self._placer.rules = rules_of(document)

    async def _status(self, request: web.Request) -> web.Response:
        if self._core is None:
            return json_response({"state": "starting"})  # type: ignore[no-any-return]
        version = self._node.config.version
        value = status_of(self._core, time.monotonic(), config_version=version)
        return json_response(value)  # type: ignore[no-any-return]

    def _complete_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        core = self._core
        if core is None:
            return heartbeat
        now = time.monotonic()
        unfit = tuple(sorted(core.unfit(now)))
        return dataclasses.replace(heartbeat, applied=core.ledger.next_offset, unfit=unfit)

    # Log events.

    def _note_record(self, offset: int, record: Record, results: list[ApplyResult]) -> None:
        if self._core is not None:
            self._history.note_record(offset, record, results, self._core.ledger)

    def _log_step(self, core: SchedulerCore, now: float) -> None:
        self._step_log.on_step(core, now)
        result = self._placer.take_result()
        if result is not None:
            self._history.note_pass(result)
            self._step_log.on_pass(core, result, self._placer_name)
