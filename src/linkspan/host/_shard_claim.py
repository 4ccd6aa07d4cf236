"""Claims a shard whose owner is silent or has released it."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import OffsetConflict, StoreRefused, StoreUnanswered
from linkspan.events import Event
from linkspan.shard.ownership.owner_record import RESERVATION_NUMBER, OwnerAct, OwnerRecord
from linkspan.shard.ownership.ownership import MAX_UNPROVED_S, Claim
from linkspan.store.types import Record

if TYPE_CHECKING:
    from linkspan.events import EventLog
    from linkspan.host._claim_delay import ClaimDelay
    from linkspan.shard.ownership.ownership import Owner, OwnerView
    from linkspan.store.follower import Follower
    from linkspan.store.types import Appended, Partition, Store


class ShardClaim:
    """Claims of one shard by one host.

    Args:
        store: The platform's store.
        partition: Partition of the shard's ownership records.
        host: Name of this host.
        incarnation: Incarnation of this process.
        view: View of the shard's ownership.
        follower: Follower of the ownership records, which updates the view.
        delay: Delay of this host's claims.
        max_view_age_s: Limits the age of the view that a claim is based on, in seconds.
        log: Event log.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        *,
        host: str,
        incarnation: str,
        view: OwnerView,
        follower: Follower,
        delay: ClaimDelay,
        max_view_age_s: float,
        log: EventLog,
    ) -> None:
        self._store = store
        self._partition = partition
        self._host = host
        self._incarnation = incarnation
        self._view = view
        self._follower = follower
        self._delay = delay
        self._max_view_age_s = max_view_age_s
        self._log = log
        self._last = Claim(float("-inf"), MAX_UNPROVED_S)

    def __repr__(self) -> str:
        return f"ShardClaim({self._partition}, {self._last})"

    @property
    def last(self) -> Claim:
        """Details of the last claim that was sent."""
        return self._last

    def is_due(self, now: float) -> bool:
        """Return whether to claim the shard at a steady time."""
        return self._may_claim(now) and self._view_is_fresh(now)

    async def make(self) -> None:
        """Read the ownership, and claim the shard if that is still due."""
        silent_s = self._view.silent_for(steady())
        previous_owner = self._view.owner
        asked_at = steady()
        try:
            await self._follower.sync()
            now = steady()
            if not self._may_claim(now):
                return
            # Counts from before the call: an earlier unanswered claim may succeed meanwhile.
            self._last = Claim(
                asked_at,
                now - asked_at + self._view.former_owners_remaining_s(now),
                self._view.starts_recorded,
                self._view.standing_starts_recorded,
            )
            appended = await self._append()
        except (OffsetConflict, StoreRefused, StoreUnanswered):
            # Another host has claimed the shard, or the follower will read this claim back.
            return
        self._log_claim(appended, previous_owner, silent_s)
        # The claim takes effect once it is read back, and other halls' ownership is read seldom.
        with suppress(StoreRefused, StoreUnanswered):
            await self._follower.sync()

    def _may_claim(self, now: float) -> bool:
        return self._view.should_claim(now, delay_s=self._delay.delay_s)

    def _view_is_fresh(self, now: float) -> bool:
        # With a stale view, a silence may be due to the store rather than the owner.
        return now - self._follower.synced_at < self._max_view_age_s

    async def _append(self) -> Appended:
        offset = self._follower.offset
        claim = OwnerRecord(
            OwnerAct.CLAIM,
            self._host,
            self._incarnation,
            recorded_up_to=offset if self._last.standing_starts_recorded else 0,
        )
        reservation = replace(claim, number=RESERVATION_NUMBER)
        records = [Record(record.encode()) for record in (reservation, claim)]
        return await self._store.append(self._partition, records, at=offset)

    def _log_claim(self, appended: Appended, previous: Owner | None, silent_s: float) -> None:
        self._log.write(
            Event.OWNER_CLAIMED,
            shard=self._partition.number,
            token=appended.offset + 1,
            former=previous.host if previous else None,
            silent_s=round(silent_s, 2),
            former_token=previous.token if previous else None,
            former_acts_s=round(self._last.former_owners_remaining_s, 2),
            standing_starts_recorded=self._last.standing_starts_recorded,
        )
