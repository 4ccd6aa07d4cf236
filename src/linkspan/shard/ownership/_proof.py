"""Whether a tenure may still act: how fresh the proof of its ownership is."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import LinkspanError
from linkspan.events import Event
from linkspan.shard.ownership.ownership import OFFLINE_S, SILENCE_S

if TYPE_CHECKING:
    from linkspan.events import EventLog

FREEZE_TICK_S = 0.05
"""Time between looks at the clock that find a stand-still of this process."""


class TenureLost(LinkspanError):
    """The shard has another owner; this tenure ends."""


class OwnershipProof:
    """Tells whether another owner is ruled out.

    Args:
        shard: Number of the shard.
        claimed_at: Steady time before which the claim was not done.
        freeze_s: Stand-still of this process after which ownership must be proved anew.
        log: Where events go.
    """

    def __init__(self, shard: int, claimed_at: float, *, freeze_s: float, log: EventLog) -> None:
        self._shard = shard
        self._freeze_s = freeze_s
        self._log = log
        self._claimed_at = claimed_at
        self._proved_at = self._claimed_at
        self._must_prove_since = float("-inf")
        self._watched_at: float | None = None
        self._stopping = False

    def __repr__(self) -> str:
        return f"OwnershipProof(shard={self._shard}, proved_at={self._proved_at:.2f})"

    @property
    def claimed_at(self) -> float:
        """Steady time of the claim."""
        return self._claimed_at

    @property
    def sole_owner_until(self) -> float:
        """Steady time until which no other host can have claimed the shard since the last proof."""
        return self._proved_at + SILENCE_S

    def proved(self, at: float) -> None:
        """Take in that the store had no other owner at a steady time."""
        self._proved_at = max(self._proved_at, at)

    def stop(self) -> None:
        """Allow no orders any more."""
        self._stopping = True

    def may_act(self, now: float) -> bool:
        """Whether orders may go out.

        After a stand-still another owner may be at work: it must be ruled out first.
        """
        self._find_stand_still(now)
        if self._stopping or self._proved_at < self._must_prove_since:
            return False
        return now - self._proved_at < OFFLINE_S

    def check(self, now: float) -> None:
        """End the tenure if its ownership was not proved for long.

        Raises:
            TenureLost: Nothing may be done, and the last proof is too old.
        """
        if not self.may_act(now) and now - self._proved_at >= 2 * OFFLINE_S:
            raise TenureLost("ownership was not proved for too long")

    async def watch_freeze(self) -> None:
        """Find out that this process stood still: another may own the shard since."""
        self._watched_at = steady()
        while True:
            await asyncio.sleep(FREEZE_TICK_S)
            now = steady()
            self._find_stand_still(now)
            self._watched_at = now

    def _find_stand_still(self, now: float) -> None:
        """Compare the clock with the last look at it.

        Whoever is to act asks, too: after a suspension the timer of the watch is due only when
        the rest of its time has passed, and orders would go out before.
        """
        if self._watched_at is None or now - self._watched_at <= self._freeze_s + FREEZE_TICK_S:
            return
        self._must_prove_since = now
        self._log.write(
            Event.OWNER_SILENT,
            shard=self._shard,
            owner="this host",
            stood_still_s=round(now - self._watched_at, 2),
        )
        self._watched_at = now
