"""Tests how long an owner collects changes before it plans.

At a surge of batches in a hall of 108 executors, each answer to an order is a change. An owner
made 70 plans per second, which took 8.3 s of 19.6 s of its processor time under a profiler.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from linkspan.shard.orders._dispatch import (
    MAX_PLAN_DELAY_S,
    MIN_PLAN_DELAY_S,
    PLAN_DELAY_FACTOR,
    plan_delay_s,
)

SHORT_TASK_S = 0.25
"""Time that the shortest jobs may take beyond their own duration."""

BINDING_S = MAX_PLAN_DELAY_S / PLAN_DELAY_FACTOR
"""Duration of a plan from which on the delay has its maximum."""


@given(st.floats(0.0, 10.0))
def test_news_waits_no_longer_than_a_start_may(took_s: float) -> None:
    assert MIN_PLAN_DELAY_S <= plan_delay_s(took_s) <= MAX_PLAN_DELAY_S
    assert MAX_PLAN_DELAY_S <= SHORT_TASK_S / 8


@given(st.floats(0.0, BINDING_S))
def test_plans_take_a_small_part_of_an_owners_time(took_s: float) -> None:
    assert took_s <= (took_s + plan_delay_s(took_s)) / (1.0 + PLAN_DELAY_FACTOR) + 1e-12


def test_a_surge_leads_to_fewer_plans_if_each_takes_longer() -> None:
    """A plan over 108 executors took 2.4 ms under a profiler."""
    rates = [1.0 / (duration_s + plan_delay_s(duration_s)) for duration_s in (0.0002, 0.0024)]
    assert rates[0] > 200.0
    assert rates[1] < 40.0
