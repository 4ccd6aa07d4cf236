"""Calls to executors under the fencing token of each incarnation."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from linkspan.errors import Fenced, Unreachable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from linkspan.shard._context import Executors
    from linkspan.shard.executor import ExecutorState


class ExecutorCalls:
    """Makes calls to an incarnation of an executor under the incarnation's token.

    Args:
        link: Returns a client that makes calls under a token.
        token_outdated: Whether this tenure itself may have announced a higher token than the given
            one to the executor or to its next incarnation.
    """

    def __init__(
        self, link: Callable[[int], Executors], token_outdated: Callable[[ExecutorState, int], bool]
    ) -> None:
        self._link = link
        self._token_outdated = token_outdated

    def __repr__(self) -> str:
        return f"ExecutorCalls({self._link!r})"

    @contextmanager
    def to(self, executor: ExecutorState) -> Iterator[Executors]:
        """Provide a client for calls to one incarnation.

        Raises:
            Fenced: A newer owner is active.
            Unreachable: The executor or its next incarnation, which has received a higher token of
                this tenure, refused the call.
        """
        token = executor.token
        try:
            yield self._link(token)
        except Fenced as error:
            if not self._token_outdated(executor, token):
                raise
            raise Unreachable(
                f"{executor.executor_id}: it has seen a higher token of this owner: {error}"
            ) from error
