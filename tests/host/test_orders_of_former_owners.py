"""Orders of former owners that arrive late, at executors that restarted since, run nothing twice.

A start order may be delayed by seconds. Its owner hands off, loses the store or is killed, and
the executor restarts under the same id. If the next owner does not account for the order, it
starts the task elsewhere, and the order then arrives at the executor's next incarnation.
"""

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
from tests.host.restarting_day import FIRST_CRASH_S, RestartingDay, Restarts, play
from tests.virtual_time import run_virtual

LATE_SHARE = 0.3
MAX_ORDER_DELAY_S = 6.0

LATE_FOR_S = 1.5
"""Time before the first crash during which orders are late."""

HAND_OFFS_S = {"once": (0.3,), "twice": (0.3, 1.0)}
"""When owners hand off during that time.

The work that the last owner takes over starts, and some of it ends, before executors crash.
"""

HOST_DOWN_S = 0.3
"""Time after which a stopped host starts again."""

CRASHES_S = (1.5, 2.2, 2.9, 3.6, 4.3)
"""When executors crash, in seconds from the first late order on."""

CUT_AT_S = 0.5
"""When an owner loses the store, and with it the ability to record, while orders are late."""

CUT_S = 4.0
"""How long the owner is without the store."""

CLAIM_DELAY_S = 1.5
"""How much later another host claims after such a loss than after a hand-off."""

LATE_BEFORE_S = 0.05
"""Time before a kill during which all starts are late: less than a record of them takes."""

CRASHING = ("east-0:1", "east-1:1")


async def _hand_off(world: HallWorld) -> None:
    """Stop the owner as planned, and start it again."""
    name = world.owner()
    if name:
        await world.remove_host(name)
        await asyncio.sleep(HOST_DOWN_S)
        world.start_host(name)


async def _cut_from_store(world: HallWorld) -> None:
    """Cut the owner off from the store for a while."""
    name = world.owner()
    if name:
        world.store.silent.add(name)
        await asyncio.sleep(CUT_S)
        world.store.silent.discard(name)


async def _played(
    seed: int,
    fault: Callable[[HallWorld], Awaitable[None]],
    times_s: tuple[float, ...],
    *,
    crash_delay_s: float = 0.0,
    **fields: Any,
) -> RestartingDay:
    """Play a day on which owners change while orders are late, before executors crash."""
    tasks: list[asyncio.Future[None]] = []

    def begin(world: HallWorld) -> None:
        loop = asyncio.get_running_loop()
        world.late_share = LATE_SHARE
        loop.call_later(LATE_FOR_S, setattr, world, "late_share", 0.0)
        for after_s in times_s:
            loop.call_later(after_s, lambda: tasks.append(asyncio.ensure_future(fault(world))))
        _schedule_crashes(world, crash_delay_s)

    return await _play_late(begin, seed, **fields)


def _schedule_crashes(world: HallWorld, later_s: float) -> None:
    """Schedule the crashes of executors, each time of two of them."""
    loop = asyncio.get_running_loop()
    for after_s in CRASHES_S:
        for address in CRASHING:
            loop.call_later(after_s + later_s, world.restart_executor, address, context=Context())


async def _play_late(begin: Callable[[HallWorld], None], seed: int, **fields: Any) -> RestartingDay:
    """Play a day on which late orders reach the executor that has the id by then.

    Args:
        begin: Called with the world when orders begin to be late.
        seed: Decides all random choices.
        **fields: Further arguments of the day.
    """
    return await play(
        Restarts(addresses=(), on_crash=begin, at_s=FIRST_CRASH_S - LATE_FOR_S),
        seed=seed,
        max_order_delay_s=MAX_ORDER_DELAY_S,
        late_to_next_incarnation=True,
        entry_after_s=HEARTBEAT_S,
        **fields,
    )


@dataclass(frozen=True)
class Kill:
    """How an owner is killed while its last starts are unanswered.

    Attributes:
        at_s: When, counted from the time at which orders begin to be late on the other days.
        crash_delay_s: How much later than on those days executors crash.
        load: Jobs that fill all capacity, so that tasks have to wait; or empty for the default.
    """

    at_s: float
    crash_delay_s: float
    load: dict[str, int]

    @classmethod
    def of_seed(cls, seed: int) -> Kill:
        """Return the kill that a seed selects."""
        random = Random(seed)
        at_s = random.uniform(0.5, 1.4)
        crash_delay_s = random.choice((0.0, 0.4, 1.5))
        return cls(at_s, crash_delay_s, random.choice(({}, {"tasks": 8, "milli_cpu": 4000})))


async def _killed(seed: int) -> RestartingDay:
    """Play a day on which an owner is killed right after it sent starts that are all late."""
    kill = Kill.of_seed(seed)

    def begin(world: HallWorld) -> None:
        loop = asyncio.get_running_loop()

        def end() -> None:
            world.late_share = 0.0
            name = world.owner()
            if name:
                world.kill_host(name)
                loop.call_later(HOST_DOWN_S, world.start_host, name)

        loop.call_later(kill.at_s - LATE_BEFORE_S, setattr, world, "late_share", 1.0)
        loop.call_later(kill.at_s, end)
        _schedule_crashes(world, kill.crash_delay_s)

    return await _play_late(begin, seed, **kill.load)


def _judge(day: RestartingDay) -> None:
    assert day.world.problems == []
    assert set(day.states) == {"succeeded"}
    assert set(day.standing) <= day.running


@pytest.mark.parametrize("hand_ons", HAND_OFFS_S)
@pytest.mark.parametrize("seed", range(6))
def test_an_order_of_a_former_owner_runs_nothing_twice(seed: int, hand_ons: str) -> None:
    """Guards against a next owner that does not know of starts that may still arrive."""
    _judge(run_virtual(_played(seed, _hand_off, HAND_OFFS_S[hand_ons]), limit_s=400.0))


@pytest.mark.parametrize("seed", range(10, 16))
def test_an_order_of_an_owner_that_lost_the_store_runs_nothing_twice(seed: int) -> None:
    """Guards against starts that an owner sent again while it could not record them."""
    played = _played(seed, _cut_from_store, (CUT_AT_S,), crash_delay_s=CLAIM_DELAY_S)
    _judge(run_virtual(played, limit_s=400.0))


@pytest.mark.parametrize("seed", [2, 6, 11, 13, 19, 20])
def test_an_order_that_no_record_names_runs_nothing_twice(seed: int) -> None:
    """Guards against starts of queued tasks that an owner without the store sent twice."""
    waiting = {"tasks": 8, "milli_cpu": 4_000}
    played = _played(seed, _cut_from_store, (CUT_AT_S,), crash_delay_s=CLAIM_DELAY_S, **waiting)
    _judge(run_virtual(played, limit_s=400.0))


@pytest.mark.parametrize("seed", [25, 39, 41, 43, 57])
def test_a_start_of_an_owner_that_is_killed_runs_nothing_twice(seed: int) -> None:
    """Guards against unrecorded starts that are unanswered when their owner is killed."""
    _judge(run_virtual(_killed(seed), limit_s=400.0))
