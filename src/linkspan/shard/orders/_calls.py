"""Calls to executors, each life of one under a fencing token of its own."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from linkspan.errors import Fenced, Unreachable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from linkspan.shard._context import Executors
    from linkspan.shard.executor import ExecutorState


class ExecutorCalls:
    """Makes calls to a life under its token.

    Args:
        link: Makes calls under a token.
        outdated: Whether a life's token may be too low by this tenure's own doing.
    """

    def __init__(
        self, link: Callable[[int], Executors], outdated: Callable[[ExecutorState], bool]
    ) -> None:
        self._link = link
        self._outdated = outdated

    def __repr__(self) -> str:
        return f"ExecutorCalls({self._link!r})"

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
            if not self._outdated(executor):
                raise
            raise Unreachable(f"{executor.executor_id}: its next life answers: {error}") from error
