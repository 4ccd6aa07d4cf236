"""Executors that crash and restart under the same id lose no run and are used again.

Guards against starts of tasks whose end was acknowledged, standing tasks that no longer run
although there is capacity, jobs that stay running, and executors that are never used again after an
outage of seconds. The cause is state that is kept by executor id, which the next incarnation
reuses. Ends are numbered from 1 in each incarnation, so they were skipped and discarded by the
numbers of the previous one; reports were dropped while the new clock was behind the old one; and an
id that was once proved crashed stayed so. Each fault is sufficient by itself and none is a race:
they led to 59 starts after an acknowledged end, to none of three standing tasks running, and to two
of three executors that were never used.
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


def _run_scenario(restarts: Restarts, **fields: Any) -> RestartingDay:
    return run_virtual(play(restarts, **fields), limit_s=200.0)


def _assert_all_work_done(day: RestartingDay) -> None:
    """Assert that nothing ran twice, all jobs succeeded and all standing tasks run."""
    assert day.world.problems == []
    assert set(day.states) == {"succeeded"}
    assert set(day.standing) <= day.running


def test_standing_tasks_and_jobs_continue_after_clocks_restart() -> None:
    _assert_all_work_done(_run_scenario(Restarts()))


def test_an_end_of_a_new_incarnation_is_not_taken_for_one_of_the_previous_one() -> None:
    _assert_all_work_done(_run_scenario(Restarts(clock_s=AHEAD_S)))


def test_executors_that_were_down_for_seconds_are_used_again() -> None:
    day = _run_scenario(Restarts(down_s=4.0))
    _assert_all_work_done(day)
    assert day.idle == []


@pytest.mark.parametrize("clock", CLOCKS)
@pytest.mark.parametrize("resets", [True, False])
@pytest.mark.parametrize("down_s", [0.01, 0.5, 1.5, 4.0, 6.0])
def test_restarts_with_any_clock_and_down_time(clock: str, resets: bool, down_s: float) -> None:
    _assert_all_work_done(
        _run_scenario(Restarts(down_s=down_s, clock_s=CLOCKS[clock]), resets=resets)
    )


@pytest.mark.parametrize("clock", CLOCKS)
def test_simultaneous_restarts_of_all_executors_of_a_hall(clock: str) -> None:
    _assert_all_work_done(_run_scenario(Restarts(addresses=ALL, clock_s=CLOCKS[clock])))


@pytest.mark.parametrize("clock", CLOCKS)
def test_six_consecutive_restarts(clock: str) -> None:
    restarts = Restarts(times=6, every_s=1.7, clock_s=CLOCKS[clock])
    # Jobs arrive until after the last crash, so that restarted executors have work.
    day = _run_scenario(restarts, jobs=110)
    assert day.world.problems == []
    assert set(day.standing) <= day.running
    assert day.idle == []


@pytest.mark.parametrize("clock", CLOCKS)
@pytest.mark.parametrize("machines", [True, False])
def test_restarts_together_with_the_owner(clock: str, machines: bool) -> None:
    def kill_owner(world: HallWorld) -> None:
        owner = world.owner()
        if owner:
            world.kill_host(owner)
            loop = asyncio.get_running_loop()
            loop.call_later(2.0, world.start_host, owner, context=Context())

    restarts = Restarts(clock_s=CLOCKS[clock], on_crash=kill_owner)
    _assert_all_work_done(_run_scenario(restarts, lists_machines=machines))


@pytest.mark.parametrize("clock", CLOCKS)
@pytest.mark.parametrize("seed", range(4))
def test_restarts_with_late_orders_and_lost_answers(clock: str, seed: int) -> None:
    restarts = Restarts(clock_s=CLOCKS[clock], times=2)
    _assert_all_work_done(
        _run_scenario(restarts, seed=seed, late_share=0.05, lost_answer_share=0.05)
    )


@pytest.mark.parametrize("clock", CLOCKS)
def test_failed_runs_count_once_over_restarts(clock: str) -> None:
    day = _run_scenario(Restarts(clock_s=CLOCKS[clock], times=2), failing_share=0.05)
    assert day.world.problems == []
    assert set(day.states) <= {"succeeded", "failed"}
    assert set(day.standing) <= day.running


@pytest.mark.parametrize("estimate_s", [1.0, 2.0, 3.0])
@pytest.mark.parametrize("seed", [7, 9, 11])
def test_three_restarts_of_a_whole_hall_fail_no_job(seed: int, estimate_s: float) -> None:
    """Guards against a job that is given up although it crashes no executor: one of six.

    The first restart that was detected looked like a crash of a single executor, so that it
    counted against the tasks there. With reused ids the other restarts are detected moments later.
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
