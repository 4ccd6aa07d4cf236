"""A renewal proves the ownership of the tenure that wrote it, not of others of its host."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import cast

from linkspan.errors import StoreUnanswered
from linkspan.host._claim_delay import ClaimDelay
from linkspan.host.candidate import Candidate
from linkspan.shard.ownership._proof import TenureLost
from linkspan.shard.ownership.owner_record import OwnerAct, OwnerRecord
from linkspan.shard.ownership.ownership import (
    MAX_UNPROVED_S,
    RENEWAL_INTERVAL_S,
    Claim,
    Owner,
    OwnerView,
)
from linkspan.shard.tenure import Tenure
from linkspan.store.types import Appended, Partition, Producer, Record
from tests.event_recorder import EventRecorder
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import run_virtual

OWNERS = Partition("owners", 0)
INCARNATION = "life-1"

SETTLED_S = 3.0
"""Time within which a host claims a hall without an owner, and renews a few times."""


class _Tenure:
    """Replaces a tenure, and records the times of confirmed ownership."""

    standing_starts_recorded = False

    def __init__(self) -> None:
        self.proofs: list[float] = []
        self._lost = asyncio.Event()

    def on_renewal_confirmed(self, at: float, *, token_limit: int) -> None:
        assert token_limit > 0
        self.proofs.append(at)

    def summary(self) -> None:
        return None

    def lose(self) -> None:
        self._lost.set()

    async def run(self) -> None:
        await self._lost.wait()
        raise TenureLost("lost by the test")


class _LosesRenewals(StoreLink):
    """A link to the store that loses appends without a condition while `loses` is set."""

    loses = False

    async def append(
        self,
        partition: Partition,
        records: Sequence[Record],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        if self.loses and at is None:
            raise StoreUnanswered("lost by the test")
        return await super().append(partition, records, at=at, producer=producer)


def test_a_late_renewal_of_an_earlier_tenure_proves_nothing() -> None:
    async def play() -> None:
        store, tenures = MemoryStore(0), list[_Tenure]()
        link = _LosesRenewals(store, "host")
        candidate = _candidate(link, tenures)
        candidate.enable()
        running = asyncio.create_task(candidate.run())
        await asyncio.sleep(SETTLED_S)
        (first,) = tenures
        assert max(first.proofs) > 0.0
        link.loses = True
        first.lose()
        await asyncio.sleep(SETTLED_S)
        _, second = tenures
        for number in range(1, 9):
            late = OwnerRecord(OwnerAct.RENEW, "host", INCARNATION, 1, number)
            store.put(OWNERS, b"", late.encode())
        await asyncio.sleep(SETTLED_S)
        assert all(at == float("-inf") for at in second.proofs)
        running.cancel()

    run_virtual(play())


# Guards against summaries between two renewals that make a tenure seem older than it is: former
# owners could then still act for a host that has just started and claims.
def test_summaries_between_renewals_do_not_add_to_the_age_of_a_tenure() -> None:
    async def play() -> None:
        store = MemoryStore(0)
        candidate = _candidate(StoreLink(store, "host"), [])
        candidate.enable()
        running = asyncio.create_task(candidate.run())
        for _ in range(20):
            await asyncio.sleep(SETTLED_S / 20)
            candidate.share_summary()
        await asyncio.sleep(RENEWAL_INTERVAL_S)
        starting = OwnerView("host", "life-2", home=True)
        starting.apply(store.log(OWNERS).entries[-1], 0.0)
        may_act_s = starting.former_owners_remaining_s(0.0)
        assert may_act_s >= MAX_UNPROVED_S - SETTLED_S - RENEWAL_INTERVAL_S
        running.cancel()

    run_virtual(play())


def _candidate(link: StoreLink, tenures: list[_Tenure]) -> Candidate:
    def make(_owner: Owner, _shard: int, _claim: Claim) -> Tenure:
        tenures.append(_Tenure())
        return cast(Tenure, tenures[-1])

    return Candidate(
        link,
        shard=0,
        host="host",
        incarnation=INCARNATION,
        home=True,
        make_tenure=make,
        log=EventRecorder(),
        claim_delay=ClaimDelay(0.0),
    )
