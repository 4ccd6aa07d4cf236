"""Delayed orders that arrive at an executor's next incarnation run nothing twice.

Callers saw tasks that ran twice. A third of the starts got no answer for a second and were
carried out seconds later; two executors crashed and were back under their ids; and at the same
time the owner was killed, suspended or stopped as planned, or another executor drained. Cause and
evidence: see docs/incidents/orders-that-outlast-a-life.md.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from tests.hall_world import HallWorld
from tests.host.restarting_day import FIRST_CRASH_S, RestartingDay, Restarts, play
from tests.virtual_time import run_virtual

LATE_SHARE = 0.3
MAX_ORDER_DELAY_S = 6.0

LATE_FOR_S = 1.5
"""Time before and after the first crash during which starts are late."""

SUSPENDED_S = 3.0

DRAINS_S = 3.0


def _nothing(_world: HallWorld) -> None:
    """Cause no further fault."""


def _kill_owner(world: HallWorld) -> None:
    name = world.owner()
    if name:
        world.kill_host(name)
        asyncio.get_running_loop().call_later(1.0, world.start_host, name)


def _suspend_owner(world: HallWorld) -> None:
    name = world.owner()
    if name:
        running = world.hosts[name]
        world.suspend_host(name)
        asyncio.get_running_loop().call_later(SUSPENDED_S, world.resume, running)


def _drain_another(world: HallWorld) -> None:
    executor = world.executors["east-2:1"]
    world.register(executor, draining=True)
    asyncio.get_running_loop().call_later(DRAINS_S, world.crash_executor, "east-2:1")


FAULTS: dict[str, Callable[[HallWorld], None]] = {
    "nothing": _nothing,
    "owner killed": _kill_owner,
    "owner suspended": _suspend_owner,
    "another drains": _drain_another,
}


async def _played(seed: int, beside: Callable[[HallWorld], None]) -> RestartingDay:
    crashed: list[HallWorld] = []

    def on_crash(world: HallWorld) -> None:
        crashed.append(world)
        if len(crashed) == 1:
            asyncio.get_running_loop().call_later(LATE_FOR_S, setattr, world, "late_share", 0.0)
            beside(world)

    restarts = Restarts(down_s=0.5, times=3, every_s=1.7, on_crash=on_crash, at_s=FIRST_CRASH_S)
    return await play(
        restarts,
        seed=seed,
        late_share=LATE_SHARE,
        max_order_delay_s=MAX_ORDER_DELAY_S,
        late_to_next_incarnation=True,
    )


@pytest.mark.parametrize("beside", FAULTS)
@pytest.mark.parametrize("seed", range(6))
def test_an_order_that_outlasts_an_incarnation_runs_nothing_twice(seed: int, beside: str) -> None:
    """Guards against a run elsewhere, or an acknowledged end, while the first start may arrive."""
    day = run_virtual(_played(seed, FAULTS[beside]), limit_s=400.0)
    assert day.world.problems == []
    assert set(day.states) == {"succeeded"}
    assert set(day.standing) <= day.running
