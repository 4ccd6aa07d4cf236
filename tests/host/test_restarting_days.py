"""Randomized days on which executors restart under their ids, beside all other faults."""

from __future__ import annotations

import pytest

from tests.host.restarting_troubles import run_random, run_random_late
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("seed", range(8))
def test_restarts_beside_other_faults_break_no_promise(seed: int) -> None:
    world, faults = run_virtual(run_random(seed), limit_s=400.0)
    assert world.problems == [], faults


@pytest.mark.parametrize("seed", [16, 8, 9, 13, 21, 26, 30, 38, 241])
def test_late_orders_that_arrive_at_the_next_incarnation_run_nothing_twice(seed: int) -> None:
    """Guards against an order that outlasts the incarnation that it was sent to.

    An unanswered start was stopped by name at its incarnation and its task started elsewhere, or
    it was sent again and its end acknowledged. Then the incarnation crashed, and the order arrived
    at the next one, which knew of no stop and had seen no token.
    """
    world, faults = run_virtual(run_random_late(seed), limit_s=400.0)
    assert world.problems == [], faults
