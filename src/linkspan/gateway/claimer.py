"""Claims non-repeatable requests through the platform's log before they are dispatched."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from linkspan.errors import LogGap, LogUnavailable
from linkspan.routing.claims import CLAIMS_STREAM, Claim, ClaimRegister, encode_claims
from linkspan.runtime.log_tail import LogTail

if TYPE_CHECKING:
    from linkspan.runtime.node import Node

BATCH_INTERVAL_S = 0.05
"""Interval at which collected claims are appended to the log as one record."""


class Claimer:
    """Appends this gateway's claims and follows the claims stream to learn which claims win.

    Args:
        node: The daemon.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._register = ClaimRegister()
        self._nonces = count(1)
        self._unsent: list[Claim] = []
        self._pending: dict[Claim, asyncio.Future[bool]] = {}

    def __repr__(self) -> str:
        return f"Claimer({self._register!r}, pending={len(self._pending)})"

    async def claim(self, key: str, *, timeout_s: float) -> Claim | None:
        """Claim the right to dispatch the request with this key.

        Returns:
            The claim if it won; the caller releases it if the request was certainly
            not sent. None if another claim holds the key.

        Raises:
            LogUnavailable: The claim did not appear in the log in time. The request
                must not be sent. A release is appended in case the claim takes
                effect later.
        """
        claim = Claim(key, self._node.name, next(self._nonces), self._register.next_offset)
        if self._register.winner(key) is not None:
            return None
        won: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending[claim] = won
        self._unsent.append(claim)
        try:
            async with asyncio.timeout(timeout_s):
                return claim if await won else None
        except TimeoutError as error:
            self.release(claim)
            raise LogUnavailable(
                "claim did not appear in the log in time; send the request again"
            ) from error
        except asyncio.CancelledError:
            self.release(claim)
            raise
        finally:
            self._pending.pop(claim, None)

    def release(self, claim: Claim) -> None:
        """Queue the release of a claim whose request was certainly not sent.

        The release is not repeated if its append fails; the key may then stay claimed.
        """
        self._unsent.append(claim._replace(is_release=True))

    async def run_appends(self) -> None:
        """Append collected claims and releases in batches until cancelled."""
        while True:
            await asyncio.sleep(BATCH_INTERVAL_S)
            batch = [c for c in self._unsent if c.is_release or c in self._pending]
            self._unsent.clear()
            if not batch:
                continue
            result = "answered"
            try:
                await self._node.log.append(CLAIMS_STREAM, encode_claims(batch))
            except LogUnavailable:
                result = "unknown"
            self._node.metrics.appends.inc({"stream": "claims", "result": result})

    async def run_tail(self) -> None:
        """Apply the claims stream and resolve pending claims until cancelled."""
        tail = LogTail(self._node.log, self._node.events, CLAIMS_STREAM)
        start = 0
        while True:
            try:
                page = await tail.read(start)
            except LogGap as gap:
                start = self._register.next_offset = gap.first
                continue
            if page is None:
                continue
            for entry in page.entries:
                self._register.apply(entry.offset, entry.body)
                start = entry.offset + 1
            self._resolve_pending()

    def _resolve_pending(self) -> None:
        for claim, won in self._pending.items():
            winner = self._register.winner(claim.key)
            if winner is not None and not won.done():
                won.set_result(winner == claim)
