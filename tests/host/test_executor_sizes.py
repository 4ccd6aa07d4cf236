"""What halls tell of their executors, and how hosts judge jobs by it."""

from __future__ import annotations

from linkspan.host.executor_capacities import ExecutorCapacities
from linkspan.jobs.spec import Demand
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorKind

SMALL = Demand(32_000, 128_000)
LARGE = Demand(48_000, 192_000)


def told(*sizes: Demand) -> HallSummary:
    return HallSummary(kinds=tuple(ExecutorKind("pool", s, frozenset(), 1) for s in sizes))


def test_nothing_is_known_before_each_hall_has_told() -> None:
    """The largest executors may be in the hall that has not."""
    capacities = ExecutorCapacities(2)
    capacities.add_summary(0, told(SMALL))
    assert capacities.of("pool") == frozenset()
    capacities.add_summary(1, HallSummary())
    assert capacities.of("pool") == frozenset()
    capacities.add_summary(1, told(LARGE))
    assert capacities.of("pool") == {SMALL, LARGE}


def test_sizes_of_executors_that_are_gone_stay_known() -> None:
    capacities = ExecutorCapacities(1)
    capacities.add_summary(0, told(SMALL, LARGE))
    capacities.add_summary(0, told(SMALL))
    assert capacities.of("pool") == {SMALL, LARGE}
    assert capacities.of("other") == frozenset()


def test_a_summary_tells_kinds_in_few_bytes() -> None:
    """A hall of 108 executors, 8 a rack, in two sizes."""
    kinds = tuple(
        ExecutorKind("finder", size, frozenset({"a", f"r1-{rack}"}), 4)
        for rack in range(14)
        for size in (SMALL, LARGE)
    )
    summary = HallSummary(kinds=kinds)
    assert HallSummary.decode(summary.encode()) == summary
    assert len(str(summary.encode())) < 2_000
