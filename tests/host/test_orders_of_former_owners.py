"""Orders of owners that are no more come late, to lives of executors that began since."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextvars import Context
from dataclasses import dataclass
from random import Random
from typing import Any

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

CUT_AT_S = 0.5
"""When an owner loses the store, and with it what it records, beside orders that are late."""

CUT_S = 4.0
"""Time for which it does."""

CLAIMED_S = 1.5
"""Time by which another host claims later then than one does that an owner handed on to."""

LATE_BEFORE_S = 0.05
"""Time before a kill in which all starts come late: less than a record took beside them."""

FALLING = ("east-0:1", "east-1:1")


async def _hand_on(world: HallWorld) -> None:
    """Have the owner stopped as planned; it starts again."""
    name = world.owner()
    if name:
        await world.remove_host(name)
        await asyncio.sleep(AWAY_S)
        world.start_host(name)


async def _cut_from_store(world: HallWorld) -> None:
    """Have the owner not reach the store for a while."""
    name = world.owner()
    if name:
        world.store.silent.add(name)
        await asyncio.sleep(CUT_S)
        world.store.silent.discard(name)


async def _played(
    seed: int,
    trouble: Callable[[HallWorld], Awaitable[None]],
    times_s: tuple[float, ...],
    *,
    falls_later_s: float = 0.0,
    **fields: Any,
) -> RestartingDay:
    """Play a day on which owners change beside orders that are late, before executors fall."""
    tasks: list[asyncio.Future[None]] = []

    def begin(world: HallWorld) -> None:
        loop = asyncio.get_running_loop()
        world.late_share = LATE_SHARE
        loop.call_later(LATE_FOR_S, setattr, world, "late_share", 0.0)
        for after_s in times_s:
            loop.call_later(after_s, lambda: tasks.append(asyncio.ensure_future(trouble(world))))
        _let_fall(world, falls_later_s)

    return await _play_late(begin, seed, **fields)


def _let_fall(world: HallWorld, later_s: float) -> None:
    """Let executors fall in turn, each time two of them."""
    loop = asyncio.get_running_loop()
    for after_s in FALLS_S:
        for address in FALLING:
            loop.call_later(after_s + later_s, world.restart_executor, address, context=Context())


async def _play_late(begin: Callable[[HallWorld], None], seed: int, **fields: Any) -> RestartingDay:
    """Play a day on which orders come late to whoever has the id by then, from a begin on."""
    return await play(
        Restarts(addresses=(), beside=begin, at_s=FALL_AT_S - LATE_FOR_S),
        seed=seed,
        late_most_s=LATE_MOST_S,
        late_to_next_life=True,
        entry_after_s=HEARTBEAT_S,
        **fields,
    )


@dataclass(frozen=True)
class Kill:
    """How an owner is killed while its last starts are on their way.

    Attributes:
        at_s: When, from the time on at which the days above let orders be late.
        falls_later_s: How much later than on those days executors fall.
        load: Jobs that leave no room, so that tasks wait for some; or none in particular.
    """

    at_s: float
    falls_later_s: float
    load: dict[str, int]

    @classmethod
    def drawn(cls, seed: int) -> Kill:
        """Return the one of a seed."""
        random = Random(seed)
        at_s = random.uniform(0.5, 1.4)
        falls_later_s = random.choice((0.0, 0.4, 1.5))
        return cls(at_s, falls_later_s, random.choice(({}, {"tasks": 8, "milli_cpu": 4000})))


async def _killed(seed: int) -> RestartingDay:
    """Play a day on which an owner is killed right after it sent starts that all come late."""
    kill = Kill.drawn(seed)

    def begin(world: HallWorld) -> None:
        loop = asyncio.get_running_loop()

        def end() -> None:
            world.late_share = 0.0
            name = world.owner()
            if name:
                world.kill_host(name)
                loop.call_later(AWAY_S, world.start_host, name)

        loop.call_later(kill.at_s - LATE_BEFORE_S, setattr, world, "late_share", 1.0)
        loop.call_later(kill.at_s, end)
        _let_fall(world, kill.falls_later_s)

    return await _play_late(begin, seed, **kill.load)


def _judge(day: RestartingDay) -> None:
    assert day.world.problems == []
    assert set(day.states) == {"succeeded"}
    assert set(day.standing) <= day.running


@pytest.mark.parametrize("hand_ons", HAND_ONS)
@pytest.mark.parametrize("seed", range(6))
def test_an_order_of_a_former_owner_runs_nothing_twice(seed: int, hand_ons: str) -> None:
    """Guards against a next owner that knows nothing of starts that may still come."""
    _judge(run_virtual(_played(seed, _hand_on, HAND_ONS[hand_ons]), limit_s=400.0))


@pytest.mark.parametrize("seed", range(10, 16))
def test_an_order_of_an_owner_that_lost_the_store_runs_nothing_twice(seed: int) -> None:
    """Guards against starts that an owner sent again while it could not record that."""
    played = _played(seed, _cut_from_store, (CUT_AT_S,), falls_later_s=CLAIMED_S)
    _judge(run_virtual(played, limit_s=400.0))


@pytest.mark.parametrize("seed", [2, 6, 11, 13, 19, 20])
def test_an_order_that_no_record_names_runs_nothing_twice(seed: int) -> None:
    """Guards against starts of waiting tasks that an owner without the store sent twice."""
    waiting = {"tasks": 8, "milli_cpu": 4_000}
    played = _played(seed, _cut_from_store, (CUT_AT_S,), falls_later_s=CLAIMED_S, **waiting)
    _judge(run_virtual(played, limit_s=400.0))


@pytest.mark.parametrize("seed", [25, 39, 41, 43, 57])
def test_a_start_of_an_owner_that_is_killed_runs_nothing_twice(seed: int) -> None:
    """Guards against starts that are on their way when their owner is killed, and on no record."""
    _judge(run_virtual(_killed(seed), limit_s=400.0))
