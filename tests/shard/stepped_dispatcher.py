"""A dispatcher of orders whose event loop tests advance by hand."""

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
from linkspan.shard.reports._watch import ExecutorWatch
from tests.job_builders import step
from tests.shard.builders import core_with

LEASE_S = 6.0


def _ignore(*_args: object, **_fields: object) -> None:
    """Discard what is measured or logged."""


class SteppedDispatcher:
    """A dispatcher whose event loop is advanced by hand.

    Args:
        core: The core whose orders are sent; one with a job of one task and two executors if not
            given.
    """

    def __init__(self, core: ShardCore | None = None) -> None:
        self.core = core or core_with(step(1))
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
        """Plan, and queue the orders."""
        with patch.object(time, "clock_gettime", lambda _clock: now):
            self.dispatcher._plan()

    def run_pending(self, now: float) -> None:
        """Send the queued orders."""
        waiting, self.waiting[:] = list(self.waiting), []
        with patch.object(time, "clock_gettime", lambda _clock: now):
            for work in waiting:
                asyncio.run(work)
