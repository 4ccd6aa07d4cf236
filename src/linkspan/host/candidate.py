"""Takes part in the ownership of one shard: watches, claims, renews and releases it."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import RecordError, StoreRefused, StoreUnanswered, format_error
from linkspan.events import Event
from linkspan.host._shard_claim import ShardClaim
from linkspan.shard.ownership._proof import TenureLost
from linkspan.shard.ownership.owner_record import OwnerAct, OwnerRecord
from linkspan.shard.ownership.ownership import (
    RENEWAL_INTERVAL_S,
    Claim,
    Owner,
    OwnerView,
)
from linkspan.store.follower import Follower
from linkspan.store.types import Partition, Record

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from linkspan.events import EventLog
    from linkspan.host._claim_delay import ClaimDelay
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.tenure import Tenure
    from linkspan.store.types import Entry, Store

HOME_READ_WAIT_S = 0.7
"""Time that a read of the ownership of this host's hall waits for a record, in seconds. It is
slightly longer than the interval of renewals, so that a silent owner is detected at once."""

REMOTE_READ_PAUSE_S = 2.0
"""Pause between reads of the ownership of another hall, in seconds."""

RENEWALS_PER_SUMMARY = 2
"""Number of renewals per summary: one of them includes the summary of the hall."""

MAX_PAST_RECORDS = 4
"""Limits the existing records with which a host starts to follow a hall's ownership. Two renewals
name the owner, and one of them includes the summary of the hall. All records that the store keeps
take megabytes, which all hosts would request at once when they start together."""

SUMMARY_READ_DELAY_S = 0.3
"""Time from a change that every owner publishes at once, in seconds, until other hosts read it."""

MIN_LOGGED_MILLI_CPU = 1_000
"""Thousandths of a core by which the hall's free cores have grown that is logged."""

CRASH_PAUSE_S = 1.0
"""Pause after a tenure failed, in seconds, so that a persistent error causes no busy loop."""

CLAIM_CHECK_INTERVAL_S = 0.1
"""Interval between checks whether to claim the shard of this host's hall, in seconds."""

REMOTE_CLAIM_CHECK_INTERVAL_S = 0.25
"""The same interval for the shard of another hall, whose ownership is read every 2 s. It is
longer because each check wakes the host for each hall, and is limited because tasks of a
shard without an owner must be stopped within 3 s."""

MAX_HAND_OFF_S = 1.0
"""Limits the time to make progress durable before a shard is released, in seconds."""


class Candidate:
    """Candidate for the ownership of a shard, which becomes its owner when its claim succeeds.

    Args:
        store: The platform's store.
        shard: Number of the shard.
        host: Name of this host.
        incarnation: Incarnation of this process.
        home: Whether the shard is that of this host's hall.
        make_tenure: Creates a tenure from the owner, the shard and the details of the claim.
        log: Event log.
        claim_delay: Delay of this host's claims.
        on_summary: Called with the shard and each summary that its owner publishes.
    """

    def __init__(
        self,
        store: Store,
        *,
        shard: int,
        host: str,
        incarnation: str,
        home: bool,
        make_tenure: Callable[[Owner, int, Claim], Tenure],
        log: EventLog,
        claim_delay: ClaimDelay,
        on_summary: Callable[[int, HallSummary], None] = lambda _shard, _summary: None,
    ) -> None:
        self._store = store
        self._shard = shard
        self._host = host
        self._incarnation = incarnation
        self._home = home
        self._make_tenure = make_tenure
        self._log = log
        self._on_summary = on_summary
        self._view = OwnerView(host, incarnation, home=home)
        self._partition = Partition("owners", shard)
        self._follower = Follower(
            store,
            self._partition,
            on_entries=self._on_entries,
            on_health=self._on_health,
            on_missed=lambda: self._view.on_gap(steady()),
            pause_s=0.0 if home else REMOTE_READ_PAUSE_S,
            max_past_records=MAX_PAST_RECORDS,
        )
        self._follower.wait_s = HOME_READ_WAIT_S if home else 0.0
        self._claim = ShardClaim(
            store,
            self._partition,
            host=host,
            incarnation=incarnation,
            view=self._view,
            follower=self._follower,
            delay=claim_delay,
            max_view_age_s=2 * (HOME_READ_WAIT_S if home else REMOTE_READ_PAUSE_S),
            log=log,
        )
        self._tenure: Tenure | None = None
        self._tenure_task: asyncio.Task[None] | None = None
        self._renewed_at: dict[int, float] = {}
        self._renewals = 0
        self._additional = 0
        self._published_cpu = 0
        self._summary_token = 0
        self._summary_written_after = float("-inf")
        self._enabled = asyncio.Event()
        self._summary_outdated = asyncio.Event()

    def __repr__(self) -> str:
        return f"Candidate(shard={self._shard}, {self._view!r})"

    @property
    def tenure(self) -> Tenure | None:
        """Current tenure, ``None`` if this host does not own the shard."""
        return self._tenure

    @property
    def view(self) -> OwnerView:
        """View of the shard's ownership."""
        return self._view

    @property
    def last_response_at(self) -> float:
        """Steady time of the store's last answer to a read of the ownership."""
        return self._follower.last_response_at

    def summary_age_s(self, now: float) -> float:
        """Return an upper bound of the age of the present owner's last summary, in seconds.

        It is infinite if there is none, or if it may have been written at any time before this host
        began to read.
        """
        if self._view.owner is None or self._summary_token != self._view.claim_token:
            return float("inf")
        return now - self._summary_written_after

    def enable(self) -> None:
        """Allow claims, once this host has read the configuration and the jobs."""
        self._enabled.set()

    def share_summary(self) -> None:
        """Publish the hall's summary at once as its owner; as another host, read it soon."""
        self._summary_outdated.set()

    def read_closely(self, *, closely: bool) -> None:
        """Read the ownership of another hall, and its summaries, at each record or at intervals.

        At each record is for hosts whose standing tasks wait for room elsewhere. A summary that is
        read at intervals may tell of room only after the time that such a task has.
        """
        if self._home:
            return
        if closely:
            self._follower.set_pace(pause_s=0.0, wait_s=HOME_READ_WAIT_S)
        else:
            self._follower.set_pace(pause_s=REMOTE_READ_PAUSE_S, wait_s=0.0)

    async def run(self) -> None:
        """Follow the ownership and claim the shard when it is due, until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follower.run())
                group.create_task(self._claim_loop())
                group.create_task(self._renew_loop())
                group.create_task(self._share_summary_loop())
        finally:
            # Without the follower, the tenure would not learn of a newer owner and would keep
            # sending orders.
            self._end_tenure()

    async def hand_off(self) -> None:
        """Release the shard to another host before a planned stop."""
        self._enabled.clear()
        tenure = self._tenure
        if tenure is None:
            return
        recorded = await tenure.hand_off(MAX_HAND_OFF_S)
        try:
            await self._append(OwnerAct.RELEASE, starts_recorded=recorded)
        except (StoreRefused, StoreUnanswered) as error:
            self._log.write(Event.OWNER_HANDED_ON, shard=self._shard, failed=str(error))
        else:
            self._log.write(Event.OWNER_HANDED_ON, shard=self._shard)
        self._end_tenure()

    async def _claim_loop(self) -> None:
        await self._enabled.wait()
        while True:
            if self._follower.ready and self._enabled.is_set() and self._claim.is_due(steady()):
                await self._claim.make()
            await asyncio.sleep(
                CLAIM_CHECK_INTERVAL_S if self._home else REMOTE_CLAIM_CHECK_INTERVAL_S
            )

    def _on_entries(self, entries: Sequence[Entry]) -> None:
        now = steady()
        for entry in entries:
            try:
                record = self._view.apply(entry, now)
            except RecordError as error:
                self._log.write(Event.RECORD_SKIPPED, partition="owners", error=str(error))
                continue
            self._apply_renewal(record)
            if record.summary:
                self._date_summary(record)
                self._on_summary(self._shard, record.summary)
        self._update_tenure()

    def _date_summary(self, record: OwnerRecord) -> None:
        """Record that a summary was written after the end of the read before this one."""
        if record.token == self._view.claim_token:
            self._summary_token = record.token
            self._summary_written_after = self._follower.synced_at

    def _apply_renewal(self, record: OwnerRecord) -> None:
        """Extend the current tenure if a record is its renewal and no other claim precedes it."""
        owner = self._view.owner
        if self._tenure and self._view.mine and owner and record.token == self._view.claim_token:
            renewed_at = self._renewed_at.pop(record.number, float("-inf"))
            self._tenure.on_renewal_confirmed(renewed_at, token_limit=self._view.token_limit)

    def _on_health(self, healthy: bool) -> None:
        if healthy:
            self._view.on_store_available(steady())

    def _update_tenure(self) -> None:
        owner = self._view.owner
        current = self._tenure
        if current and (not self._view.mine or owner is None):
            self._log.write(
                Event.OWNER_LOST, shard=self._shard, owner=owner.host if owner else None
            )
            self._end_tenure()
        if owner and self._view.mine and self._tenure is None and self._enabled.is_set():
            self._begin_tenure(owner)
        if self._tenure:
            # A claim raises the limit without a renewal; it proves the ownership as of its sending,
            # which the tenure knows.
            self._tenure.on_renewal_confirmed(float("-inf"), token_limit=self._view.token_limit)

    def _begin_tenure(self, owner: Owner) -> None:
        # Renewals are numbered per tenure, so that hosts that start later know the tenure's age.
        self._renewals = 0
        self._additional = 0
        self._tenure = self._make_tenure(owner, self._shard, self._claim.last)
        self._tenure_task = asyncio.create_task(self._run_tenure(self._tenure))

    async def _run_tenure(self, tenure: Tenure) -> None:
        try:
            await tenure.run()
        except TenureLost as error:
            self._log.write(Event.OWNER_LOST, shard=self._shard, reason=str(error))
        except Exception as error:
            self._log.write(Event.CRASHED, task=f"shard {self._shard}", error=format_error(error))
            await asyncio.sleep(CRASH_PAUSE_S)
        if self._tenure is tenure:
            self._tenure = None
            self._view.on_tenure_ended()

    def _end_tenure(self) -> None:
        if self._tenure_task:
            self._tenure_task.cancel()
        self._tenure = None
        self._tenure_task = None
        self._renewed_at.clear()

    async def _renew_loop(self) -> None:
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            if self._tenure is not None:
                with_summary = (self._renewals + 1) % RENEWALS_PER_SUMMARY == 0
                await self._renew(with_summary=with_summary)

    async def _share_summary_loop(self) -> None:
        while True:
            await self._summary_outdated.wait()
            self._summary_outdated.clear()
            if self._tenure is not None:
                await self._append_summary()
                continue
            await asyncio.sleep(SUMMARY_READ_DELAY_S)
            with suppress(StoreRefused, StoreUnanswered):
                await self._follower.sync()

    async def _renew(self, *, with_summary: bool) -> None:
        self._renewed_at[self._renewals + 1] = steady()
        # The tenure itself limits how long it continues without a confirmed renewal.
        with suppress(StoreRefused, StoreUnanswered):
            await self._append(OwnerAct.RENEW, with_summary=with_summary)

    async def _append_summary(self) -> None:
        """Publish the summary beside the renewals, whose number tells the age of the tenure.

        One that may not have been written doesn't count: another host's record could be in its
        place.
        """
        tenure = self._tenure
        with suppress(StoreRefused, StoreUnanswered):
            await self._append(OwnerAct.RENEW, with_summary=True, additional=1)
            if self._tenure is tenure:
                self._additional += 1

    async def _append(
        self,
        act: OwnerAct,
        *,
        with_summary: bool = False,
        starts_recorded: bool = False,
        additional: int = 0,
    ) -> None:
        owner = self._view.owner
        if owner is None or not self._view.mine:
            return
        if not additional:
            self._renewals += 1
        tenure = self._tenure
        summary = tenure.summary() if tenure and with_summary else None
        recorded = tenure is not None and tenure.standing_starts_recorded
        if summary:
            self._log_room(summary)
        record = OwnerRecord(
            act,
            self._host,
            self._incarnation,
            self._view.claim_token,
            self._renewals,
            summary,
            starts_recorded,
            self._additional + additional,
            recorded_up_to=self._view.token_limit if recorded else 0,
        )
        await self._store.append(self._partition, [Record(record.encode())])

    def _log_room(self, summary: HallSummary) -> None:
        """Log that a summary to publish has more free cores than the last published one."""
        free = summary.published_cpu
        before, self._published_cpu = self._published_cpu, free
        if free >= before + MIN_LOGGED_MILLI_CPU:
            self._log.write(Event.ROOM_PUBLISHED, shard=self._shard, free=free, before=before)
