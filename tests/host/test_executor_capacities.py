"""Executor capacities that halls publish, and that hosts use to check jobs."""

from __future__ import annotations

from linkspan.host.executor_capacities import ExecutorCapacities
from linkspan.jobs.spec import Demand
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorKind

SMALL = Demand(32_000, 128_000)
LARGE = Demand(48_000, 192_000)


def summary_of(*sizes: Demand) -> HallSummary:
    return HallSummary(kinds=tuple(ExecutorKind("pool", s, frozenset(), 1) for s in sizes))


def test_no_capacity_is_known_before_every_hall_has_published() -> None:
    """The largest executors may be in the hall that has not published its summary yet."""
    capacities = ExecutorCapacities(2)
    capacities.add_summary(0, summary_of(SMALL))
    assert capacities.of("pool") == frozenset()
    capacities.add_summary(1, HallSummary())
    assert capacities.of("pool") == frozenset()
    capacities.add_summary(1, summary_of(LARGE))
    assert capacities.of("pool") == {SMALL, LARGE}


def test_capacities_of_removed_executors_stay_known() -> None:
    capacities = ExecutorCapacities(1)
    capacities.add_summary(0, summary_of(SMALL, LARGE))
    capacities.add_summary(0, summary_of(SMALL))
    assert capacities.of("pool") == {SMALL, LARGE}
    assert capacities.of("other") == frozenset()


def test_a_summary_encodes_executor_kinds_in_few_bytes() -> None:
    """The hall has 108 executors of two sizes, 8 per rack."""
    kinds = tuple(
        ExecutorKind("finder", size, frozenset({"a", f"r1-{rack}"}), 4)
        for rack in range(14)
        for size in (SMALL, LARGE)
    )
    summary = HallSummary(kinds=kinds)
    assert HallSummary.decode(summary.encode()) == summary
    assert len(str(summary.encode())) < 2_000
