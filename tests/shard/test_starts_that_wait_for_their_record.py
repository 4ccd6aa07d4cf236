"""Starts of standing tasks wait for their record, and end to wait where they would not be sent."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.clock import steady
from linkspan.shard.core import ShardCore
from linkspan.shard.ownership.ownership import RENEWAL_INTERVAL_S
from tests.job_builders import step
from tests.shard.builders import core_with, report_ends
from tests.shard.crash_builders import only_task
from tests.shard.stepped_dispatcher import SteppedDispatcher
from tests.virtual_time import run_virtual

OUTAGE_S = 9.0
"""Longest outage of the store."""


async def _sending(core: ShardCore, stepped: SteppedDispatcher) -> asyncio.Task[None]:
    stepped.proof.proved(steady())
    for name in list(core.executors):
        report_ends(core, name, asked=steady(), now=steady() + 0.001)
    stepped.dispatcher._plan()
    (sending,) = stepped.waiting
    stepped.waiting.clear()
    return asyncio.create_task(sending)


@pytest.mark.parametrize("standing", [False, True])
def test_only_starts_of_standing_tasks_wait_for_their_record_in_an_outage(standing: bool) -> None:
    """Guards against a start on no record, which a next owner takes for one that was not sent."""

    async def play() -> tuple[int, int]:
        core = core_with(step(1, standing=standing), executors=1)
        stepped = SteppedDispatcher(core)
        sending = await _sending(core, stepped)
        await asyncio.sleep(OUTAGE_S)
        in_outage = len(stepped.sent)
        run = only_task(core).step.run
        run.durable = run.version
        stepped.dispatcher._changes.stored()
        await sending
        return in_outage, len(stepped.sent)

    assert run_virtual(play()) == ((0, 1) if standing else (1, 1))


def test_a_start_that_waits_for_its_record_does_not_bind_a_task_to_a_silent_executor() -> None:
    """Guards against a task that waits for the store although another executor could run it."""

    async def play() -> int:
        core = core_with(step(1, standing=True), executors=1)
        stepped = SteppedDispatcher(core)
        sending = await _sending(core, stepped)
        core.on_silent("e0", steady())
        await sending
        assert stepped.sent == []
        return len(only_task(core).attempts)

    assert run_virtual(play(), limit_s=2.0) == 0


def test_a_start_is_sent_without_its_record_once_the_owner_has_withdrawn_its_statement() -> None:
    """Guards against standing tasks that never start as the store refuses a record for good.

    The start is only sent once a renewal that was sent after the withdrawal is read back: any later
    claim then follows that renewal.
    """

    async def play() -> tuple[int, int]:
        core = core_with(step(1, standing=True), executors=1)
        stepped = SteppedDispatcher(core)
        sending = await _sending(core, stepped)
        for _ in range(20):
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            if core.statement_withdrawn_at == float("inf"):
                stepped.proof.proved(steady())
        assert core.statement_withdrawn_at < steady()
        before = len(stepped.sent)
        stepped.proof.proved(core.statement_withdrawn_at)
        await asyncio.sleep(RENEWAL_INTERVAL_S)
        before += len(stepped.sent)
        stepped.proof.proved(core.statement_withdrawn_at + 0.01)
        await sending
        return before, len(stepped.sent)

    assert run_virtual(play()) == (0, 1)
