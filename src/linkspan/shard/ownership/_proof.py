"""Tracks when a tenure last proved its ownership, and thereby whether it may still act."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import LinkspanError
from linkspan.events import Event
from linkspan.shard.ownership.ownership import MAX_UNPROVED_S, OWNER_SILENCE_S

if TYPE_CHECKING:
    from linkspan.events import EventLog

FREEZE_CHECK_INTERVAL_S = 0.05
"""Time between checks of the clock that detect a freeze of this process."""

MAX_FROZEN_S = 6.0
"""Limits how long an owner may not act because it freezes again before each proof. Another host, or
a new claim of this one, then starts what waits."""


class TenureLost(LinkspanError):
    """The tenure ends: another host owns the shard, or ownership could not be proved in time."""


class OwnershipProof:
    """Determines whether any other owner of the shard can be ruled out.

    Args:
        shard: Number of the shard.
        claimed_at: Steady time before which the claim had not taken effect.
        freeze_s: Duration of a freeze after which ownership must be proved again, in seconds.
        log: Event log.
    """

    def __init__(self, shard: int, claimed_at: float, *, freeze_s: float, log: EventLog) -> None:
        self._shard = shard
        self._freeze_s = freeze_s
        self._log = log
        self._claimed_at = claimed_at
        self._proved_at = self._claimed_at
        self._proof_required_since = float("-inf")
        self._last_check_at: float | None = None
        self._stopping = False
        self._blocked_since: float | None = None

    def __repr__(self) -> str:
        return f"OwnershipProof(shard={self._shard}, proved_at={self._proved_at:.2f})"

    @property
    def claimed_at(self) -> float:
        """Steady time of the claim."""
        return self._claimed_at

    @property
    def proved_at(self) -> float:
        """Steady time at which the last renewal was sent that the store was read to hold."""
        return self._proved_at

    @property
    def sole_owner_until(self) -> float:
        """Steady time until which no other host can have claimed the shard since the last proof."""
        return self._proved_at + OWNER_SILENCE_S

    def proved(self, at: float) -> None:
        """Record that the store had no other owner at a steady time."""
        self._proved_at = max(self._proved_at, at)

    def stop(self) -> None:
        """Stop all further orders."""
        self._stopping = True

    def may_act(self, now: float) -> bool:
        """Whether orders may be sent.

        After a freeze another owner may be active, so ownership must be proved again first.
        """
        self._detect_freeze(now)
        if self._stopping or self._proved_at < self._proof_required_since:
            return False
        return now - self._proved_at < MAX_UNPROVED_S

    def check(self, now: float) -> None:
        """Check that the tenure's ownership was proved recently enough.

        Raises:
            TenureLost: Orders are not allowed, and the last proof is too old, or each proof is
                followed by another freeze.
        """
        if self.may_act(now):
            self._blocked_since = None
            return
        if self._blocked_since is None:
            # Counted from here: a proof could not arrive during a single long freeze.
            self._blocked_since = now
        unproved_s = now - self._proved_at
        if unproved_s >= 2 * MAX_UNPROVED_S:
            raise TenureLost("ownership could not be proved in time")
        frozen = unproved_s < MAX_UNPROVED_S and not self._stopping
        if frozen and now - self._blocked_since >= MAX_FROZEN_S:
            raise TenureLost("this host froze again and again")

    async def watch_freeze(self) -> None:
        """Detect freezes of this process, during which another host may have claimed the shard."""
        self._last_check_at = steady()
        while True:
            await asyncio.sleep(FREEZE_CHECK_INTERVAL_S)
            now = steady()
            self._detect_freeze(now)
            self._last_check_at = now

    def _detect_freeze(self, now: float) -> None:
        """Compare the clock with the previous check of it.

        Called before each order, too: after a suspension, the timer of ``watch_freeze`` fires only
        when the rest of its delay has passed, and orders would be sent before that.
        """
        if (
            self._last_check_at is None
            or now - self._last_check_at <= self._freeze_s + FREEZE_CHECK_INTERVAL_S
        ):
            return
        self._proof_required_since = now
        self._log.write(
            Event.OWNER_SILENT,
            shard=self._shard,
            owner="this host",
            stood_still_s=round(now - self._last_check_at, 2),
        )
        self._last_check_at = now
