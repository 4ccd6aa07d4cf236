"""When a next owner can know of an end that is held, and when its job is shown as over."""

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

ENDED_S = 20.0
"""Time by which a start without an answer was sent again, and its run has ended."""


class Watched(MemoryStore):
    """A store that notes in which order held ends and final records are written."""

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


async def _one_start_without_an_answer() -> list[str]:
    world = HallWorld(hosts_per_hall=1, executors_per_hall=1)
    world.store = Watched()
    world.late_to_next_life = True
    world.late_most_s = 6.0
    await world.begin()
    world.late_share = 1.0
    spec = world.new_job(step(1, estimate_s=0.3))
    assert await world.submit("east-host-0", spec) == 200
    await asyncio.sleep(0.3)
    world.late_share = 0.0
    await asyncio.sleep(ENDED_S)
    assert await world.state("east-host-0", spec.job_id) == "succeeded"
    assert isinstance(world.store, Watched)
    return world.store.written


def test_a_job_is_over_only_once_its_held_end_is_on_record() -> None:
    """Guards against an end that a next owner has forgotten, and a late start that follows: TWICE.

    The owner was lost in the moment between the job's final record and that of what is held.
    """
    assert run_virtual(_one_start_without_an_answer())[:2] == ["held", "over"]
