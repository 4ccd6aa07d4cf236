"""Ownership of a shard: the current owner by claims and renewals, and when to claim.

The fencing tokens of a tenure follow from the offsets of its records. Claims are conditional
appends, so each one follows everything its writer had read, and offsets only increase. A claim is
appended together with a reservation, so that a tenure has two tokens from its claim on.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from linkspan.errors import RecordError
from linkspan.shard.ownership._starts_statement import StartsStatement
from linkspan.shard.ownership.owner_record import RESERVATION_NUMBER, OwnerAct, OwnerRecord

if TYPE_CHECKING:
    from linkspan.shard.handover.summary import HallSummary, PairEffect
    from linkspan.store.types import Entry

RENEWAL_INTERVAL_S = 0.6
"""Time between renewals, in seconds: three fit into the silence that ends ownership."""

OWNER_SILENCE_S = 2.0
"""Silence of the owner after which a host of the same hall claims a shard: a slow store answers in
0.4 s and a slow host takes 0.5 s longer, and neither may cost the ownership."""

REMOTE_OWNER_SILENCE_S = 8.0
"""Silence of the owner after which a host of another hall claims the shard. It exceeds network cuts
of a hall, which last 5 to 6 s and during which only the hall's own hosts reach its executors."""

RELEASED_CLAIM_DELAY_S = 0.6
"""Time that hosts of the hall have to claim a released shard before hosts of other halls may. They
see a release at once and claim the shard with two calls, so they are first even if the store takes
0.4 s for each. Hosts check another hall's ownership every 2 s, and the work of a cancelled job must
be stopped within 3 s also if the hall has no owner."""

MAX_UNPROVED_S = 10.0
"""Time for which an owner continues without having proved its ownership. Outages of the store last
up to 9 s."""

MAX_REMEMBERED_EFFECTS = 2_000
"""Limits the interference effects that are kept for a hall, to the newest. Images change with the
workload, and a host that does not own the hall would otherwise keep effects of images that are not
used any more."""


@dataclass(frozen=True, slots=True)
class Owner:
    """A tenure of a shard.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation of the host's process.
        token: First fencing token: the offset plus 1 of the reservation, or of the claim if it was
            written without one. Of an owner that is known by its renewals alone, the claim's.
    """

    host: str
    incarnation: str
    token: int


@dataclass(frozen=True, slots=True)
class Claim:
    """What a host knows of its own claim of a shard.

    Attributes:
        sent_at: Steady time before which the claim had not taken effect. The claim proves ownership
            as of this time, however late the host reads it back.
        former_owners_remaining_s: Time after ``sent_at`` for which former owners may act without
            having proved their ownership, in seconds.
        starts_recorded: Whether all starts that former owners have sent are on record.
        standing_starts_recorded: Whether those of standing tasks are, and each one that a former
            owner may still send.
    """

    sent_at: float
    former_owners_remaining_s: float
    starts_recorded: bool = False
    standing_starts_recorded: bool = False


class OwnerView:
    """Ownership of a shard, derived from its ownership records as this host reads them.

    Args:
        host: This host's name.
        incarnation: Incarnation of this process.
        home: Whether the shard is that of this host's hall.
    """

    def __init__(self, host: str, incarnation: str, *, home: bool) -> None:
        self._host = host
        self._incarnation = incarnation
        self._home = home
        self._owner: Owner | None = None
        self._claim_token = 0
        self._token_limit = 0
        self._claim_read = False
        self._has_gap = False
        self._released = False
        self._starts_recorded = False
        self._statement = StartsStatement()
        self._last_record_at: float | None = None
        self._former_owners_until = float("-inf")
        self._summary: HallSummary | None = None
        self._effects: dict[tuple[str, str], PairEffect] = {}

    def __repr__(self) -> str:
        return f"OwnerView({self._owner})"

    @property
    def owner(self) -> Owner | None:
        """The current owner; ``None`` before the first claim and after a release."""
        return self._owner

    @property
    def mine(self) -> bool:
        """Whether this process is the owner."""
        owner = self._owner
        return owner is not None and owner.incarnation == self._incarnation

    @property
    def token_limit(self) -> int:
        """Limit up to which tokens belong to the owner's tenure, if this process is the owner.

        Any other claim has a higher offset than the records of this tenure that were read without a
        gap.
        """
        return self._token_limit

    @property
    def claim_token(self) -> int:
        """Token that the owner's renewals and its release carry: its claim's offset plus 1."""
        return self._claim_token

    @property
    def summary(self) -> HallSummary | None:
        """State of the hall as published by its owners; ``None`` before the first summary.

        It is the same object until an owner publishes another one.
        """
        return self._summary

    def apply(self, entry: Entry, now: float) -> OwnerRecord:
        """Apply an ownership record.

        Raises:
            RecordError: The entry is not a valid ownership record.
        """
        try:
            record = OwnerRecord.decode(entry.value)
        except RecordError:
            self._statement.on_unread()
            raise
        self._statement.on_read(entry.offset)
        if record.act is OwnerAct.CLAIM:
            self._on_claim(record, now)
            self._claim_token = self._token_limit = entry.offset + 1
            self._owner = Owner(record.host, record.incarnation, self._first_token(entry, record))
            self._claim_read = True
            self._has_gap = False
            self._released = False
            self._statement.on_claim(record)
            self._last_record_at = now
        elif record.act is OwnerAct.RENEW and record.token > self._claim_token:
            # The claim itself is beyond the log's retention, or was not read. A renewal of an
            # earlier tenure that arrives late does not identify the owner.
            self._claim_token = record.token
            self._former_owners_until = now + MAX_UNPROVED_S - _undisputed_s(record, entry.offset)
            self._owner = Owner(record.host, record.incarnation, record.token)
            self._claim_read = False
            self._has_gap = False
            self._released = False
            self._statement.on_new_tenure(record)
            self._on_owner_record(record, now)
        elif self._owner and record.token == self._claim_token:
            self._statement.on_renewal(record)
            self._on_owner_record(record, now)
            if self.mine and not self._has_gap:
                self._token_limit = entry.offset + 1
            if record.act is OwnerAct.RELEASE:
                self._owner = None
                self._released = True
                self._starts_recorded = record.starts_recorded
        return record

    def _first_token(self, entry: Entry, claim: OwnerRecord) -> int:
        """Return the first fencing token of the tenure that a claim begins.

        Processes of other versions write claims without a reservation, this process never does.
        """
        if claim.number == RESERVATION_NUMBER:
            return entry.offset + 1
        reserved = claim.incarnation == self._incarnation or self._owner == Owner(
            claim.host, claim.incarnation, entry.offset
        )
        return entry.offset if reserved else entry.offset + 1

    def _on_claim(self, claim: OwnerRecord, now: float) -> None:
        """Record how long former owners, known or unknown, may still act after a claim."""
        if self._released:
            return
        if self._owner is None or not self._claim_read:
            # A renewal may be appended late: others may have owned the shard since, in records not
            # read.
            self._former_owners_until = now + MAX_UNPROVED_S
        elif self._owner.host != claim.host:
            self._former_owners_until = max(
                self._former_owners_until, now - self.silent_for(now) + MAX_UNPROVED_S
            )

    def _on_owner_record(self, record: OwnerRecord, now: float) -> None:
        self._last_record_at = now
        if record.summary:
            self._merge_summary(record.summary)

    def _merge_summary(self, summary: HallSummary) -> None:
        """Store a hall's summary and merge its new effects into the known ones.

        Other known effects are kept: they belong to pairs of images, whoever owns the hall.
        """
        for effect in summary.effects:
            pair = effect.standing, effect.image
            self._effects.pop(pair, None)
            self._effects[pair] = effect
        while len(self._effects) > MAX_REMEMBERED_EFFECTS:
            del self._effects[next(iter(self._effects))]
        self._summary = replace(summary, effects=tuple(self._effects.values()))

    @property
    def starts_recorded(self) -> bool:
        """Whether all starts that former owners have sent are on record, if claimed now.

        Their last one said so when it released the shard.
        """
        return self._released and self._starts_recorded and not self._has_gap

    @property
    def standing_starts_recorded(self) -> bool:
        """Whether former owners start no standing task that a record shows without an attempt.

        If so, that also holds for all that owners before it have sent.
        """
        return self._statement.holds

    def on_tenure_ended(self) -> None:
        """Record that this process no longer acts as the owner."""
        if self.mine:
            self._owner = None

    def on_gap(self, now: float) -> None:
        """Handle a gap in the records that were read, which may hide a claim by any host."""
        self._has_gap = True
        self._claim_read = False
        self._last_record_at = now
        self._former_owners_until = now + MAX_UNPROVED_S
        self._statement.on_unread()

    def on_store_available(self, now: float) -> None:
        """Restart the owner's silence when the store answers this host again.

        The silence before may have been this host's own.
        """
        self._last_record_at = now

    def silent_for(self, now: float) -> float:
        """Return how long the owner has been silent, in seconds."""
        if self._last_record_at is None:
            self._last_record_at = now
        return now - self._last_record_at

    def former_owners_remaining_s(self, now: float) -> float:
        """Return for how many seconds former owners may act, unproved, after a claim made now.

        All former owners count, not only the last one. The first of several may merely be cut off
        from the store, and an earlier incarnation of this host, which has certainly ended, may have
        followed it.
        """
        others = max(self._former_owners_until - now, 0.0)
        if self._owner is None:
            # An owner that released the shard sends no more orders.
            return others if self._released else MAX_UNPROVED_S
        if self._owner.host == self._host:
            return others
        return max(MAX_UNPROVED_S - self.silent_for(now), others)

    def should_claim(self, now: float, *, delay_s: float = 0.0) -> bool:
        """Whether to claim the shard, right after the store reported no further records.

        Args:
            now: Steady time.
            delay_s: Head start for faster hosts, in seconds.
        """
        if self.mine:
            return False
        silent = self.silent_for(now) - delay_s
        if not self._home:
            # An owner that released the shard sends no more orders, unlike one that is cut off.
            return silent >= (RELEASED_CLAIM_DELAY_S if self._released else REMOTE_OWNER_SILENCE_S)
        if self._has_gap:
            return silent >= OWNER_SILENCE_S
        if self._owner is None:
            return silent >= 0.0
        # An earlier incarnation of this host has ended, and no other host can know that as early.
        return self._owner.host == self._host or silent >= OWNER_SILENCE_S


def _undisputed_s(renewal: OwnerRecord, offset: int) -> float:
    """Return for how long a renewal's tenure has certainly been the newest, in seconds.

    If there are more records since the tenure's claim than the tenure has written, others wrote
    some of them, possibly a claim.
    """
    since_claim = offset + 1 - renewal.token
    written = renewal.number + renewal.additional
    return (renewal.number - 1) * RENEWAL_INTERVAL_S if since_claim <= written else 0.0
