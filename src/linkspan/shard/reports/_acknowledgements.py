"""Decides when the ends that an executor reported may be acknowledged, and logs delayed polls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.attempt import Phase

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState

MAX_ACKNOWLEDGE_DELAY_S = 0.2
"""Time after an executor's report within which its ends may be acknowledged. A later call may reach
the next incarnation, whose ends nobody has read. That incarnation cannot have started and ended a
run of this owner so soon after the previous one's report, unless a start may still arrive there."""

SHORT_RUN_S = 0.4
"""Expected duration below which a run may start and end within ``MAX_ACKNOWLEDGE_DELAY_S``:
estimates are rough."""


def acknowledgeable_end(executor: ExecutorState, now: float) -> int:
    """Return the number up to which an executor's ends may be acknowledged now.

    The number is 0, which acknowledges nothing, also if there is nothing new. After a silence, a
    freeze of this host or a claim, the executor must first report which incarnation it is.
    """
    fresh = executor.silent_since is None and now - executor.alive_at <= MAX_ACKNOWLEDGE_DELAY_S
    if not (fresh and executor.ack_pending):
        return 0
    if any(_may_start_and_end(attempt, now) for attempt in executor.attempts.values()):
        return 0
    return executor.acknowledged


def _may_start_and_end(attempt: Attempt, now: float) -> bool:
    """Whether a start may still arrive at the executor and its run may end before the next poll."""
    if attempt.phase is Phase.STARTING:
        return True
    may_arrive = attempt.start_unanswered or attempt.start_may_arrive_until > now
    return may_arrive and attempt.task.step.expected_s < SHORT_RUN_S


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A poll that acknowledges ends.

    Attributes:
        executor: The incarnation that was polled.
        number: Number of the last acknowledged end.
        sent_at: Steady time at which the poll was sent.
        starts_before: Number of starts that had been sent to the incarnation before.
    """

    executor: ExecutorState
    number: int
    sent_at: float
    starts_before: int


class Acknowledgements:
    """Tracks the polls that acknowledge ends until they are answered.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def __repr__(self) -> str:
        return f"Acknowledgements({self._state!r})"

    def send(self, executor: ExecutorState, number: int, now: float) -> Acknowledgement | None:
        """Record a poll that is about to be sent; ``None`` if it acknowledges nothing."""
        if not number:
            return None
        return Acknowledgement(executor, number, now, executor.starts_sent)

    def on_answered(self, sent: Acknowledgement | None, now: float, *, by: str) -> None:
        """Handle an incarnation's answer to a poll."""
        if sent is None:
            return
        if by != sent.executor.executor_id or now - sent.sent_at > MAX_ACKNOWLEDGE_DELAY_S:
            self._log(sent, now, by=by)

    def on_unanswered(self, sent: Acknowledgement | None, now: float) -> None:
        """Handle a poll without an answer, which may still be carried out."""
        if sent is not None:
            self._log(sent, now, by=None)

    def _log(self, sent: Acknowledgement, now: float, *, by: str | None) -> None:
        self._state.log(
            Event.ACKNOWLEDGEMENT_DELAYED,
            executor=sent.executor.executor_id,
            answered_by=by,
            number=sent.number,
            open_s=round(now - sent.sent_at, 3),
            starts=sent.executor.starts_sent - sent.starts_before,
            token=sent.executor.token,
        )
