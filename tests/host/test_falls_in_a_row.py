"""Executors that fall together again and again cost no standing task its job.

Callers saw standing jobs given up though no task of theirs crashes anything: two of a hall's three
executors fell together six times, 1.7 s apart. What had run on them was started there again each
time, as they had the most room, and four crashes under a task give it up whatever they count.
Shown by the lines on crashes: each of the four was on one of the same two executors.
"""

from __future__ import annotations

import pytest

from tests.host.restarting_day import Restarts, play
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("down_s", [0.01, 0.5])
@pytest.mark.parametrize("seed", [3, 9, 11])
def test_executors_that_fall_together_six_times_cost_no_job(seed: int, down_s: float) -> None:
    """Guards against suspects that are tried where executors fell under them before."""
    restarts = Restarts(down_s=down_s, times=6, every_s=1.7)
    day = run_virtual(play(restarts, seed=seed), limit_s=200.0)
    assert day.world.problems == []
    assert set(day.standing) <= day.running
    assert set(day.states) == {"succeeded"}
