"""Executors that fall and start again under the id that they had.

What was seen: tasks that had ended as done were begun again, and their ends had been taken note
of; standing tasks did not run for the rest of the day, beside room; jobs stayed as running; and
executors that had been away for seconds were never used again.

Cause: all that was known of an executor was known by its id, which the next life had again. Ends,
which count from 1 in each life, were passed over and forgotten by the numbers of the life before;
reports were dropped while the new clock was behind the old one; an id that was once proved gone
stayed so. Each by itself is enough, none is a race: 59 starts after an end that was taken note of,
three of three standing tasks away, two of three executors never used, before the mend.
"""

from __future__ import annotations

import asyncio
from contextvars import Context
from typing import Any

import pytest

from tests.hall_world import HallWorld
from tests.host.crashing_day import states, submit
from tests.host.restarting_day import AHEAD_S, RestartingDay, Restarts, play
from tests.job_builders import step
from tests.virtual_time import run_virtual

ALL = ("east-0:1", "east-1:1", "east-2:1")

CLOCKS = {"behind": 0.0, "ahead": AHEAD_S, "on": None}


def _played(restarts: Restarts, **fields: Any) -> RestartingDay:
    return run_virtual(play(restarts, **fields), limit_s=200.0)


def _assert_whole(day: RestartingDay) -> None:
    """Nothing ran twice, nothing is lost, and all room is used."""
    assert day.world.problems == []
    assert set(day.states) == {"succeeded"}
    assert set(day.standing) <= day.running


def test_standing_tasks_and_jobs_go_on_though_clocks_begin_anew() -> None:
    _assert_whole(_played(Restarts()))


def test_an_end_of_a_new_life_is_not_taken_for_one_of_the_life_before() -> None:
    _assert_whole(_played(Restarts(clock_s=AHEAD_S)))


def test_executors_that_were_away_for_seconds_are_used_again() -> None:
    day = _played(Restarts(down_s=4.0))
    _assert_whole(day)
    assert day.idle == []


@pytest.mark.parametrize("clock", CLOCKS)
@pytest.mark.parametrize("resets", [True, False])
@pytest.mark.parametrize("down_s", [0.01, 0.5, 1.5, 4.0, 6.0])
def test_whatever_the_clock_and_the_time_away(clock: str, resets: bool, down_s: float) -> None:
    _assert_whole(_played(Restarts(down_s=down_s, clock_s=CLOCKS[clock]), resets=resets))


@pytest.mark.parametrize("clock", CLOCKS)
def test_all_executors_of_a_hall_at_once(clock: str) -> None:
    _assert_whole(_played(Restarts(addresses=ALL, clock_s=CLOCKS[clock])))


@pytest.mark.parametrize("clock", CLOCKS)
def test_six_times_in_a_row(clock: str) -> None:
    restarts = Restarts(times=6, every_s=1.7, clock_s=CLOCKS[clock])
    # Jobs come in until after the last fall, so that there is work for whoever is back.
    day = _played(restarts, jobs=110)
    assert day.world.problems == []
    assert set(day.standing) <= day.running
    assert day.idle == []


@pytest.mark.parametrize("clock", CLOCKS)
@pytest.mark.parametrize("machines", [True, False])
def test_the_owner_is_killed_with_them(clock: str, machines: bool) -> None:
    def kill_owner(world: HallWorld) -> None:
        owner = world.owner()
        if owner:
            world.kill_host(owner)
            loop = asyncio.get_running_loop()
            loop.call_later(2.0, world.start_host, owner, context=Context())

    restarts = Restarts(clock_s=CLOCKS[clock], beside=kill_owner)
    _assert_whole(_played(restarts, lists_machines=machines))


@pytest.mark.parametrize("clock", CLOCKS)
@pytest.mark.parametrize("seed", range(4))
def test_beside_late_orders_and_lost_answers(clock: str, seed: int) -> None:
    restarts = Restarts(clock_s=CLOCKS[clock], times=2)
    _assert_whole(_played(restarts, seed=seed, late_share=0.05, lost_answer_share=0.05))


@pytest.mark.parametrize("clock", CLOCKS)
def test_runs_that_fail_are_counted_once(clock: str) -> None:
    day = _played(Restarts(clock_s=CLOCKS[clock], times=2), failing_share=0.05)
    assert day.world.problems == []
    assert set(day.states) <= {"succeeded", "failed"}
    assert set(day.standing) <= day.running


@pytest.mark.parametrize("estimate_s", [1.0, 2.0, 3.0])
@pytest.mark.parametrize("seed", [7, 9, 11])
def test_a_hall_that_starts_again_thrice_fails_no_job(seed: int, estimate_s: float) -> None:
    """One of six innocent jobs was given up.

    The first executor that is found to have started again looked as if it had fallen alone, so
    the crash named what was there; with ids that stay, the others are found moments later.
    """

    async def thrice() -> list[str]:
        world = HallWorld(halls=("east", "west"), executors_per_hall=6, seed=seed)
        await world.begin()
        specs = [await submit(world, step(4, estimate_s=estimate_s)) for _ in range(6)]
        await asyncio.sleep(0.5)
        for _ in range(3):
            for address, executor in world.executors.items():
                if executor.record.hall == "east":
                    world.restart_executor(address, down_s=0.001)
            await asyncio.sleep(2.0)
        await asyncio.sleep(40.0)
        return world.problems + await states(world, specs)

    assert run_virtual(thrice(), limit_s=100.0) == ["succeeded"] * 6
