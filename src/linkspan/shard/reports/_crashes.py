"""Executors that crashed, and the tasks that were there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.attempt import NEVER

if TYPE_CHECKING:
    from linkspan.shard._books import ShardBooks
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState

MOST_TOLD = 20
"""Tasks that a line on a crash names, those that began last first: what crashes an executor
does so soon, and an executor of a wide step holds more than a line can."""


class Crashes:
    """Tells which tasks were on an executor that crashed, and for how long.

    Args:
        books: The shard's state.
    """

    def __init__(self, books: ShardBooks) -> None:
        self._books = books

    def __repr__(self) -> str:
        return f"Crashes({self._books!r})"

    def on_gone(self, executor: ExecutorState, now: float, proof: str) -> None:
        """Take in that an incarnation ended; its attempts are still on the books."""
        if not executor.attempts or executor.draining:
            return
        fell_at = now if executor.silent_since is None else executor.silent_since
        by_age = sorted(executor.attempts.values(), key=lambda a: worked_s(a, fell_at))
        self._books.log(
            Event.EXECUTOR_CRASHED,
            executor=executor.executor_id,
            address=executor.record.address,
            proof=proof,
            fell_s=round(now - fell_at, 3),
            runs=len(by_age),
            tasks={_name(a): round(worked_s(a, fell_at), 3) for a in by_age[:MOST_TOLD]},
        )


def worked_s(attempt: Attempt, fell_at: float) -> float:
    """Return how long a run was on its executor when that fell, in seconds.

    A start that was not answered may have begun when it was ordered.
    """
    began = attempt.placed_at if attempt.confirmed_at == NEVER else attempt.confirmed_at
    return max(fell_at - began, 0.0)


def _name(attempt: Attempt) -> str:
    task = attempt.task.name
    return f"{task.job_id}.{task.repetition}.{task.step}.{task.index}/{attempt.run}"
