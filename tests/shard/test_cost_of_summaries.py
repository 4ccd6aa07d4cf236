"""What an owner looks at to sum up its hall, against a plain computation."""

from __future__ import annotations

from unittest.mock import patch

import pytest
from bench.overload import OverloadedHall

from linkspan.shard.core import ShardCore
from linkspan.shard.handover import summarize as summaries
from linkspan.shard.handover.summarize import (
    MAX_PUBLISHED_BEST_EFFORT,
    MIN_PUBLISHED_MILLI_CPU,
    summarize,
)
from linkspan.shard.planning._preemption import stoppable_memory

EXECUTORS = 80
PLANS = 6


def busy_core(seed: int) -> ShardCore:
    hall = OverloadedHall(EXECUTORS, seed)
    hall.add_burst(1)
    hall.run(PLANS, 1.0)
    return hall.core


def plain_best_effort_memory(core: ShardCore) -> list[tuple[str, int]]:
    """Return the memory that every executor would give back, of those with the most free cores."""
    found = []
    for executor in summaries.executors_for_new_work(core, 2.0):
        missing = core.set_asides.held(executor.executor_id).memory_mb - executor.free_memory
        memory_mb = stoppable_memory(executor) - max(missing, 0)
        if memory_mb > 0 and executor.free_cpu >= MIN_PUBLISHED_MILLI_CPU:
            found.append((executor, memory_mb))
    found.sort(key=lambda entry: -entry[0].free_cpu)
    return [(e.executor_id, mb) for e, mb in found[:MAX_PUBLISHED_BEST_EFFORT]]


@pytest.mark.parametrize("seed", range(3))
def test_published_memory_is_that_of_a_search_through_all_executors(seed: int) -> None:
    """Guards against sums over the runs of all executors, and against other sums without them."""
    core = busy_core(seed)
    ordered = summaries.executors_for_new_work(core, 2.0)
    plain = plain_best_effort_memory(core)
    with patch.object(summaries, "stoppable_memory", wraps=stoppable_memory) as sums:
        summary = summarize(core, 2.0)
    by_kind = [e for kind in summary.kinds or () for e in ordered if e.record.kind == kind.key]
    assert [(by_kind[index].executor_id, mb) for index, mb in summary.best_effort_memory] == plain
    assert len(plain) == MAX_PUBLISHED_BEST_EFFORT
    assert sums.call_count <= EXECUTORS // 2
