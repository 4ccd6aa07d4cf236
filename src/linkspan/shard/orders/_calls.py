"""Calls to executors, each life of one under a fencing token of its own."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from linkspan.errors import Fenced, Unreachable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from linkspan.shard._context import Executors
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.ownership._tokens import TenureTokens


class ExecutorCalls:
    """Makes calls to a life under its token.

    Args:
        link: Makes calls under a token.
        tokens: The tenure's tokens.
    """

    def __init__(self, link: Callable[[int], Executors], tokens: TenureTokens) -> None:
        self._link = link
        self._tokens = tokens

    def __repr__(self) -> str:
        return f"ExecutorCalls({self._tokens!r})"

    @contextmanager
    def to(self, executor: ExecutorState) -> Iterator[Executors]:
        """Enter calls to one life.

        Raises:
            Fenced: A newer owner is at work.
            Unreachable: A next life that was told a higher token of this tenure refused the call.
        """
        try:
            yield self._link(executor.token)
        except Fenced as error:
            if not self._tokens.raised_above(executor.token):
                raise
            raise Unreachable(f"{executor.executor_id}: its next life answers: {error}") from error
