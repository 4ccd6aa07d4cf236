"""Orders of owners that handed on come late, to lives of executors that began since."""

from __future__ import annotations

import asyncio
from contextvars import Context

import pytest

from tests.hall_executors import HEARTBEAT_S
from tests.hall_world import HallWorld
from tests.host.restarting_day import FALL_AT_S, RestartingDay, Restarts, play
from tests.virtual_time import run_virtual

LATE_SHARE = 0.3
LATE_MOST_S = 6.0

LATE_FOR_S = 1.5
"""Time before the first fall in which orders are late."""

HAND_ONS = {"once": (0.3,), "twice": (0.3, 1.0)}
"""When owners hand on in that time: what the last one takes over begins, and some of it ends,
before executors fall."""

AWAY_S = 0.3
"""Time after which a host that was stopped starts again."""

FALLS_S = (1.5, 2.2, 2.9, 3.6, 4.3)
"""When executors fall, from the first late order on."""

FALLING = ("east-0:1", "east-1:1")


async def _hand_on(world: HallWorld) -> None:
    """Have the owner stopped as planned; it starts again."""
    name = world.owner()
    if name:
        await world.remove_host(name)
        await asyncio.sleep(AWAY_S)
        world.start_host(name)


async def _played(seed: int, hand_ons: tuple[float, ...]) -> RestartingDay:
    tasks: list[asyncio.Task[None]] = []

    def begin(world: HallWorld) -> None:
        loop = asyncio.get_running_loop()
        world.late_share = LATE_SHARE
        loop.call_later(LATE_FOR_S, setattr, world, "late_share", 0.0)
        for after_s in hand_ons:
            loop.call_later(after_s, lambda: tasks.append(loop.create_task(_hand_on(world))))
        for after_s in FALLS_S:
            for address in FALLING:
                loop.call_later(after_s, world.restart_executor, address, context=Context())

    restarts = Restarts(addresses=(), beside=begin, at_s=FALL_AT_S - LATE_FOR_S)
    return await play(
        restarts,
        seed=seed,
        late_most_s=LATE_MOST_S,
        late_to_next_life=True,
        entry_after_s=HEARTBEAT_S,
    )


@pytest.mark.parametrize("hand_ons", HAND_ONS)
@pytest.mark.parametrize("seed", range(6))
def test_an_order_of_a_former_owner_runs_nothing_twice(seed: int, hand_ons: str) -> None:
    """Guards against a next owner that knows nothing of starts that may still come."""
    day = run_virtual(_played(seed, HAND_ONS[hand_ons]), limit_s=400.0)
    assert day.world.problems == []
    assert set(day.states) == {"succeeded"}
    assert set(day.standing) <= day.running
