"""What halls tell of their executors, and how hosts judge jobs by it."""

from __future__ import annotations

from linkspan.host.sizes import ExecutorSizes
from linkspan.jobs.spec import Demand
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorKind

SMALL = Demand(32_000, 128_000)
LARGE = Demand(48_000, 192_000)


def told(*sizes: Demand) -> HallSummary:
    return HallSummary(kinds=tuple(ExecutorKind("pool", s, frozenset(), 1) for s in sizes))


def test_nothing_is_known_before_each_hall_has_told() -> None:
    """The largest executors may be in the hall that has not."""
    sizes = ExecutorSizes(2)
    sizes.add_summary(0, told(SMALL))
    assert sizes.of("pool") == frozenset()
    sizes.add_summary(1, HallSummary())
    assert sizes.of("pool") == frozenset()
    sizes.add_summary(1, told(LARGE))
    assert sizes.of("pool") == {SMALL, LARGE}


def test_sizes_of_executors_that_are_gone_stay_known() -> None:
    sizes = ExecutorSizes(1)
    sizes.add_summary(0, told(SMALL, LARGE))
    sizes.add_summary(0, told(SMALL))
    assert sizes.of("pool") == {SMALL, LARGE}
    assert sizes.of("other") == frozenset()


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
