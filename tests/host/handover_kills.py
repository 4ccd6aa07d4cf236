"""A deployment in which owners are killed while a handover is being recorded."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextvars import Context
from dataclasses import dataclass

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import decode
from linkspan.jobs.records import Delegated, Moved, Returned
from linkspan.shard.recovery.progress import RunKey
from linkspan.store.types import Appended, Partition, Producer, Record, Store
from tests.hall_world import HallWorld
from tests.standins.memory_store import MemoryStore, StoreLink

DOWN_S = 0.5
"""Time after which a killed host starts again."""

UNDECODABLE = b"["
"""Value of a record that no host can decode."""

HandoverRecord = type[Moved] | type[Delegated] | type[Returned]


@dataclass
class KillPlan:
    """Which owners are killed at the first record of a handover.

    Attributes:
        record: Kind of the record that publishes the handover.
        published: Whether the record is written before the owners are killed.
        giver: Whether the owner is killed that hands work over.
        taker: Whether the owner of the other hall is killed.
        unreadable: Whether the next owners of the killed ones cannot decode the job's records.
    """

    record: HandoverRecord
    published: bool
    giver: bool
    taker: bool
    unreadable: bool = False


class HandoverKillsWorld(HallWorld):
    """A deployment of two halls in which a plan for killing owners may be set.

    Attributes:
        plan: The plan, ``None`` for none and once it has been carried out.
    """

    plan: KillPlan | None = None

    def store_link(self, host: str) -> Store:
        return KillingLink(self, self.store, host)

    def carry_out(self, plan: KillPlan, job_id: str, giver: str) -> None:
        """Kill the owners of a plan, and start their hosts again a moment later."""
        self.plan = None
        owners = {shard: self.owner(shard) for shard in range(len(self.halls))}
        for shard, owner in owners.items():
            if owner and (plan.giver if owner == giver else plan.taker):
                self.kill_host(owner)
                if plan.unreadable:
                    self._spoil(shard, job_id)
                loop = asyncio.get_running_loop()
                loop.call_later(DOWN_S, self.start_host, owner, context=Context())

    def _spoil(self, shard: int, job_id: str) -> None:
        partition, key = Partition("progress", shard, keyed=True), RunKey(job_id, 0).encode()
        if any(entry.key == key for entry in self.store.log(partition).entries):
            self.store.put(partition, key, UNDECODABLE)


class KillingLink(StoreLink):
    """Link of one host to the store; an append of the planned record kills owners."""

    def __init__(self, world: HandoverKillsWorld, store: MemoryStore, host: str) -> None:
        super().__init__(store, host)
        self._world = world
        self._name = host

    async def append(
        self,
        partition: Partition,
        records: Sequence[Record],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        plan = self._world.plan
        job_id = _handed_over(plan, records) if plan and partition == JOBS else ""
        if not plan or not job_id:
            return await super().append(partition, records, at=at, producer=producer)
        if not plan.published:
            self._world.carry_out(plan, job_id, self._name)
            if plan.giver:
                # The record is lost with its writer.
                return await asyncio.Future()
            return await super().append(partition, records, at=at, producer=producer)
        answer = await super().append(partition, records, at=at, producer=producer)
        self._world.carry_out(plan, job_id, self._name)
        return answer


def _handed_over(plan: KillPlan, records: Sequence[Record]) -> str:
    """Return the job that a planned record is about, empty if there is no such record."""
    for record in records:
        decoded = decode(record.key, record.value)
        if isinstance(decoded, plan.record):
            return decoded.job_id
    return ""
