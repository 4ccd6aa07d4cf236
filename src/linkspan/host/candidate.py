"""A host's part in the ownership of one shard: watch, claim, renew, hand on."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import OffsetConflict, RecordError, StoreRefused, StoreUnanswered, format_error
from linkspan.events import Event
from linkspan.shard.ownership._proof import TenureLost
from linkspan.shard.ownership.ownership import (
    OFFLINE_S,
    RENEW_S,
    Claim,
    Owner,
    OwnerAct,
    OwnerRecord,
    OwnerView,
)
from linkspan.store.follower import Follower
from linkspan.store.types import Partition, Record

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from linkspan.events import EventLog
    from linkspan.host._slowness import Slowness
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.tenure import Tenure
    from linkspan.store.types import Entry, Store

HOME_WATCH_S = 0.7
"""How long a look at the own hall's ownership waits for a record: a little over the
time between renewals, so that a silent owner is found at once."""

REMOTE_WATCH_S = 2.0
"""Pause between looks at another hall's ownership."""

SUMMARY_EVERY = 2
"""Renewals of which one tells the state of the hall."""

PAST_RECORDS = 4
"""Records of the past that a look at a hall's ownership begins with. Two renewals name the
owner and one of them tells the state of the hall; a day of them is megabytes, which all hosts
that start anew would ask for at once."""

CRASH_PAUSE_S = 1.0
"""Pause after a tenure ended by an error, so that a lasting one does not spin."""

CLAIM_TICK_S = 0.1
"""Time between checks whether it is this host's turn to claim the shard of its hall."""

REMOTE_CLAIM_TICK_S = 0.25
"""The same for the shard of another hall, whose ownership is read every 2 s. Each check wakes
the host, for each hall; and work that nobody owns is to be stopped within 3 s."""

HAND_ON_S = 1.0
"""Longest time for making progress durable before a shard is handed on."""


class Candidate:
    """Watches a shard's ownership and holds it when it is this host's turn.

    Args:
        store: The platform's store.
        shard: Number of the shard.
        host: This host's name.
        incarnation: Life of this process.
        home: Whether the shard is that of this host's hall.
        make_tenure: Makes a tenure for an owner, a shard and what is known of the claim.
        log: Where events go.
        slowness: What this host observes of itself.
        on_summary: Takes the shard and what its owner tells of its hall.
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
        slowness: Slowness,
        on_summary: Callable[[int, HallSummary], None] = lambda _shard, _summary: None,
    ) -> None:
        self._store = store
        self._shard = shard
        self._host = host
        self._incarnation = incarnation
        self._home = home
        self._make_tenure = make_tenure
        self._log = log
        self._slowness = slowness
        self._on_summary = on_summary
        self._view = OwnerView(host, incarnation, home=home)
        self._partition = Partition("owners", shard)
        self._follower = Follower(
            store,
            self._partition,
            on_entries=self._on_entries,
            on_health=self._on_health,
            on_missed=lambda: self._view.miss(steady()),
            pause_s=0.0 if home else REMOTE_WATCH_S,
            max_past_records=PAST_RECORDS,
        )
        self._follower.wait_s = HOME_WATCH_S if home else 0.0
        self._tenure: Tenure | None = None
        self._tenure_task: asyncio.Task[None] | None = None
        self._renewed_at: dict[int, float] = {}
        self._renewals = 0
        self._claimed = Claim(float("-inf"), OFFLINE_S)
        self._enabled = asyncio.Event()

    def __repr__(self) -> str:
        return f"Candidate(shard={self._shard}, {self._view!r})"

    @property
    def tenure(self) -> Tenure | None:
        """The present tenure, if this host owns the shard."""
        return self._tenure

    @property
    def view(self) -> OwnerView:
        """The shard's ownership."""
        return self._view

    @property
    def last_response_at(self) -> float:
        """Steady time at which the store last answered."""
        return self._follower.last_response_at

    def enable(self) -> None:
        """Allow claims: this host knows the configuration and the jobs."""
        self._enabled.set()

    async def run(self) -> None:
        """Watch and claim until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follower.run())
                group.create_task(self._claim_loop(group))
                group.create_task(self._renew_loop())
        finally:
            # A tenure that nothing tells of newer owners must not go on giving orders.
            self._end_tenure()

    async def hand_off(self) -> None:
        """Give the shard to another host before a planned stop."""
        self._enabled.clear()
        tenure = self._tenure
        if tenure is None:
            return
        await tenure.hand_off(HAND_ON_S)
        try:
            await self._append(OwnerAct.RELEASE)
        except (StoreRefused, StoreUnanswered) as error:
            self._log.write(Event.OWNER_HANDED_ON, shard=self._shard, failed=str(error))
        else:
            self._log.write(Event.OWNER_HANDED_ON, shard=self._shard)
        self._end_tenure()

    async def _claim_loop(self, group: asyncio.TaskGroup) -> None:
        await self._enabled.wait()
        while True:
            if self._follower.ready and self._enabled.is_set():
                now = steady()
                if self._should_claim(now) and self._heard_lately(now):
                    await self._claim(group)
            await asyncio.sleep(CLAIM_TICK_S if self._home else REMOTE_CLAIM_TICK_S)

    def _should_claim(self, now: float) -> bool:
        return self._view.should_claim(now, delay_s=self._slowness.delay_s)

    def _heard_lately(self, now: float) -> bool:
        # The silence must be the owner's, not the store's.
        limit = 2 * HOME_WATCH_S if self._home else 2 * REMOTE_WATCH_S
        return now - self._follower.synced_at < limit

    async def _claim(self, group: asyncio.TaskGroup) -> None:
        record = OwnerRecord(OwnerAct.CLAIM, self._host, self._incarnation)
        silent = self._view.silent_for(steady())
        former = self._view.owner
        asked = steady()
        try:
            await self._follower.sync()
            now = steady()
            if not self._should_claim(now):
                return
            # An earlier claim of ours, without an answer, may be done since we asked.
            self._claimed = Claim(asked, now - asked + self._view.offline_left(now))
            appended = await self._store.append(
                self._partition, [Record(record.encode())], at=self._follower.offset
            )
        except (OffsetConflict, StoreRefused, StoreUnanswered):
            # Another host was first, or our claim will be read back.
            return
        self._log.write(
            Event.OWNER_CLAIMED,
            shard=self._shard,
            token=appended.offset + 1,
            former=former.host if former else None,
            silent_s=round(silent, 2),
            former_token=former.token if former else None,
            former_acts_s=round(self._claimed.former_offline_s, 2),
        )
        # Another hall's ownership is looked at seldom, and its claim counts once it is read.
        with suppress(StoreRefused, StoreUnanswered):
            await self._follower.sync()

    def _on_entries(self, entries: Sequence[Entry]) -> None:
        now = steady()
        for entry in entries:
            try:
                record = self._view.apply(entry, now)
            except RecordError as error:
                self._log.write(Event.RECORD_SKIPPED, partition="owners", error=str(error))
                continue
            self._take_proof(record)
            if record.summary:
                self._on_summary(self._shard, record.summary)
        self._follow_view()

    def _take_proof(self, record: OwnerRecord) -> None:
        """Count a renewal of the present tenure that came through with no other claim before it."""
        owner = self._view.owner
        if self._tenure and self._view.mine and owner and record.token == owner.token:
            renewed_at = self._renewed_at.pop(record.number, float("-inf"))
            self._tenure.proved(renewed_at, token_limit=self._view.token_limit)

    def _on_health(self, healthy: bool) -> None:
        if healthy:
            self._view.store_back(steady())

    def _follow_view(self) -> None:
        owner = self._view.owner
        current = self._tenure
        if current and (not self._view.mine or owner is None):
            self._log.write(
                Event.OWNER_LOST, shard=self._shard, owner=owner.host if owner else None
            )
            self._end_tenure()
        if owner and self._view.mine and self._tenure is None and self._enabled.is_set():
            self._begin_tenure(owner)

    def _begin_tenure(self, owner: Owner) -> None:
        # Renewals tell who starts later how long this tenure has ruled.
        self._renewals = 0
        self._tenure = self._make_tenure(owner, self._shard, self._claimed)
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
            self._view.give_up()

    def _end_tenure(self) -> None:
        if self._tenure_task:
            self._tenure_task.cancel()
        self._tenure = None
        self._tenure_task = None
        self._renewed_at.clear()

    async def _renew_loop(self) -> None:
        while True:
            await asyncio.sleep(RENEW_S)
            if self._tenure is None:
                continue
            self._renewed_at[self._renewals + 1] = steady()
            try:
                await self._append(OwnerAct.RENEW)
            except (StoreRefused, StoreUnanswered):
                # The tenure itself bounds how long it goes on unproved.
                continue

    async def _append(self, act: OwnerAct) -> None:
        owner = self._view.owner
        if owner is None or not self._view.mine:
            return
        self._renewals += 1
        summary = None
        if self._tenure and self._renewals % SUMMARY_EVERY == 0:
            summary = self._tenure.summary()
        record = OwnerRecord(
            act, self._host, self._incarnation, owner.token, self._renewals, summary
        )
        await self._store.append(self._partition, [Record(record.encode())])
