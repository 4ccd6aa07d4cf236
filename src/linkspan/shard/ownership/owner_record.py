"""Records of a shard's ownership: claims, renewals and releases."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

import orjson

from linkspan._typed import parse_int, parse_list, parse_text
from linkspan.errors import RecordError
from linkspan.shard.handover.summary import HallSummary

RESERVATION_NUMBER = 1
"""Number in the first of the two records of a claim. It reserves a fencing token for the tenure.
Earlier versions, whose claims have no number, read both records as claims by the same process."""


class OwnerAct(Enum):
    """Kind of an ownership record."""

    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """A record of ownership.

    Attributes:
        act: Kind of the record.
        host: Name of the host that wrote it.
        incarnation: Incarnation of the host's process.
        token: Claim token of the tenure that is renewed or released; 0 in claims.
        number: Sequence number of the renewal within its tenure, or ``RESERVATION_NUMBER`` in the
            first record of a claim.
        summary: State of the hall, in some renewals.
        starts_recorded: Whether all starts are on record that the tenure, and those before it, have
            sent; only in a release.
        additional: How many records the tenure has written so far beside those that ``number``
            counts: summaries that did not wait for the next renewal.
        recorded_up_to: 0, or the statement that a standing task of which the record names no
            attempt was started nowhere, by this tenure or earlier ones, and is started only once
            that is on record. It then is the offset up to which the writer had read the ownership
            records, and found no claim after its own.
    """

    act: OwnerAct
    host: str
    incarnation: str
    token: int = 0
    number: int = 0
    summary: HallSummary | None = None
    starts_recorded: bool = False
    additional: int = 0
    recorded_up_to: int = 0

    def encode(self) -> bytes:
        """Return the record as bytes."""
        fields: list[object] = [self.act.value, self.host, self.incarnation, self.token]
        fields.append(self.number)
        later = [
            self.summary.encode() if self.summary else None,
            int(self.starts_recorded),
            self.additional,
            self.recorded_up_to,
        ]
        while later and not later[-1]:
            later.pop()
        fields += later
        return orjson.dumps(fields)

    @classmethod
    def decode(cls, value: bytes) -> OwnerRecord:
        """Return the record that bytes hold.

        Raises:
            RecordError: The bytes are not a valid ownership record.
        """
        try:
            act, host, incarnation, token, number, *rest = parse_list(orjson.loads(value))
            identity = OwnerAct(parse_text(act)), parse_text(host), parse_text(incarnation)
            return cls(
                *identity,
                parse_int(token),
                parse_int(number),
                _summary(rest),
                # Later versions may append fields.
                starts_recorded=rest[1:2] == [1],
                additional=parse_int(rest[2]) if len(rest) > 2 else 0,
                recorded_up_to=parse_int(rest[3]) if len(rest) > 3 else 0,
            )
        except (ValueError, TypeError) as error:
            raise RecordError(f"invalid ownership record: {error!r}; record ignored") from error


def _summary(rest: list[Any]) -> HallSummary | None:
    """Return the summary in a renewal, or ``None`` if its format is unknown.

    The renewal itself stays valid. Otherwise hosts of two versions would claim a shard from each
    other.
    """
    try:
        return HallSummary.decode(parse_list(rest[0])) if rest else None
    except (RecordError, TypeError):
        return None
