"""Repeated simultaneous crashes of the same executors fail no job with standing tasks.

Guards against standing jobs that are given up although none of their tasks causes a crash. Two of a
hall's three executors crashed together six times, 1.7 s apart. Their tasks were restarted there
each time, as these executors had the most free capacity, and four crashes under a task give it up
whatever their weight. Each of the four crashes was on one of the same two executors.
"""

from __future__ import annotations

import pytest

from tests.host.restarting_day import Restarts, play
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("down_s", [0.01, 0.5])
@pytest.mark.parametrize("seed", [3, 9, 11])
def test_six_simultaneous_crashes_of_two_executors_fail_no_job(seed: int, down_s: float) -> None:
    """Guards against restarts of tasks on the executors that crashed under them before."""
    restarts = Restarts(down_s=down_s, times=6, every_s=1.7)
    day = run_virtual(play(restarts, seed=seed), limit_s=200.0)
    assert day.world.problems == []
    assert set(day.standing) <= day.running
    assert set(day.states) == {"succeeded"}
