"""Load figures of the last half second count once, although polls follow without a pause.

Guards against wrong pacing of batch work without any fault: a poll that acknowledges ends does not
wait, and the poll right after it returned the same figures again, which counted as new ones.
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


def test_figures_of_polls_that_did_not_wait_count_once_per_interval() -> None:
    """Guards against pacing that uses the figures of the same half second twice."""
    waited: dict[str, float] = {}
    counted: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    renew, on_report = ExecutorLink.renew, Pacer.on_report

    async def poll(link: ExecutorLink, address: str, executor_id: str, **fields: Any) -> Any:
        report = await renew(link, address, executor_id, **fields)
        waited[address] = fields["wait_s"]
        return report

    def record_report(pacer: Pacer, executor: ExecutorState, now: float, wall: float) -> None:
        address = executor.record.address
        counted[address].append((now, waited[address]))
        on_report(pacer, executor, now, wall)

    with patch.object(ExecutorLink, "renew", poll), patch.object(Pacer, "on_report", record_report):
        run_virtual(play(Restarts(times=0)), limit_s=400.0)
    assert counted
    for rows in counted.values():
        assert all(
            wait_s or now - before >= MIN_FIGURES_INTERVAL_S
            for (before, _), (now, wait_s) in pairwise(rows)
        )
