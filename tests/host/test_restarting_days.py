"""Drawn days on which executors start again under their id, beside all other troubles."""

from __future__ import annotations

import pytest

from tests.host.restarting_troubles import drawn, drawn_late
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("seed", range(8))
def test_restarts_beside_other_troubles_break_no_promise(seed: int) -> None:
    world, told = run_virtual(drawn(seed), limit_s=400.0)
    assert world.problems == [], told


@pytest.mark.parametrize("seed", [16, 8, 9, 13, 21, 26, 30, 38, 241])
def test_orders_on_their_way_that_come_to_the_next_life_run_nothing_twice(seed: int) -> None:
    """Guards against an order that outlasts the life that it was sent to.

    A start without an answer was stopped by name at its life, and its task began elsewhere, or
    it was sent again and its end acknowledged. That life fell, and the order came to the next
    one, which knew of no stop and had seen no token.
    """
    world, told = run_virtual(drawn_late(seed), limit_s=400.0)
    assert world.problems == [], told
