"""Tests that a job whose gang cannot be placed whole has not begun."""

from __future__ import annotations

from linkspan.shard.handover.rebalance import HANDOVER_WAIT_S, Rebalancer
from linkspan.shard.handover.summary import HallSummary
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan

EMPTY = HallSummary(
    capacity=40_000, free=40_000, free_by_executor=((20_000, 32_000), (20_000, 32_000))
)
FULL = HallSummary(capacity=16_000, free_by_executor=((0, 0), (0, 0)))


def test_a_gang_with_capacity_for_only_a_part_moves_whole() -> None:
    """Guards against a job marked as begun, no longer counted as waiting, and never moved."""
    core = core_with(step(3, gang=True, cpu=8_000))
    assert plan(core, 0.1) == []
    assert core.begun == []
    assert not core.dirty
    rebalancer = Rebalancer(core, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 3)
    (handover,) = rebalancer.plan(FULL, 0.2 + HANDOVER_WAIT_S)
    assert (handover.job_id, handover.shard, handover.tasks) == (JOB, 1, None)
