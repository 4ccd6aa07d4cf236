"""Fencing tokens of one tenure: a life of an executor gets a higher one than those before it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.executor import ExecutorState


class TenureTokens:
    """Gives each life of an executor its fencing token.

    What was sent to a life that ended may come to the next one, which knows of no stop and has
    seen no token. That one is told a higher token first, and refuses what comes under a lower one.

    Args:
        first: The token that this tenure was claimed under.
    """

    def __init__(self, first: int) -> None:
        self._first = first
        self._least = first
        self._highest = first
        self._limit = first

    def __repr__(self) -> str:
        return f"TenureTokens({self._first} to {self._highest}, at most {self._limit})"

    def allow(self, limit: int) -> None:
        """Take in up to where tokens are below those of any later tenure."""
        self._limit = max(self._limit, limit)

    def of_next(self, others: Iterable[ExecutorState]) -> int:
        """Return the token of a life that was just found.

        It is no higher than what is allowed: after a claim that no renewal followed yet, the next
        life has the one before's.

        Args:
            others: Lives with its id.
        """
        wanted = max([self._least, *(other.token + 1 for other in others)])
        token = min(wanted, max(self._limit, self._highest))
        self._highest = max(self._highest, token)
        return token

    def on_end(self, token: int) -> None:
        """Take in that a life with a token ended, whose id may come again."""
        self._least = max(self._least, token + 1)
