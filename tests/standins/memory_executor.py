"""An executor in memory that enforces fencing tokens and leases, and has its orders judged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import Context
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from linkspan.errors import Fenced, Unconnected, Unreachable, WrongIncarnation
from linkspan.jobs.spec import Demand
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorRecord,
    ExecutorReport,
    PaceOrder,
    RunningTask,
    StartAnswer,
    StartOrder,
    StartOutcome,
    StopOrder,
    TaskName,
)
from tests.virtual_time import world_time

if TYPE_CHECKING:
    from tests.hall_executors import HallExecutors

ANSWER_S = 0.003
TIMEOUT_S = 1.0
STOP_S = 0.3

GANG_TIMEOUT_S = 3.0
"""The platform's `gang_ms`: time for which a gang member waits for the other members."""


@dataclass
class _Run:
    task: TaskName
    run: int
    payload: str
    began: float
    ends_at: float
    fails: bool
    stopping: bool = False
    done_s: float = 0.0


@dataclass
class MemoryExecutor:
    """One incarnation of an executor.

    Attributes:
        record: Its registration, with an id that previous incarnations may share.
        slow_clock: Rate of its clock.
        started_at_ms: Start time in milliseconds since 1970, ``None`` if it tells none.
        clock_ahead_s: Offset of its clock from the time since the world's start.
        refuses_with: Outcome of all starts, of which it then carries out none; ``None`` if it is
            sound.
        drops_starts: Whether it answers no start and carries out none.
        lease_expired_at: Expiry time of the last lease that had expired when a later order arrived.
    """

    world: HallExecutors
    record: ExecutorRecord
    slow_clock: float = 1.0
    started_at_ms: int | None = 0
    clock_ahead_s: float = 0.0
    alive: bool = True
    token: int = 0
    until: float = 0.0
    last_number: int = 0
    acknowledged: int = 0
    running: dict[TaskName, _Run] = field(default_factory=dict)
    refused_below: dict[TaskName, int] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    previous_capacities: list[tuple[Demand, float]] = field(default_factory=list)
    lease_expired_at: float = float("-inf")
    refuses_with: StartOutcome | None = None
    drops_starts: bool = False

    @property
    def now(self) -> float:
        return world_time()

    @property
    def clock(self) -> float:
        return self.now * self.slow_clock + self.clock_ahead_s

    @property
    def incarnation_name(self) -> str:
        """Unique name of this incarnation."""
        return Incarnation(self.record.executor_id, self.started_at_ms).name

    def resize(self, capacity: Demand, *, enforced_from: float) -> None:
        """Change the capacity. Until ``enforced_from``, starts may use the previous one, too."""
        self.previous_capacities.append((self.record.capacity, enforced_from))
        self.record = replace(self.record, capacity=capacity)

    def judged_capacity(self) -> Demand:
        """Return the capacity that starts must fit: a reduction counts once it is enforced."""
        self.previous_capacities = [row for row in self.previous_capacities if self.now < row[1]]
        capacity = self.record.capacity
        for before, _ in self.previous_capacities:
            capacity = capacity.union(before)
        return capacity

    def free(self, capacity: Demand | None = None) -> Demand:
        """Return the unused part of a capacity, by default of the current one."""
        capacity = capacity or self.record.capacity
        cpu, memory = capacity.milli_cpu, capacity.memory_mb
        for run in self.running.values():
            demand = self.world.step_of(run.task).demand
            cpu -= demand.milli_cpu
            memory -= demand.memory_mb
        return Demand(cpu, memory)

    def start(self, order: StartOrder, until_s: float, token: int) -> StartOutcome:
        self.advance()
        self.fence(token)
        self.until = max(self.until, min(until_s, self.clock + self.world.max_lease_s))
        if until_s <= self.clock:
            return StartOutcome.LATE
        if self.refuses_with:
            return self.refuses_with
        present = self.running.get(order.task)
        if present and present.run == order.run:
            return StartOutcome.STARTED
        if order.run <= self.refused_below.get(order.task, 0) or present:
            return StartOutcome.SUPERSEDED
        step = self.world.step_of(order.task)
        guarded = self.world.guards_room
        free = self.free(None if guarded else self.judged_capacity())
        if step.demand.milli_cpu > free.milli_cpu or step.demand.memory_mb > free.memory_mb:
            if guarded:
                return StartOutcome.NO_ROOM
            self.world.violations.append(f"{self.now:.2f} LIMIT {order.task} overfills")
        self.world.judge_start(self, order)
        slowdown = self.world.slowdowns.get(self.record.address, 1.0)
        duration_s = slowdown * self.world.running_time(order.task)
        run = _Run(order.task, order.run, order.payload, self.now, self.now + duration_s, False)
        run.fails = self.world.fails(order.task, order.run)
        self.running[order.task] = run
        self._later(duration_s + 1e-6, self.advance)
        if step.gang and not self.world.assembled(order.task, order.run):
            self._later(GANG_TIMEOUT_S, self._end_alone, run)
        self.world.crash_after_start(self, order.task, order.run)
        return StartOutcome.STARTED

    def stop(self, order: StopOrder, token: int) -> None:
        self.advance()
        self.fence(token)
        below = max(self.refused_below.get(order.task, 0), order.run)
        self.refused_below[order.task] = below
        run = self.running.get(order.task)
        if run and run.run == order.run and not run.stopping:
            run.stopping = True
            self._later(STOP_S, self._finish, run, EndKind.STOPPED)

    def _later(self, delay_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback that runs even if the calling host stops."""
        asyncio.get_running_loop().call_later(delay_s, callback, *args, context=Context())

    def fence(self, token: int) -> None:
        if token < self.token:
            raise Fenced("a newer owner")
        self.token = token
        if self.clock >= self.until:
            self.lease_expired_at = (self.until - self.clock_ahead_s) / self.slow_clock

    def advance(self) -> None:
        """End the runs that are finished or whose lease has expired."""
        if not self.alive or not self.running:
            return
        now = self.now
        if self.clock >= self.until:
            for run in list(self.running.values()):
                self._finish(run, EndKind.LAPSED)
        due = [run for run in self.running.values() if now >= run.ends_at]
        # A gang member without the others does no work; `_end_alone` ends it.
        due = [run for run in due if self.world.may_end(run.task, run.run)]
        for run in due:
            self._finish(run, EndKind.FAILED if run.fails else EndKind.DONE)

    def _finish(self, run: _Run, kind: EndKind) -> None:
        if not self.alive or self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.refused_below[run.task] = max(self.refused_below.get(run.task, 0), run.run)
        self.last_number += 1
        self.ended.append(EndedTask(self.last_number, run.task, run.run, kind, ""))
        self.world.judge_end(self, run.task, run.run, kind)
        self.changed.set()
        self.changed = asyncio.Event()

    def fail(self, task: TaskName) -> None:
        """End the run of a task as failed now."""
        self._finish(self.running[task], EndKind.FAILED)

    def _end_alone(self, run: _Run) -> None:
        if not self.world.assembled(run.task, run.run):
            self._finish(run, EndKind.ALONE)

    def break_member(self, member: TaskName, run: int) -> None:
        """End the runs of a gang that lost a member on another executor."""
        for other in list(self.running.values()):
            task = other.task
            if task[:3] == member[:3] and other.run == run and self.world.step_of(task).gang:
                self._finish(other, EndKind.BROKEN)

    def report(self, acknowledged: int) -> ExecutorReport:
        self.advance()
        for end in self.ended:
            if end.number <= acknowledged:
                self.world.judge_acknowledged(self, end)
        self.ended = [end for end in self.ended if end.number > acknowledged]
        self.world.judge_listed(self, self.ended)
        running = tuple(self._row(run) for run in self.running.values())
        return ExecutorReport(
            self.clock, running, tuple(self.ended), started_at_ms=self.started_at_ms
        )

    def _row(self, run: _Run) -> RunningTask:
        at_work = self.world.step_of(run.task).standing
        figure = self.world.figure(run.task)
        return RunningTask(run.task, run.run, "", 100 if at_work else 50, figure)


class ExecutorLink:
    """Link of one tenure to all executors."""

    def __init__(self, world: HallExecutors, host: str, token: int) -> None:
        self._world = world
        self._host = host
        self._token = token

    async def start(self, address: str, order: StartOrder, *, until_s: float) -> StartAnswer:
        executor = await self._reach(address, order.executor_id)
        if executor.drops_starts:
            await self._no_answer()
        delay = self._world.late_by()
        if delay:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._start_late, executor, order, until_s)
            await self._no_answer()
        outcome = executor.start(order, until_s, self._token)
        if outcome is StartOutcome.STARTED:
            self._world.judge_prompt_start(executor, order.task)
        await self._answer()
        if not executor.alive:
            # The executor crashed before it sent its answer.
            if self._world.resets:
                raise Unreachable("connection reset")
            await self._no_answer()
        return StartAnswer(outcome, executor.clock)

    def _current_incarnation(self, executor: MemoryExecutor) -> MemoryExecutor:
        """Return the incarnation that a delayed order reaches now."""
        now = self._world.at(executor.record.address)
        same = now and now.record.executor_id == executor.record.executor_id
        return now if now and same and self._world.late_to_next_incarnation else executor

    def _start_late(self, sent_to: MemoryExecutor, order: StartOrder, until_s: float) -> None:
        executor = self._current_incarnation(sent_to)
        if executor.alive:
            try:
                outcome = executor.start(order, until_s, self._token)
            except Fenced:
                return
            self._world.late_starts[outcome] += 1

    async def stop(self, address: str, order: StopOrder) -> bool:
        executor = await self._reach(address, order.executor_id)
        delay = self._world.late_by()
        if delay:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._stop_late, executor, order)
            await self._no_answer()
        executor.stop(order, self._token)
        await self._answer()
        return True

    def _stop_late(self, sent_to: MemoryExecutor, order: StopOrder) -> None:
        executor = self._current_incarnation(sent_to)
        if executor.alive:
            try:
                executor.stop(order, self._token)
            except Fenced:
                return

    async def pace(self, address: str, order: PaceOrder) -> bool:
        await self._reach(address, order.executor_id)
        return True

    async def renew(
        self,
        address: str,
        executor_id: str,
        *,
        acknowledged: int,
        until_s: float | None,
        wait_s: float,
    ) -> ExecutorReport:
        delay_s = self._world.poll_late_by(address)
        if delay_s:
            return await self._renew_late(delay_s, address, executor_id, acknowledged, until_s)
        executor = await self._reach(address, executor_id)
        self._extend_lease(executor, until_s)
        if wait_s and not [e for e in executor.ended if e.number > acknowledged]:
            try:
                async with asyncio.timeout(wait_s):
                    await executor.changed.wait()
            except TimeoutError:
                pass
            if self._world.resets and not executor.alive:
                raise Unreachable("connection reset")
            asked, executor = executor, await self._reach(address, executor_id)
            if executor.record.executor_id == asked.record.executor_id and executor is not asked:
                # The poll went to the previous incarnation, whose connections ended with it.
                raise Unreachable("connection reset")
            executor.fence(self._token)
        report = executor.report(acknowledged)
        await self._answer()
        return report

    def _extend_lease(self, executor: MemoryExecutor, until_s: float | None) -> None:
        executor.fence(self._token)
        executor.advance()
        if until_s is not None:
            limit = executor.clock + self._world.max_lease_s
            executor.until = max(executor.until, min(until_s, limit))

    async def _renew_late(
        self,
        delay_s: float,
        address: str,
        executor_id: str,
        acknowledged: int,
        until_s: float | None,
    ) -> ExecutorReport:
        """Have a poll carried out late, and wait for its answer until the usual timeout."""
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[ExecutorReport] = loop.create_future()

        def carry_out() -> None:
            executor = self._world.at(address)
            own_id = Incarnation.of(executor_id).executor_id
            if not executor or not executor.alive or executor.record.executor_id != own_id:
                return
            try:
                self._extend_lease(executor, until_s)
            except Fenced as error:
                if not answer.done():
                    answer.set_exception(error)
                return
            report = executor.report(acknowledged)
            if not answer.done():
                answer.set_result(report)

        loop.call_later(delay_s, carry_out, context=Context())
        try:
            async with asyncio.timeout(TIMEOUT_S):
                report = await answer
        except TimeoutError:
            raise Unreachable("no answer") from None
        await self._answer()
        return report

    async def _reach(self, address: str, executor_id: str) -> MemoryExecutor:
        await asyncio.sleep(ANSWER_S / 2)
        executor = self._world.at(address)
        if executor is None:
            # No connection is established where there has never been an executor.
            await asyncio.sleep(TIMEOUT_S)
            raise Unconnected("no connection")
        if self._world.resets and not executor.alive:
            raise Unconnected("connection refused")
        if not executor.alive or self._world.is_cut(self._host, executor):
            await self._no_answer()
        if executor.record.executor_id != Incarnation.of(executor_id).executor_id:
            raise WrongIncarnation(executor_id)
        return executor

    async def _answer(self) -> None:
        await asyncio.sleep(ANSWER_S / 2)
        if self._world.loses_answer():
            await self._no_answer()

    async def _no_answer(self) -> None:
        await asyncio.sleep(TIMEOUT_S)
        raise Unreachable("no answer")
