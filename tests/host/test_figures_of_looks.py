"""Figures of the last half second count once, though looks follow each other at once.

Callers saw batch work paced wrongly on a calm day: a look that tells an executor to forget ends
does not wait, and the one right after it told the same figures again, which counted as new ones.
"""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise
from typing import Any
from unittest.mock import patch

from linkspan.shard.colocation.pacing import Pacer
from linkspan.shard.executor import ExecutorState
from linkspan.shard.reports._watch import MIN_FIGURES_INTERVAL_S
from tests.host.restarting_day import Restarts, play
from tests.standins.memory_executor import ExecutorLink
from tests.virtual_time import run_virtual


def test_figures_of_looks_that_did_not_wait_count_once_in_a_while() -> None:
    """Guards against pacing by the same half second twice."""
    waited: dict[str, float] = {}
    counted: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    renew, on_report = ExecutorLink.renew, Pacer.on_report

    async def look(link: ExecutorLink, address: str, executor_id: str, **fields: Any) -> Any:
        report = await renew(link, address, executor_id, **fields)
        waited[address] = fields["wait_s"]
        return report

    def count(pacer: Pacer, executor: ExecutorState, now: float, wall: float) -> None:
        address = executor.record.address
        counted[address].append((now, waited[address]))
        on_report(pacer, executor, now, wall)

    with patch.object(ExecutorLink, "renew", look), patch.object(Pacer, "on_report", count):
        run_virtual(play(Restarts(times=0)), limit_s=400.0)
    assert counted
    for rows in counted.values():
        assert all(
            wait_s or now - before >= MIN_FIGURES_INTERVAL_S
            for (before, _), (now, wait_s) in pairwise(rows)
        )
