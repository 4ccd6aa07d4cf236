"""Makes plans and sends the resulting orders."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import Unconnected, Unreachable, WrongIncarnation
from linkspan.shard.attempt import Phase
from linkspan.shard.handover.backlog import size_class
from linkspan.shard.messages import PaceOrder, StartOrder, StopOrder
from linkspan.shard.orders._orders import MAX_ANSWER_AGE_S
from linkspan.shard.planning.planner import Planner
from linkspan.shard.planning.start_counts import WorkKind

if TYPE_CHECKING:
    from linkspan.shard._context import TenureContext
    from linkspan.shard.core import Order
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.reports._watch import ExecutorWatch
    from linkspan.shard.task import Task

MIN_PLAN_DELAY_S = 0.004
"""Minimum time to collect changes before a plan."""

MAX_PLAN_DELAY_S = 0.03
"""Limits the time to collect changes before a plan: short tasks have to start within tens of
milliseconds."""

PLAN_DELAY_FACTOR = 10.0
"""Time to collect changes as a multiple of the duration of the last plan. Each answer to the orders
of a plan brings changes, and without a delay an owner would plan again for each of them. With it
planning takes at most an eleventh of an owner's time, until the maximum delay is reached."""

MAX_RECORD_WAIT_S = 1.0
"""Limits how long a start waits for its record: a slow store answers in 0.4 s, and another append
may be in progress. A start of a task with a crash history waits without a limit."""

MAX_FAILURE_RECORD_WAIT_S = 1.0
"""Limits how long a start that follows a failed run holds capacity while the failure is not on
record. The start is then withheld, and the task placed again once that is."""

MAX_RECORD_WAIT_IN_OUTAGE_S = 0.3
"""The same limit while the store refuses or does not answer: work continues during a store
outage."""

MAX_STANDING_RECORD_WAIT_S = 10.0
"""Time for which a start of a standing task waits for its record before it may be sent without.
Outages of the store last up to 9 s; a longer wait shows a record that the store does not take."""

RECORD_CHECK_INTERVAL_S = 0.1
"""Interval between checks whether a start that waits for its record would still be sent."""

MAX_ANSWER_WAIT_S = 2.0
"""Limits how long the start of a task that may crash executors waits for a fresh answer of its
executor. On an overloaded host each answer is too old when it is applied."""

MAX_ANSWER_WAIT_AT_LIMIT_S = 3.0
"""The same limit for a task that the next crash may give up. If that crash is not certain, the task
is not given up and may crash one more executor."""

ANSWER_RETRY_S = 0.02
"""Pause before an executor is polled again whose answer was not fresh enough."""

START_CHECK_DELAY_S = 0.1
"""Time after which the executor of an unanswered start is polled, if the task may crash executors:
executors answer starts within milliseconds."""


def plan_delay_s(duration_s: float) -> float:
    """Return how long to collect changes after a plan of a given duration, in seconds.

    Example:
        >>> [plan_delay_s(duration_s) for duration_s in (0.0001, 0.001, 0.1)]
        [0.004, 0.01, 0.03]
    """
    return min(max(PLAN_DELAY_FACTOR * duration_s, MIN_PLAN_DELAY_S), MAX_PLAN_DELAY_S)


class Dispatcher:
    """Makes a plan after changes and sends its orders.

    Args:
        context: Components of the tenure.
        watch: Polls executors.
    """

    def __init__(self, context: TenureContext, watch: ExecutorWatch) -> None:
        self._core = context.core
        self._shard = context.shard
        self._settings = context.settings
        self._calls = context.calls
        self._metrics = context.metrics
        self._writer = context.writer
        self._scope = context.scope
        self._proof = context.proof
        self._changes = context.changes
        self._watch = watch
        self._planner = Planner(self._core)

    def __repr__(self) -> str:
        return f"Dispatcher(shard={self._shard})"

    async def plan_loop(self) -> None:
        """Make a plan whenever there are changes."""
        duration_s = 0.0
        while True:
            await self._changes.wake.wait()
            await asyncio.sleep(plan_delay_s(duration_s))
            self._changes.wake.clear()
            began = steady()
            self._plan()
            duration_s = steady() - began

    def _plan(self) -> None:
        now = steady()
        if self._proof.may_act(now):
            self._planner.plan(now, time.time())
            self._send_orders()
            if self._planner.left_over:
                self._changes.wake.set()
        self._changes.notify_writers()

    def _send_orders(self) -> None:
        core = self._core
        orders, core.orders = core.orders, []
        for order in orders:
            if isinstance(order, StartOrder):
                self._observe_wait(order)
        for order in orders:
            self._scope.spawn(self._send(order))
        to_poll, core.executors_to_poll = core.executors_to_poll, set()
        for executor_id in sorted(to_poll):
            executor = core.executors.get(executor_id)
            if executor:
                self._scope.spawn(self._watch.poll_once(executor))

    def _observe_wait(self, order: StartOrder) -> None:
        waited_s = self._core.waiting_time_s(order, steady())
        self._metrics.observe("start_wait", waited_s)
        task = self._core.find_task(order.task)
        if task is None:
            return
        spec = task.step.spec
        cores = str(size_class(spec.demand.milli_cpu) // 1000)
        self._metrics.observe("wait_by_size", waited_s, work=WorkKind.of(spec).value, cores=cores)

    def _may_send(self, order: Order, executor: ExecutorState) -> bool:
        """Whether an order is still valid.

        A freeze of this process since the plan may have left its ownership uncertain, or a start's
        run given up and planned elsewhere.
        """
        if not self._proof.may_act(steady()):
            return False
        if not isinstance(order, StartOrder):
            return True
        attempt = executor.attempts.get((order.task, order.run))
        # A start that is meanwhile counted at the next incarnation was certainly not sent. Crashes
        # found since the plan may be enough to give the task up.
        if attempt is None or attempt.phase is not Phase.STARTING or attempt.task.decision_pending:
            return False
        if attempt.task.step.run.job.closing:
            # A start whose job ends while it waits is not on record, and nothing needs it any more.
            return False
        if not self._core.admits_starts(executor):
            return False
        if executor.silent_since is not None:
            # An unanswered start would bind the task to this executor.
            return False
        if self._core.acknowledgements.prevents_starts(executor, steady()):
            return False
        # Crashes found since the plan must be on record before the start, as those before it.
        return attempt.task.crash_history_durable and attempt.task.failures_durable

    async def _send(self, order: Order) -> None:
        if isinstance(order, StartOrder):
            if not await self._wait_for_record(order):
                self._on_undelivered(order)
                return
            await self._wait_for_answer(order)
            await self._wait_for_acknowledgement(order)
        executor = self._core.executors.get(order.executor_id)
        if executor is None or executor.clock is None or not self._may_send(order, executor):
            self._on_undelivered(order)
            return
        address = executor.record.address
        try:
            with self._calls.to(executor) as call:
                if isinstance(order, StartOrder):
                    until = executor.clock.grant(self._settings.bounds.max_lease_s, steady())
                    began = steady()
                    self._core.on_start_sent(order, began)
                    if self._may_crash_executor(order):
                        self._scope.spawn(self._check_start(order))
                    answer = await call.start(address, order, until_s=until)
                    self._metrics.observe("executor_call", steady() - began, call="start")
                    self._metrics.count("starts", outcome=answer.outcome.name.lower())
                    self._core.on_started(order, answer, steady())
                elif isinstance(order, StopOrder):
                    taken = await call.stop(address, order)
                    self._core.on_stopped(order, taken, steady())
                elif not await call.pace(address, order):
                    self._core.on_pace_unknown(order)
        except WrongIncarnation:
            # The addressed incarnation ended before the order arrived, so the run was not there
            # when that incarnation crashed.
            self._on_undelivered(order)
            self._core.on_other_answered(order.executor_id, address, steady())
        except Unconnected as error:
            self._count_unreachable(order)
            self._core.on_silent(order.executor_id, steady(), cause=str(error))
            self._on_undelivered(order)
        except Unreachable:
            self._count_unreachable(order)
            if isinstance(order, StartOrder):
                self._core.on_start_unanswered(order, steady())
            elif isinstance(order, PaceOrder):
                self._core.on_pace_unknown(order)
        self._changes.notify()

    async def _wait_for_record(self, order: StartOrder) -> bool:
        """Wait until a start is on record, and return whether it may be sent.

        The executor's next incarnation may carry out a start seconds after its owner is lost. The
        next owner then needs the record to know where the task was started and which crash it
        caused. It starts standing tasks without a recorded attempt at once, so no first start of
        theirs is sent without a record.
        """
        task = self._core.find_task(order.task)
        if task is None:
            return False
        run = task.step.run
        version = run.version
        if task.step.spec.standing and task.idle_in_record:
            return await self._wait_for_version(order, run, version)
        if not await self._wait_for_failures(order, task):
            return False
        limit_s = None if task.crash_history else self._max_record_wait_s()
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while run.durable < version and self._may_still_start(run):
                    self._changes.starts.set()
                    await self._changes.next_stored()
        return True

    async def _wait_for_failures(self, order: StartOrder, task: Task) -> bool:
        """Wait until a task's failed runs are on record, and return whether they are.

        A next owner that does not know of one would start the task beyond its queue's limit.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_FAILURE_RECORD_WAIT_S):
                while not task.failures_durable and self._may_still_start(task.step.run):
                    self._changes.starts.set()
                    await self._changes.next_stored()
        if not task.failures_durable:
            self._core.on_start_withheld(order)
        return task.failures_durable

    async def _wait_for_version(self, order: StartOrder, run: JobRun, version: int) -> bool:
        """Wait until a version of a repetition is durable, and return whether it is.

        The wait ends early if the start would not be sent any more. It also ends if the store takes
        renewals but not this record, once next owners can know that starts may lack theirs.
        """
        began = steady()
        while run.durable < version:
            executor = self._core.executors.get(order.executor_id)
            attempt = executor.attempts.get((order.task, order.run)) if executor else None
            if attempt is None or attempt.phase is not Phase.STARTING:
                return False
            if (executor and executor.silent_since is not None) or not self._may_still_start(run):
                return False
            if steady() - began >= MAX_STANDING_RECORD_WAIT_S and self._has_withdrawn_statement():
                return True
            self._changes.starts.set()
            with suppress(TimeoutError):
                async with asyncio.timeout(RECORD_CHECK_INTERVAL_S):
                    await self._changes.next_stored()
        return True

    def _has_withdrawn_statement(self) -> bool:
        """Withdraw the statement on starts of standing tasks; return whether that is on record.

        Any claim then follows a renewal without the statement.
        """
        withdrawn_at = min(self._core.statement_withdrawn_at, steady())
        self._core.statement_withdrawn_at = withdrawn_at
        return self._proof.proved_at > withdrawn_at

    def _may_crash_executor(self, order: StartOrder) -> bool:
        """Whether so many executors crashed under a start's task that it may be the cause."""
        task = self._core.find_task(order.task)
        return task is not None and task.needs_isolation

    async def _wait_for_answer(self, order: StartOrder) -> None:
        """Wait until a start of a task that may crash executors follows an answer of its executor.

        A crash right after the start leaves no answer to it. Only an executor that had answered
        immediately before is then known to have crashed at the start.
        """
        task = self._core.find_task(order.task)
        if task is None or not self._may_crash_executor(order):
            return
        limit_s = MAX_ANSWER_WAIT_AT_LIMIT_S if task.at_crash_limit else MAX_ANSWER_WAIT_S
        until = steady() + limit_s
        while (executor := self._core.executors.get(order.executor_id)) and steady() < until:
            answered = steady() - executor.alive_at <= MAX_ANSWER_AGE_S
            if answered or executor.silent_since is not None or not self._may_send(order, executor):
                return
            await self._watch.poll_once(executor)
            if steady() - executor.alive_at > MAX_ANSWER_AGE_S:
                await asyncio.sleep(ANSWER_RETRY_S)

    async def _wait_for_acknowledgement(self, order: StartOrder) -> None:
        """Wait until no poll is open that acknowledges ends of a start's executor.

        The executor's next incarnation could carry out the start, then the poll.
        """
        while (
            executor := self._core.executors.get(order.executor_id)
        ) and self._core.acknowledgements.is_open(executor):
            await self._changes.next_acknowledgement_ended()

    async def _check_start(self, order: StartOrder) -> None:
        """Poll the executor of a start that is not answered soon.

        An answer to the poll shows that the executor has not crashed at the start.
        """
        await asyncio.sleep(START_CHECK_DELAY_S)
        executor = self._core.executors.get(order.executor_id)
        attempt = executor.attempts.get((order.task, order.run)) if executor else None
        if executor and attempt and attempt.start_unanswered:
            await self._watch.poll_once(executor)

    def _max_record_wait_s(self) -> float:
        return MAX_RECORD_WAIT_S if self._writer.healthy else MAX_RECORD_WAIT_IN_OUTAGE_S

    def _may_still_start(self, run: JobRun) -> bool:
        """Whether a repetition's starts may still be sent and their record written."""
        return not run.job.closing and self._proof.may_act(steady())

    def _on_undelivered(self, order: Order) -> None:
        """Handle an order that was certainly not sent, or not carried out by its addressee."""
        if isinstance(order, StartOrder):
            self._core.on_start_unsent(order, steady())
        elif isinstance(order, PaceOrder):
            self._core.on_pace_unknown(order)

    def _count_unreachable(self, order: Order) -> None:
        call = type(order).__name__
        self._metrics.count("executor_calls", call=call, outcome="unreachable")
