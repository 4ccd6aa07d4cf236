"""What an owner looks at to choose pieces for short work, against a plain computation."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from unittest.mock import patch

import pytest
from bench.overload import OverloadedHall

from linkspan.jobs.spec import Demand
from linkspan.shard.core import ShardCore
from linkspan.shard.executor import ExecutorState
from linkspan.shard.planning import headroom
from linkspan.shard.planning.headroom import Kept, piece_shares
from linkspan.shard.planning.set_asides import NOTHING

EXECUTORS = 80
PLANS = 6


def busy_core(seed: int) -> ShardCore:
    hall = OverloadedHall(EXECUTORS, seed)
    hall.add_burst(1)
    hall.run(PLANS, 1.0)
    return hall.core


def plain_piece_shares(executors: list[ExecutorState], kept: Kept) -> dict[str, float]:
    """Return the shares by a search through all executors of which no piece is kept."""
    shares: dict[str, float] = {}
    wanted, left = 0.0, []
    for of_kind in headroom._by_kind(executors):
        wanted += kept.share * sum(e.total_cpu for e in of_kind)
        for executor in sorted(of_kind, key=lambda e: headroom._preference(e, kept)):
            share = kept.piece_share(executor.total_cpu)
            if wanted < share * executor.total_cpu:
                left.append(executor)
                continue
            wanted -= share * executor.total_cpu
            shares[executor.executor_id] = share
    if left and wanted > 0:
        last = min(left, key=lambda e: headroom._preference(e, kept))
        shares[last.executor_id] = min(wanted / last.total_cpu, 1.0)
    return shares


@pytest.mark.parametrize("seed", range(3))
def test_pieces_are_those_of_a_search_through_all_executors(seed: int) -> None:
    """Guards against a choice that ranks each executor twice, and against another choice."""
    core, random = busy_core(seed), Random(seed)
    executors = list(core.executors.values())
    for executor in executors:
        labels = frozenset({f"rack{random.randrange(4)}"})
        executor.record = replace(executor.record, labels=labels)
        executor.kept = random.choice((NOTHING, Demand(1_000), None))
    for share in (0.0, 0.03, 0.1, 0.2, 0.9):
        kept = Kept(share, random.choice((0, 40_000)))
        plain = plain_piece_shares(executors, kept)
        with patch.object(headroom, "_preference", wraps=headroom._preference) as ranks:
            assert piece_shares(executors, kept) == plain
        assert ranks.call_count <= EXECUTORS + 8


def test_executors_of_which_nothing_is_kept_have_nothing_to_compute() -> None:
    """Guards against sums of what short tasks use at each look at each executor."""
    core = busy_core(0)
    core.headroom.update(10.0)
    without = [e for e in core.executors.values() if e.kept == NOTHING]
    assert len(without) >= EXECUTORS // 2
    assert all(e.headroom is NOTHING for e in without)
