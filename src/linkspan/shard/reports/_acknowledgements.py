"""Keeps acknowledgements from discarding ends that no report has listed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.attempt import NEVER, Phase
from linkspan.shard.executor import MAX_ENDS_BEHIND_WITHHELD
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.orders._orders import MAX_START_DELAY_S

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState

MAX_ACKNOWLEDGE_DELAY_S = 0.2
"""Time after an executor's report within which its ends may be acknowledged. A later call may reach
the next incarnation, which may have carried out starts of a former owner."""


def acknowledgeable_end(executor: ExecutorState, now: float) -> int:
    """Return the number up to which an executor's ends may be acknowledged now.

    The number is 0, which acknowledges nothing, also if there is nothing new. After a silence, a
    freeze of this host or a claim, the executor must first report which incarnation it is. The
    same holds after a start was answered, as the next incarnation may have answered it.
    """
    fresh = executor.silent_since is None and now - executor.alive_at <= MAX_ACKNOWLEDGE_DELAY_S
    if not (fresh and executor.ack_pending) or executor.start_answered_at > executor.alive_at:
        return 0
    if any(attempt.phase is Phase.STARTING for attempt in executor.attempts.values()):
        return 0
    if not _must_acknowledge(executor) and any(
        _may_arrive(attempt, now) for attempt in executor.attempts.values()
    ):
        return 0
    return executor.acknowledged


def _must_acknowledge(executor: ExecutorState) -> bool:
    """Whether so many ends are unacknowledged that the executor may soon omit later ones."""
    return executor.acknowledged - executor.ack_delivered > MAX_ENDS_BEHIND_WITHHELD


def _may_arrive(attempt: Attempt, now: float) -> bool:
    """Whether a start may still arrive and its task be done at the next incarnation."""
    if attempt.task.step.spec.standing:
        return False
    return attempt.start_unanswered or attempt.start_may_arrive_until > now


@dataclass(frozen=True, slots=True, eq=False)
class Acknowledgement:
    """A poll that acknowledges ends.

    Attributes:
        executor: The incarnation that was polled.
        number: Number of the last acknowledged end.
        token: Fencing token of the poll.
        sent_at: Steady time at which the poll was sent.
        starts_before: Number of starts that had been sent to the incarnation before.
    """

    executor: ExecutorState
    number: int
    token: int
    sent_at: float
    starts_before: int

    @property
    def executor_id(self) -> str:
        """Id of the executor, which later incarnations may have, too."""
        return Incarnation.of(self.executor.executor_id).executor_id


@dataclass(frozen=True, slots=True)
class UnansweredAcknowledgement:
    """Acknowledging polls of an executor id that may still be carried out.

    Attributes:
        token: Their highest fencing token.
        until: Steady time until which they may be carried out.
    """

    token: int
    until: float


class Acknowledgements:
    """Keeps starts and acknowledging polls apart that one incarnation could both carry out.

    A poll that is delayed may be carried out by the executor's next incarnation, whose ends are
    numbered from 1 again. It then discards ends that nobody has read, and their tasks would be
    started again. So an incarnation must not take both an acknowledging poll and, before it, a
    start:

    - ends are acknowledged only once the incarnation has reported after the answers to all starts
      (:func:`acknowledgeable_end`);
    - a start waits while an acknowledging poll is open;
    - after a poll without an answer, calls carry a higher fencing token. An incarnation that takes
      a start refuses the poll from then on. Without a higher token there are no starts until the
      poll can no longer be carried out, so polls acknowledge nothing then if they can do so.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._open: dict[str, set[Acknowledgement]] = {}
        self._unanswered: dict[str, UnansweredAcknowledgement] = {}

    def __repr__(self) -> str:
        return f"Acknowledgements({len(self._open)} open, {len(self._unanswered)} unanswered)"

    def acknowledgeable_end(self, executor: ExecutorState, now: float) -> int:
        """Return the number up to which a poll of an executor acknowledges ends now, 0 for none."""
        return 0 if self.lacks_token(executor) else acknowledgeable_end(executor, now)

    def lacks_token(self, executor: ExecutorState) -> bool:
        """Return whether acknowledgements to an executor wait for a higher token.

        Without one, the loss of the answer would keep the executor from all starts for seconds,
        while a delayed acknowledgement is harmless until the executor omits ends.
        """
        if self._state.tokens.has_higher(executor.token):
            return False
        return executor.ack_pending and not _must_acknowledge(executor)

    def send(self, executor: ExecutorState, number: int, now: float) -> Acknowledgement | None:
        """Record a poll that is about to be sent; ``None`` if it acknowledges nothing."""
        if not number:
            return None
        sent = Acknowledgement(executor, number, executor.token, now, executor.starts_sent)
        self._open.setdefault(sent.executor_id, set()).add(sent)
        return sent

    def on_refused(self, sent: Acknowledgement | None) -> None:
        """Handle a poll that was certainly not carried out and never will be."""
        self._close(sent)

    def on_answered(self, sent: Acknowledgement | None, now: float, *, by: str) -> None:
        """Handle an incarnation's answer to a poll."""
        self._close(sent)
        if sent is None:
            return
        if by != sent.executor.executor_id or now - sent.sent_at > MAX_ACKNOWLEDGE_DELAY_S:
            self._log(sent, now, by=by)

    def on_unanswered(self, sent: Acknowledgement | None, now: float) -> None:
        """Handle a poll without an answer, which may still be carried out."""
        self._close(sent)
        if sent is None:
            return
        before = self._unanswered.get(sent.executor_id)
        token = max(sent.token, before.token) if before else sent.token
        unanswered = UnansweredAcknowledgement(token, now + MAX_START_DELAY_S)
        self._unanswered[sent.executor_id] = unanswered
        self._raise_tokens(sent.executor_id, unanswered)
        self._log(sent, now, by=None)

    def is_open(self, executor: ExecutorState) -> bool:
        """Return whether a start to an executor must wait for the answer to a poll."""
        return Incarnation.of(executor.executor_id).executor_id in self._open

    def prevents_starts(self, executor: ExecutorState, now: float) -> bool:
        """Return whether a poll may be carried out by an incarnation that has taken a start."""
        unanswered = self._unanswered.get(Incarnation.of(executor.executor_id).executor_id)
        if unanswered is None:
            return False
        return executor.token <= unanswered.token and now < unanswered.until

    def tick(self, now: float) -> None:
        """Raise tokens that could not be raised before, and forget polls that have expired."""
        for executor_id, unanswered in list(self._unanswered.items()):
            if unanswered.until <= now:
                del self._unanswered[executor_id]
            else:
                self._raise_tokens(executor_id, unanswered)

    def _close(self, sent: Acknowledgement | None) -> None:
        if sent is None:
            return
        polls = self._open.get(sent.executor_id, set())
        polls.discard(sent)
        if not polls:
            self._open.pop(sent.executor_id, None)

    def _raise_tokens(self, executor_id: str, unanswered: UnansweredAcknowledgement) -> None:
        """Give an executor a higher token than its unanswered polls have, if there is one."""
        for executor in self._state.incarnations_by_id.get(executor_id, {}).values():
            if executor.token <= unanswered.token:
                executor.token = self._state.tokens.next_token([executor])
            raised = executor.token > unanswered.token
            executor.no_starts_until = NEVER if raised else unanswered.until

    def _log(self, sent: Acknowledgement, now: float, *, by: str | None) -> None:
        self._state.log(
            Event.ACKNOWLEDGEMENT_DELAYED,
            executor=sent.executor.executor_id,
            answered_by=by,
            number=sent.number,
            open_s=round(now - sent.sent_at, 3),
            starts=sent.executor.starts_sent - sent.starts_before,
            token=sent.token,
            next_token=sent.executor.token,
        )
