"""Assigns the fencing tokens of a tenure: each incarnation of an executor gets a higher one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.executor import ExecutorState


class TenureTokens:
    """Assigns each incarnation of an executor its fencing token.

    An order sent to an incarnation that has ended may arrive at the next one, which knows of no
    stop and has seen no token. The next incarnation therefore first receives a higher token, and
    refuses orders under a lower one.

    Args:
        first: The token under which this tenure claimed the shard.
    """

    def __init__(self, first: int) -> None:
        self._first = first
        self._min_token = first
        self._highest_token = first
        self._token_limit = first

    def __repr__(self) -> str:
        return f"TenureTokens({self._first} to {self._highest_token}, at most {self._token_limit})"

    def raise_limit(self, limit: int) -> None:
        """Raise the limit up to which tokens are below those of any later tenure."""
        self._token_limit = max(self._token_limit, limit)

    def has_higher(self, token: int) -> bool:
        """Return whether this tenure may use a higher token than the given one now."""
        return token < max(self._token_limit, self._highest_token)

    def next_token(self, others: Iterable[ExecutorState]) -> int:
        """Return the token for an incarnation that was just found.

        The token does not exceed the allowed limit. A claim allows two tokens and each renewal at
        least one more, so that of several incarnations that end between two renewals the later ones
        get the same token.

        Args:
            others: Other incarnations of the same id.
        """
        wanted = max([self._min_token, *(other.token + 1 for other in others)])
        token = min(wanted, max(self._token_limit, self._highest_token))
        self._highest_token = max(self._highest_token, token)
        return token

    def on_incarnation_end(self, token: int) -> None:
        """Handle the end of an incarnation with this token, whose id may be used again."""
        self._min_token = max(self._min_token, token + 1)
