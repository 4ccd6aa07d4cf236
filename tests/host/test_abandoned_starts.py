"""A standing task leaves an executor that may still receive its start, and runs once.

Guards against a standing task that is away for more than nine seconds, as an unanswered start bound
it to its executor, and against the price of that: the start is carried out late by the executor's
next incarnation, while the task runs elsewhere.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import Context
from dataclasses import dataclass
from functools import partial

import pytest

from tests.hall_executors import HEARTBEAT_S
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

ARRIVES_AFTER_S = 8.0
"""Time after which the first start arrives: after the task has started elsewhere."""

FAULT_AFTER_S = 0.5
"""Time from the first start until its executor shrinks or crashes, before it is sent again."""

MAX_AWAY_S = 6.0
"""Limits the time until the start elsewhere: at most nine seconds, of which a second unanswered
start needs some."""

DOWN_S = 0.01
"""Time between the crash and the restart of an executor that shrank."""

BACK_BEFORE_S = (0.06, 0.2)
"""Times between a restart and the arrival of the start: as short as two close polls take."""


@dataclass
class FirstStartLate(HallWorld):
    """A deployment in which the first start arrives late.

    Attributes:
        sent_at: Time of the first start, ``None`` before it.
    """

    sent_at: float | None = None

    def late_by(self) -> float:
        if self.sent_at is not None:
            return 0.0
        self.sent_at = self.now
        return ARRIVES_AFTER_S

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()


def shrink(world: HallWorld, address: str, back_after_s: float) -> None:
    """Let an executor refuse the start when it is sent again, and restart it later."""
    world.resize(address, 100)
    restart = partial(world.restart_executor, address, down_s=DOWN_S)
    asyncio.get_running_loop().call_later(back_after_s - DOWN_S, restart, context=Context())


def crash(world: HallWorld, address: str, back_after_s: float) -> None:
    """End an executor, whose next incarnation does not answer until it is back."""
    world.restart_executor(address, down_s=back_after_s)


async def _played(
    fault: Callable[[HallWorld, str, float], None], back_before_s: float
) -> FirstStartLate:
    """Play a fault after the first start, and a restart immediately before the start arrives."""
    world = FirstStartLate(
        executors_per_hall=2, late_to_next_incarnation=True, entry_after_s=HEARTBEAT_S
    )
    await world.begin()
    await asyncio.sleep(1.0)
    spec = world.new_job(step(1, cpu=2_000, standing=True))
    assert await world.submit("east-host-0", spec) == 200
    await asyncio.sleep(FAULT_AFTER_S)
    assert world.sent_at is not None
    (placed,) = world.log.named("STEP_PLACED")
    (name,) = placed["runs"].values()
    (first,) = (e for e in world.executors.values() if e.incarnation_name == name)
    world.record_fault()
    back_at = world.sent_at + ARRIVES_AFTER_S - back_before_s
    fault(world, first.record.address, back_at - world.now)
    await asyncio.sleep(world.sent_at + MAX_AWAY_S - world.now)
    assert sum(len(e.running) for e in world.executors.values() if e.alive) == 1
    await asyncio.sleep(30.0)
    return world


@pytest.mark.parametrize("back_before_s", BACK_BEFORE_S)
@pytest.mark.parametrize("fault", [shrink, crash])
def test_a_start_that_reaches_the_next_incarnation_is_refused(
    fault: Callable[[HallWorld, str, float], None], back_before_s: float
) -> None:
    """Guards against a second run: the next incarnation knew neither a stop nor a token."""
    world = run_virtual(_played(fault, back_before_s), limit_s=200.0)
    assert world.log.named("START_ABANDONED")
    assert world.problems == []
    assert sum(map(len, world.starts.values())) == 1
