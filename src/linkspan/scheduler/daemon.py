"""The scheduler daemon: the core's task, and the tasks that feed it."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from linkspan.errors import LogGap, LogUnavailable, RecordError, Unreachable
from linkspan.events import Event
from linkspan.ledger.codec import decode, encode
from linkspan.ledger.ledger import ApplyResult, Ledger
from linkspan.ledger.records import Lapsed, Placed, Recalled, Record, Submitted, WorkerSeen
from linkspan.ledger.snapshot import Recovery
from linkspan.peer.messages import Answer, Heartbeat
from linkspan.placement.placer import rules_of
from linkspan.placement.placers import DEFAULT_PLACER, PLACERS
from linkspan.runtime.log_tail import LogTail
from linkspan.runtime.node import Node, split_address
from linkspan.runtime.operator_app import json_response, listen, make_operator_app
from linkspan.scheduler.append_budget import AppendBudget
from linkspan.scheduler.core import SchedulerCore, Step
from linkspan.scheduler.history import History
from linkspan.scheduler.messages import (
    Appended,
    Beat,
    CancelAsked,
    Input,
    PageRead,
    Recovered,
    Reported,
    Rescued,
    SubmitAsked,
)
from linkspan.scheduler.questions import Questions
from linkspan.scheduler.rescue_task import RescueTask
from linkspan.scheduler.services import wanted_services
from linkspan.scheduler.snapshots import Snapshots, ledger_stream
from linkspan.scheduler.status import status_of
from linkspan.scheduler.timing import Timing
from linkspan.scheduler.verdicts import cancel_verdict, submit_verdict
from linkspan.services.http import HttpWorkers

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from linkspan.config.store import ConfigState
    from linkspan.placement.placer import Obstacle, PassResult
    from linkspan.services.messages import ExchangeRequest
    from linkspan.services.ports import Host, WorkerPort
    from linkspan.settings import SchedulerSettings

TICK_S = 0.1
"""Longest pause between two steps."""


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
        self._inbox: asyncio.Queue[Input] = asyncio.Queue()
        self._placer_name = DEFAULT_PLACER
        self._placer = PLACERS.make(DEFAULT_PLACER)
        self._core: SchedulerCore | None = None
        self._budget = AppendBudget(settings.appends_per_s)
        self._history = History()
        self._addresses: dict[str, str] = {}
        self._busy: set[str] = set()
        self._pending: list[tuple[Callable[[Ledger], Answer | None], asyncio.Future[Answer]]] = []
        self._snapshots = Snapshots(self._node, settings)
        self._led = False
        self._told: dict[int, Obstacle] = {}

    def __repr__(self) -> str:
        return f"SchedulerDaemon({self._node.name!r}, {self._core!r})"

    async def serve(self) -> int:
        """Run until asked to stop, and return the exit code."""
        node = self._node
        await node.start()
        self._core = SchedulerCore(
            node.name, Ledger(self._settings.hall), self._placer, timing=self._timing
        )
        node.complete_heartbeat = self._describe
        Questions(self._core, self._inbox, self._history).answer_for(node)
        node.heartbeats.subscribe(self._on_beat)
        node.host_lists.subscribe(self._on_hosts)
        node.config_states.subscribe(self._on_config)
        app = make_operator_app(node, self._reasons_not_ready)
        app.router.add_get("/status", self._status)
        runner, operators = await listen(app, *split_address(self._settings.operator_listen))
        node.events.write(Event.LISTENING, peer=node.address, operator=operators)
        node.spawn(self._tail_ledger())
        node.spawn(self._run_core(self._core))
        rescue = RescueTask(
            node,
            self._core,
            lambda taken: self._inbox.put_nowait(Rescued(tuple(taken))),
            silence_s=self._settings.hall_silence_s,
        )
        node.spawn(rescue.run())
        await node.wait_for_stop()
        await self._hand_over(self._core)
        await runner.cleanup()
        return await node.close()

    async def _hand_over(self, core: SchedulerCore) -> None:
        """Tell the ledger that this scheduler renews nothing any more."""
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

    # The core's task.

    async def _run_core(self, core: SchedulerCore) -> None:
        while True:
            await self._take_inputs(core)
            now = time.monotonic()
            started = time.perf_counter()
            live = len(core.live_schedulers(now))
            step = core.step(now, may_append=self._budget.allows(now, live))
            self._node.metrics.pass_seconds.observe({}, time.perf_counter() - started)
            self._carry_out(core, step)
            self._answer_pending(core)
            self._log_pass(core, now)

    async def _take_inputs(self, core: SchedulerCore) -> None:
        try:
            async with asyncio.timeout(TICK_S):
                self._take(await self._inbox.get(), core)
        except TimeoutError:
            return
        while not self._inbox.empty():
            self._take(self._inbox.get_nowait(), core)

    @singledispatchmethod
    def _take(self, message: Any, core: SchedulerCore) -> None:
        raise TypeError(f"no handler for {message!r}")

    @_take.register
    def _(self, message: PageRead, core: SchedulerCore) -> None:
        now = time.monotonic()
        own = core.on_records(
            message.entries, now, end=message.end, began=message.began, each=self._note_record
        )
        for decision, verdict in own:
            self._log_verdict(decision, verdict)

    @_take.register
    def _(self, message: Recovered, core: SchedulerCore) -> None:
        core.on_snapshot(message.ledger, time.monotonic())

    @_take.register
    def _(self, message: Reported, core: SchedulerCore) -> None:
        core.on_report(message.report, message.began)

    @_take.register
    def _(self, message: Appended, core: SchedulerCore) -> None:
        core.append_done()
        self._budget.finished(time.monotonic(), answered=message.answered)

    @_take.register
    def _(self, message: Beat, core: SchedulerCore) -> None:
        beat = message.heartbeat
        core.on_peer(beat.name, beat.applied, time.monotonic(), unfit=beat.unfit)

    @_take.register
    def _(self, message: SubmitAsked, core: SchedulerCore) -> None:
        spec = message.spec
        if submit_verdict(core.ledger, spec) is None:
            core.submit(spec, time.monotonic())
        self._pending.append((lambda ledger: submit_verdict(ledger, spec), message.answer))
        self._node.events.write(
            Event.JOB_SUBMITTED, job=spec.job_id, tasks=spec.count, priority=spec.priority.name
        )

    @_take.register
    def _(self, message: CancelAsked, core: SchedulerCore) -> None:
        job_id = message.job_id
        if cancel_verdict(core.ledger, job_id) is None:
            core.cancel(job_id, time.monotonic())
        self._pending.append((lambda ledger: cancel_verdict(ledger, job_id), message.answer))
        self._node.events.write(Event.JOB_CANCELLED, job=job_id)

    @_take.register
    def _(self, message: Rescued, core: SchedulerCore) -> None:
        core.outbox.add(message.taken)

    def _answer_pending(self, core: SchedulerCore) -> None:
        waiting = []
        for verdict_of, future in self._pending:
            if future.done():
                continue
            verdict = verdict_of(core.ledger)
            if verdict is None:
                waiting.append((verdict_of, future))
            else:
                future.set_result(verdict)
        self._pending = waiting

    def _carry_out(self, core: SchedulerCore, step: Step) -> None:
        if step.record is not None:
            self._budget.spend()
            self._node.spawn(self._append(step.record))
        for worker, orders in step.exchanges.items():
            address = self._addresses.get(worker)
            if address is not None and worker not in self._busy:
                self._busy.add(worker)
                self._node.spawn(self._exchange(worker, address, orders))
        if core.leads(time.monotonic()):
            self._snapshots.begin_if_due(core.ledger)

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
        self._inbox.put_nowait(Appended(answered))

    async def _exchange(self, worker: str, address: str, orders: ExchangeRequest) -> None:
        began = time.monotonic()
        result = "answered"
        try:
            workers: WorkerPort = HttpWorkers(self._node.session)
            report = await workers.exchange(address, orders)
            self._inbox.put_nowait(Reported(report, began))
        except Unreachable as error:
            result = "silent"
            self._node.events.write(Event.WORKER_SILENT, worker=worker, reason=str(error))
        finally:
            self._busy.discard(worker)
        self._node.metrics.exchanges.inc({"result": result})

    # What feeds the core.

    async def _tail_ledger(self) -> None:
        tail = LogTail(self._node.log, self._node.events, ledger_stream(self._settings.hall))
        start = 0
        recovery: Recovery | None = None
        while True:
            try:
                page = await tail.read(start)
            except LogGap as gap:
                self._node.events.write(Event.LOG_GAP, first=gap.first)
                recovery = Recovery(self._settings.hall, gap.first)
                start = gap.first
                continue
            if page is None:
                continue
            entries = tuple((entry.offset, _decoded(entry.body)) for entry in page.entries)
            start = entries[-1][0] + 1 if entries else start
            if recovery is None:
                self._inbox.put_nowait(PageRead(entries, page.end, tail.read_started_at))
                continue
            recovery.feed((offset, record) for offset, record in entries if record is not None)
            if recovery.ledger is not None:
                recovery.ledger.skip(start - 1)
                self._inbox.put_nowait(Recovered(recovery.ledger))
                recovery = None

    def _on_beat(self, beat: Heartbeat) -> None:
        if beat.role == "scheduler" and beat.hall == self._settings.hall:
            self._inbox.put_nowait(Beat(beat))

    def _on_hosts(self, hosts: tuple[Host, ...]) -> None:
        workers = [h for h in hosts if h.role == "worker" and h.hall == self._settings.hall]
        self._addresses.update({host.name: host.address for host in workers})
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

    def _describe(self, beat: Heartbeat) -> Heartbeat:
        core = self._core
        if core is None:
            return beat
        now = time.monotonic()
        unfit = tuple(sorted(core.unfit(now)))
        return dataclasses.replace(beat, applied=core.ledger.next_offset, unfit=unfit)

    # Log lines.

    def _note_record(self, offset: int, record: Record, verdicts: list[ApplyResult]) -> None:
        if self._core is not None:
            self._history.note_record(offset, record, verdicts, self._core.ledger)

    def _log_pass(self, core: SchedulerCore, now: float) -> None:
        metrics = self._node.metrics
        metrics.tail_age.set({}, max(0.0, now - core.tail_read))
        leads = core.leads(now)
        if leads != self._led:
            self._led = leads
            self._node.events.write(Event.LEAD_CHANGED, leads=leads)
        for attempt, reason in core.take_reasons().items():
            self._node.events.write(Event.EVICTION, attempt=str(attempt), reason=reason)
        result = self._placer.take_result()
        if result is None:
            return
        self._history.note_pass(result)
        self._log_obstacles(core, result)
        for line in result.placed:
            entry = core.ledger.jobs[line.task.job]
            self._node.events.write(
                Event.PLACED,
                job=entry.spec.job_id,
                task=line.task.index,
                worker=core.ledger.workers[line.worker].spec.name,
                cost=round(line.cost, 4),
                candidates=line.candidates,
                placer=self._placer_name,
            )

    def _log_obstacles(self, core: SchedulerCore, result: PassResult) -> None:
        """Tell why jobs wait, once for each change of the reason."""
        for number, obstacle in result.obstacles.items():
            if self._told.get(number) is not obstacle:
                job_id = core.ledger.jobs[number].spec.job_id
                self._node.events.write(Event.NOT_PLACED, job=job_id, reason=obstacle.value)
        self._told = dict(result.obstacles)

    def _log_verdict(self, decision: Any, verdict: ApplyResult) -> None:
        kind = type(decision).__name__
        self._node.metrics.decisions.inc({"kind": kind, "verdict": verdict.name.lower()})
        if verdict not in (ApplyResult.APPLIED, ApplyResult.DUPLICATE):
            self._node.events.write(
                Event.DECISION_IGNORED, decision=repr(decision), reason=verdict.value
            )
        elif not isinstance(decision, (Placed, Submitted)):
            event = _EVENTS.get(type(decision), Event.DECIDED)
            self._node.events.write(event, decision=repr(decision))


_EVENTS: dict[type, Event] = {
    Recalled: Event.RECALLED,
    Lapsed: Event.LAPSED,
    WorkerSeen: Event.WORKER_SEEN,
}


def _decoded(body: bytes) -> Record | None:
    try:
        return decode(body)
    except RecordError:
        return None
