"""Claims on a shared log that allow at most one dispatch per non-repeatable request."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

import orjson

CLAIMS_STREAM = "claims"
"""Name of the claims stream on the platform's log."""

MAX_REMEMBERED_CLAIMS = 16_384
"""Limits the claims in memory; a key whose claim was evicted may be claimed again."""

MAX_CLAIM_AGE_OFFSETS = 10_000
"""Limits how far a claim's offset may be past ``read_offset``; later claims are ignored."""


class Claim(NamedTuple):
    """A gateway's claim of the right to dispatch a request.

    Attributes:
        key: Service name and idempotency key of the request.
        gateway: Name of the claiming gateway.
        nonce: Distinguishes requests with the same key at the same gateway.
        read_offset: First offset that the gateway had not read when it claimed.
        is_release: Whether the record releases the claim because the request was not sent.
    """

    key: str
    gateway: str
    nonce: int
    read_offset: int
    is_release: bool = False


class ClaimRegister:
    """State built from the claims stream; the first claim of each key wins."""

    def __init__(self) -> None:
        self.next_offset = 0
        self._winners: OrderedDict[str, Claim] = OrderedDict()

    def __repr__(self) -> str:
        return f"ClaimRegister(next_offset={self.next_offset}, claims={len(self._winners)})"

    def apply(self, offset: int, body: bytes) -> None:
        """Apply the record at ``offset``, which holds a batch of claims."""
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        for claim in decode_claims(body):
            if claim.is_release:
                self._release(claim)
            elif offset - claim.read_offset <= MAX_CLAIM_AGE_OFFSETS:
                self._winners.setdefault(claim.key, claim)
        while len(self._winners) > MAX_REMEMBERED_CLAIMS:
            self._winners.popitem(last=False)

    def _release(self, claim: Claim) -> None:
        """Release a key, provided that the released claim is the one that won it."""
        if self._winners.get(claim.key) == claim._replace(is_release=False):
            del self._winners[claim.key]

    def winner(self, key: str) -> Claim | None:
        """Return the claim that won ``key``, or None if no claim has."""
        return self._winners.get(key)


def encode_claims(claims: list[Claim]) -> bytes:
    """Encode claims as the body of one log record."""
    return orjson.dumps([list(claim) for claim in claims])


def decode_claims(body: bytes) -> list[Claim]:
    """Decode the claims of a log record; a malformed record yields an empty list."""
    try:
        return [
            Claim(str(key), str(gateway), int(nonce), int(read_offset), bool(is_release))
            for key, gateway, nonce, read_offset, is_release in orjson.loads(body)
        ]
    except (TypeError, ValueError):
        return []
