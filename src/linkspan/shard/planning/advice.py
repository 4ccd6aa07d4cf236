"""Tickets of a queue's placement policy, which an external service issues.

A queue may have a policy that lets only some executors run a step. Only the policy's service knows
which ones. Its decision for a step is final, but each ticket expires after a while: so refusals are
kept for good, and tickets are requested again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.step_run import StepRun

MAX_EXECUTORS_PER_CALL = 30
"""Limits the executors in one call. Each costs the service time, and objectives allow for one call
with this many executors for each step."""

MIN_REMAINING_VALIDITY_S = 0.3
"""Minimum of remaining validity with which a ticket is used: a start takes tens of milliseconds."""

ADVICE_RETRY_S = 0.2
"""Delay after a call that was refused or not answered. The service processes one call of a host at
a time, so an immediate second call would only wait."""


class Advice(NamedTuple):
    """Answer of the policy service.

    Attributes:
        tickets: Tickets by executor; the executors left out may not run the step.
        valid_s: Validity of the tickets in seconds, 0 if the answer does not contain it.
    """

    tickets: dict[str, str]
    valid_s: float


class PolicyService(Protocol):
    """External service that decides which executors may run a step."""

    async def advise(self, step: StepRun, executor_ids: tuple[str, ...]) -> Advice:
        """Return the tickets of a step for the given executors.

        Raises:
            Unreachable: The service did not answer, or refused the call.
        """


class AdviceCall(NamedTuple):
    """A call to the policy service."""

    step: StepRun
    executor_ids: tuple[str, ...]


class _Ticket(NamedTuple):
    text: str
    expires_at: float


@dataclass(slots=True)
class _StepAdvice:
    """Tickets and refusals of one step.

    Attributes:
        tickets: Tickets by executor.
        refused: Executors that may not run the step; final.
        wanted: Executors to request tickets for, in order.
    """

    tickets: dict[str, _Ticket] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    wanted: dict[str, None] = field(default_factory=dict)


class AdviceCache:
    """Caches the tickets of a shard's steps and tracks which ones to request."""

    def __init__(self) -> None:
        self._steps: dict[StepRun, _StepAdvice] = {}
        self._not_before = float("-inf")

    def __repr__(self) -> str:
        return f"AdviceCache({len(self._steps)} steps)"

    def ticket(self, step: StepRun, executor_id: str, now: float) -> str | None:
        """Return a ticket that is still valid, ``None`` if there is none."""
        known = self._steps.get(step)
        ticket = known.tickets.get(executor_id) if known else None
        return (
            ticket.text if ticket and ticket.expires_at - MIN_REMAINING_VALIDITY_S > now else None
        )

    def request_tickets(self, step: StepRun, executor_ids: Iterable[str], now: float) -> None:
        """Request tickets for executors without a valid one, the best executors first."""
        known = self._steps.setdefault(step, _StepAdvice())
        for executor_id in executor_ids:
            if executor_id in known.refused or self.ticket(step, executor_id, now) is not None:
                continue
            known.wanted[executor_id] = None

    def discard_ticket(self, step: StepRun, executor_id: str) -> None:
        """Discard a ticket that an executor did not accept."""
        known = self._steps.get(step)
        if known:
            known.tickets.pop(executor_id, None)

    def next_call(self, now: float) -> AdviceCall | None:
        """Return the call to make now, ``None`` if none is due."""
        if now < self._not_before:
            return None
        for step, known in list(self._steps.items()):
            if step.run.job.closing or step.remaining_tasks == 0:
                del self._steps[step]
            elif known.wanted:
                return AdviceCall(step, tuple(known.wanted)[:MAX_EXECUTORS_PER_CALL])
        return None

    def on_advice(
        self, call: AdviceCall, advice: Advice, *, sent_at: float, valid_s: float
    ) -> None:
        """Apply an answer of the service.

        Args:
            call: The call.
            advice: The answer.
            sent_at: Steady time when the call was sent, from which the tickets' validity is
                counted.
            valid_s: Validity of tickets if the answer does not contain it, in seconds.
        """
        known = self._steps.get(call.step)
        if known is None:
            return
        expires_at = sent_at + (advice.valid_s or valid_s)
        for executor_id in call.executor_ids:
            known.wanted.pop(executor_id, None)
            text = advice.tickets.get(executor_id)
            if text is None:
                known.refused.add(executor_id)
            else:
                known.tickets[executor_id] = _Ticket(text, expires_at)
        self._move_to_end(call.step)

    def on_failed(self, call: AdviceCall, now: float) -> None:
        """Handle a call that was refused or not answered: other steps come first after a delay."""
        self._not_before = now + ADVICE_RETRY_S
        self._move_to_end(call.step)

    def _move_to_end(self, step: StepRun) -> None:
        """Let the next calls be for other steps, so that no step keeps the others waiting."""
        known = self._steps.pop(step, None)
        if known:
            self._steps[step] = known

    def remove_step(self, step: StepRun) -> None:
        """Remove a step that this shard no longer manages."""
        self._steps.pop(step, None)
