"""Who owns a shard: a fold of claims and renewals, and when to claim.

The offset of a claim is its fencing token: claims are conditional appends, so each
comes after all that its writer had read, and offsets only rise.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING, Any

import orjson

from linkspan._typed import parse_int, parse_list, parse_text
from linkspan.errors import RecordError
from linkspan.shard.handover.summary import HallSummary, PairEffect

if TYPE_CHECKING:
    from linkspan.store.types import Entry

RENEW_S = 0.6
"""Time between renewals, in seconds: three fit into the silence that ends ownership."""

SILENCE_S = 2.0
"""Silence after which a host of the same hall claims a shard: a slow store answers
in 0.4 s and a slow host takes 0.5 s longer, and neither is to cost the ownership."""

REMOTE_SILENCE_S = 8.0
"""Silence after which a host of another hall claims it. Longer than cuts of a hall,
which last 5 to 6 s and in which only its own hosts reach its executors."""

RELEASED_S = 0.6
"""Time that hosts of the hall have to claim a released shard before another hall's do.
They see a release at once and claim it with two calls, so they are first even if the
store takes 0.4 s for each. With the look at another hall's ownership every 2 s, work of a
cancelled job that nobody owns is stopped within the 3 s that the platform grants."""

OFFLINE_S = 10.0
"""Time for which an owner goes on without having proved its ownership. Outages of
the store last up to 9 s."""


MAX_EFFECTS = 2_000
"""Effects kept of a hall, the newest: images come and go with what runs, and a host that
does not own the hall is not to keep those of weeks. Some 300 are known at once."""


class OwnerAct(Enum):
    """What a record of ownership says."""

    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """A record of ownership.

    Attributes:
        act: What it says.
        host: Name of the host that wrote it.
        incarnation: Distinguishes the lives of the host's process.
        token: Token of the tenure that is renewed or released; 0 in claims.
        number: Counts the renewals of a tenure.
        summary: State of the hall, in some renewals.
    """

    act: OwnerAct
    host: str
    incarnation: str
    token: int = 0
    number: int = 0
    summary: HallSummary | None = None

    def encode(self) -> bytes:
        """Return the record's bytes."""
        fields: list[object] = [self.act.value, self.host, self.incarnation, self.token]
        fields.append(self.number)
        if self.summary:
            fields.append(self.summary.encode())
        return orjson.dumps(fields)

    @classmethod
    def decode(cls, value: bytes) -> OwnerRecord:
        """Return the record of its bytes.

        Raises:
            RecordError: They are no record of ownership.
        """
        try:
            act, host, incarnation, token, number, *rest = parse_list(orjson.loads(value))
            named = OwnerAct(parse_text(act)), parse_text(host), parse_text(incarnation)
            return cls(*named, parse_int(token), parse_int(number), _summary(rest))
        except (ValueError, TypeError) as error:
            raise RecordError(f"ownership record: {error!r}; it is passed over") from error


def _summary(rest: list[Any]) -> HallSummary | None:
    """Return a renewal's summary, ``None`` for one of a form that is not known.

    The renewal itself stands: else hosts of two versions would take a shard from each other.
    """
    try:
        return HallSummary.decode(parse_list(rest[0])) if rest else None
    except (RecordError, TypeError):
        return None


@dataclass(frozen=True, slots=True)
class Owner:
    """A tenure of a shard.

    Attributes:
        host: Name of the host.
        incarnation: Life of its process.
        token: Fencing token: the claim's offset and 1.
    """

    host: str
    incarnation: str
    token: int


@dataclass(frozen=True, slots=True)
class Claim:
    """What a host knows of its claim of a shard.

    Attributes:
        sent_at: Steady time before which it was not done. The shard was this host's when it
            was done, so its ownership is proved as of then, however late that is read.
        former_offline_s: Time from then on for which former owners may act unproved, in seconds.
    """

    sent_at: float
    former_offline_s: float


class OwnerView:
    """Fold of a shard's records of ownership, as one host sees it.

    Args:
        host: This host's name.
        incarnation: Life of this process.
        home: Whether the shard is that of this host's hall.
    """

    def __init__(self, host: str, incarnation: str, *, home: bool) -> None:
        self._host = host
        self._incarnation = incarnation
        self._home = home
        self._owner: Owner | None = None
        self._newest = 0
        self._token_limit = 0
        self._claim_read = False
        self._missed = False
        self._released = False
        self._heard_at: float | None = None
        self._others_until = float("-inf")
        self._summary: HallSummary | None = None
        self._effects: dict[tuple[str, str], PairEffect] = {}

    def __repr__(self) -> str:
        return f"OwnerView({self._owner})"

    @property
    def owner(self) -> Owner | None:
        """The present owner, ``None`` before the first claim and after a release."""
        return self._owner

    @property
    def mine(self) -> bool:
        """Whether this process is the owner."""
        owner = self._owner
        return owner is not None and owner.incarnation == self._incarnation

    @property
    def token_limit(self) -> int:
        """Number up to which tokens are the owner's own, where that is this process.

        Any other claim has a higher offset than what of this tenure was read without a gap.
        """
        return self._token_limit

    @property
    def summary(self) -> HallSummary | None:
        """State of the hall as its owners told it, ``None`` before one did."""
        if self._summary is None:
            return None
        return replace(self._summary, effects=tuple(self._effects.values()))

    def apply(self, entry: Entry, now: float) -> OwnerRecord:
        """Take a record in.

        Raises:
            RecordError: The entry holds no record of ownership.
        """
        record = OwnerRecord.decode(entry.value)
        if record.act is OwnerAct.CLAIM:
            self._follow_on(record, now)
            self._owner = Owner(record.host, record.incarnation, entry.offset + 1)
            self._newest = self._owner.token
            self._token_limit = self._owner.token
            self._claim_read = True
            self._missed = False
            self._released = False
            self._heard_at = now
        elif record.act is OwnerAct.RENEW and record.token > self._newest:
            # The claim itself is past the log's retention, or past what was read of it. A
            # renewal that is done late, of a tenure that ended, tells of no owner.
            self._newest = record.token
            self._others_until = now + OFFLINE_S - _ruled_s(record, entry.offset)
            self._owner = Owner(record.host, record.incarnation, record.token)
            self._claim_read = False
            self._missed = False
            self._released = False
            self._hear(record, now)
        elif self._owner and record.token == self._owner.token:
            self._hear(record, now)
            if self.mine and not self._missed:
                self._token_limit = entry.offset + 1
            if record.act is OwnerAct.RELEASE:
                self._owner = None
                self._released = True
        return record

    def _follow_on(self, claim: OwnerRecord, now: float) -> None:
        """Note for how long the owner before a claim, or one that was not read of, may act."""
        if self._released:
            return
        if self._owner is None or not self._claim_read:
            # A renewal may be done late: others may have ruled since, in records not read.
            self._others_until = now + OFFLINE_S
        elif self._owner.host != claim.host:
            self._others_until = max(self._others_until, now - self.silent_for(now) + OFFLINE_S)

    def _hear(self, record: OwnerRecord, now: float) -> None:
        self._heard_at = now
        if record.summary:
            self._take_in(record.summary)

    def _take_in(self, summary: HallSummary) -> None:
        """Take in a hall's state, with the effects that are news.

        What is known of the others stays: effects are of images, whoever owns the hall.
        """
        self._summary = summary
        for effect in summary.effects:
            pair = effect.standing, effect.image
            self._effects.pop(pair, None)
            self._effects[pair] = effect
        while len(self._effects) > MAX_EFFECTS:
            del self._effects[next(iter(self._effects))]

    def give_up(self) -> None:
        """Take in that this process no longer acts as the owner."""
        if self.mine:
            self._owner = None

    def miss(self, now: float) -> None:
        """Take in that records went that were not read, a claim of any host maybe among them."""
        self._missed = True
        self._claim_read = False
        self._heard_at = now
        self._others_until = now + OFFLINE_S

    def store_back(self, now: float) -> None:
        """Take in that the store answers this host again.

        Silence is counted from here: until now it may have been ours.
        """
        self._heard_at = now

    def silent_for(self, now: float) -> float:
        """Return how long the owner has been silent, in seconds."""
        if self._heard_at is None:
            self._heard_at = now
        return now - self._heard_at

    def offline_left(self, now: float) -> float:
        """Return for how many seconds former owners may act, unproved, after a claim made now.

        All of them count: the first of several in a row may be cut off from the store only, and
        an earlier life of this host, which surely has ended, may have followed it.
        """
        others = max(self._others_until - now, 0.0)
        if self._owner is None:
            return OFFLINE_S
        if self._owner.host == self._host:
            return others
        return max(OFFLINE_S - self.silent_for(now), others)

    def should_claim(self, now: float, *, delay_s: float = 0.0) -> bool:
        """Whether to claim the shard, just after the store said that there is no more.

        Args:
            now: Steady time.
            delay_s: Time for which faster hosts are let first, in seconds.
        """
        if self.mine:
            return False
        silent = self.silent_for(now) - delay_s
        if not self._home:
            # Who released it gives no orders any more, unlike an owner that is cut off.
            return silent >= (RELEASED_S if self._released else REMOTE_SILENCE_S)
        if self._missed:
            return silent >= SILENCE_S
        if self._owner is None:
            return silent >= 0.0
        # An earlier life of this host has ended: nobody else can know that as soon.
        return self._owner.host == self._host or silent >= SILENCE_S


def _ruled_s(renewal: OwnerRecord, offset: int) -> float:
    """Return for how long a renewal's tenure has surely been the last one, in seconds.

    More records since its claim than it has written itself are of others, maybe of a claim.
    """
    since_claim = offset + 1 - renewal.token
    return (renewal.number - 1) * RENEW_S if since_claim <= renewal.number else 0.0
