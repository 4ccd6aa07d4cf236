"""A withheld end is on record before the final record of its job.

Guards against an owner that is lost between the two writes: the next owner would acknowledge the
end, and a start that is still unanswered would run the task twice.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from linkspan.jobs.job_registry import JOBS
from linkspan.shard.recovery.progress import ROSTER_KEY, decode_roster
from linkspan.store.types import Appended, Partition, Producer, Record
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins.memory_store import MemoryStore
from tests.virtual_time import run_virtual

MAX_END_S = 20.0
"""Time in which an unanswered start is sent again and its run ends."""


class RecordingStore(MemoryStore):
    """A store that keeps the order in which withheld ends and final records are written."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.written: list[str] = []

    def apply(
        self,
        partition: Partition,
        records: Sequence[Record],
        at: int | None,
        producer: Producer | None,
    ) -> Appended:
        for record in records:
            if record.key == ROSTER_KEY and any(
                e.withheld_ends for e in decode_roster(record.value)
            ):
                self.written.append("held")
            elif partition == JOBS and record.key.startswith(b"f:") and record.value:
                self.written.append("over")
        return super().apply(partition, records, at, producer)


async def _run_with_one_unanswered_start() -> list[str]:
    world = HallWorld(hosts_per_hall=1, executors_per_hall=1)
    world.store = RecordingStore()
    world.late_to_next_incarnation = True
    world.max_order_delay_s = 6.0
    await world.begin()
    world.late_share = 1.0
    spec = world.new_job(step(1, estimate_s=0.3))
    assert await world.submit("east-host-0", spec) == 200
    await asyncio.sleep(0.3)
    world.late_share = 0.0
    await asyncio.sleep(MAX_END_S)
    assert await world.state("east-host-0", spec.job_id) == "succeeded"
    assert isinstance(world.store, RecordingStore)
    return world.store.written


def test_a_job_is_final_only_once_its_withheld_end_is_on_record() -> None:
    """Guards against an end that the next owner acknowledges before a late start arrives: TWICE.

    The owner was lost between writing the final record and the record of the withheld end.
    """
    assert run_virtual(_run_with_one_unanswered_start())[:2] == ["held", "over"]
