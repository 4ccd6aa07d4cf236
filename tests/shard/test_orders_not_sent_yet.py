"""A start whose attempt was given up before it went out goes out no more.

What was suspected: a task ran on two executors at once, under one owner.

How it comes about: the owner's process stands still for about as long as a lease, and goes on.
It plans first, with an executor that it still takes for answering, and the order is to go out
with the next turn of its loop. Before that, the look that was open there runs out of time, and
as the lease there is over by now the executor counts as lapsed, with all that was placed there.
The order was sent all the same, and its task was started elsewhere as well.

In the same way an order goes out although the process stood still between the plan and the
sending: whether another owner may be at work was asked before, and the lease is reckoned after.

What proves it: the tests below, on a dispatcher whose loop is turned by hand.
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


def _ignore(*_told: object, **_fields: object) -> None:
    """Take what is measured or logged."""


class _Turned:
    """A dispatcher of which each turn of the loop is made by hand."""

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

    def turn(self, now: float) -> None:
        """Let the orders that wait go out."""
        waiting, self.waiting[:] = list(self.waiting), []
        with patch.object(time, "clock_gettime", lambda _clock: now):
            for work in waiting:
                asyncio.run(work)


def test_a_start_on_an_executor_that_lapsed_before_it_went_out_is_not_sent() -> None:
    turned = _Turned()
    core = turned.core
    for executor in core.executors.values():
        assert executor.clock
        executor.clock.granted_s = executor.clock.clock_s + LEASE_S
    # The process stood still since 0.1; its last proof is as old.
    now = 7.0
    turned.proof.proved(0.1)
    turned.plan(now)
    (attempt,) = (a for e in core.executors.values() for a in e.attempts.values())
    core.on_silent(attempt.executor_id, now)
    assert attempt.task.pending
    turned.turn(now)
    assert turned.sent == []


def test_a_start_is_not_sent_once_its_owner_may_not_act_any_more() -> None:
    turned = _Turned()
    turned.proof.proved(0.1)
    turned.plan(0.2)
    turned.turn(0.2 + 2 * MAX_UNPROVED_S)
    assert turned.sent == []
