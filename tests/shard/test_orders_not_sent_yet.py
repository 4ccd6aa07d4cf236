"""Tests that a start is not sent if its attempt was given up after it was planned.

Guards against a task that runs on two executors at once under one owner. The owner's process
freezes for about the duration of a lease. It then plans, still considers an executor alive, and
queues the order for the next turn of its event loop. Before that turn the open poll times out, and
as the lease has expired by now, the executor's attempts are given up. If the order is sent all the
same, the task also starts elsewhere.

An order could also be sent after a freeze between planning and sending: whether another owner may
be active was checked before the freeze, and the lease is computed after it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import patch

from linkspan.model.settings import Bounds
from linkspan.shard._changes import Changes
from linkspan.shard._context import TenureContext
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import StartAnswer, StartOrder, StartOutcome
from linkspan.shard.orders._calls import ExecutorCalls
from linkspan.shard.orders._dispatch import Dispatcher
from linkspan.shard.ownership._proof import OwnershipProof
from linkspan.shard.ownership.ownership import MAX_UNPROVED_S
from linkspan.shard.reports._watch import ExecutorWatch
from tests.job_builders import step
from tests.shard.builders import core_with

LEASE_S = 6.0


def _ignore(*_args: object, **_fields: object) -> None:
    """Discard what is measured or logged."""


class _SteppedDispatcher:
    """A dispatcher whose event loop is advanced by hand."""

    def __init__(self) -> None:
        self.core: ShardCore = core_with(step(1))
        self.sent: list[StartOrder] = []
        self.waiting: list[Coroutine[Any, Any, None]] = []
        log = cast(Any, SimpleNamespace(write=_ignore))
        self.proof = OwnershipProof(0, 0.0, freeze_s=0.3, log=log)
        context = SimpleNamespace(
            core=self.core,
            shard=0,
            settings=SimpleNamespace(bounds=Bounds(max_lease_s=LEASE_S)),
            calls=ExecutorCalls(lambda _token: cast(Any, self), self.core.token_outdated),
            metrics=SimpleNamespace(observe=_ignore, count=_ignore),
            writer=SimpleNamespace(healthy=True),
            scope=SimpleNamespace(spawn=self.waiting.append),
            proof=self.proof,
            changes=Changes(self.core),
        )
        watch = cast(ExecutorWatch, SimpleNamespace())
        self.dispatcher = Dispatcher(cast(TenureContext, context), watch)

    async def start(self, _address: str, order: StartOrder, *, until_s: float) -> StartAnswer:
        self.sent.append(order)
        return StartAnswer(StartOutcome.STARTED, until_s - LEASE_S)

    def plan(self, now: float) -> None:
        with patch.object(time, "clock_gettime", lambda _clock: now):
            self.dispatcher._plan()

    def run_pending(self, now: float) -> None:
        """Send the queued orders."""
        waiting, self.waiting[:] = list(self.waiting), []
        with patch.object(time, "clock_gettime", lambda _clock: now):
            for work in waiting:
                asyncio.run(work)


def test_a_start_is_not_sent_once_the_lease_of_its_executor_has_expired() -> None:
    stepped = _SteppedDispatcher()
    core = stepped.core
    for executor in core.executors.values():
        assert executor.clock
        executor.clock.granted_s = executor.clock.clock_s + LEASE_S
    # The process was frozen since 0.1, the time of its last proof of ownership.
    now = 7.0
    stepped.proof.proved(0.1)
    stepped.plan(now)
    (attempt,) = (a for e in core.executors.values() for a in e.attempts.values())
    core.on_silent(attempt.executor_id, now)
    assert attempt.task.pending
    stepped.run_pending(now)
    assert stepped.sent == []


def test_a_start_is_not_sent_once_its_owner_may_no_longer_act() -> None:
    stepped = _SteppedDispatcher()
    stepped.proof.proved(0.1)
    stepped.plan(0.2)
    stepped.run_pending(0.2 + 2 * MAX_UNPROVED_S)
    assert stepped.sent == []
