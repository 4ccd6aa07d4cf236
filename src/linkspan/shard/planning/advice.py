"""Tickets of a queue's placement policy, which an outside service decides.

A queue may have a policy that lets only some executors run a step. Only the policy's
service knows which; its answer for a step does not change, but each ticket it gives
holds for a while. So refusals are kept for good, and tickets are asked for again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.step_run import StepRun

MAX_ASKED = 30
"""Executors named in one call. Each costs the service time, and objectives allow for one
call with as many a step."""

USED_UP_S = 0.3
"""Time before its end from which a ticket is not used: a start takes tens of milliseconds."""

RETRY_S = 0.2
"""Pause after a call that was refused or not answered: the service takes one call of a
host at a time, so a second one at once would only wait."""


class Advice(NamedTuple):
    """The service's answer.

    Attributes:
        tickets: Tickets by executor; those left out may not run the step.
        valid_s: How long the tickets hold, 0 if the answer does not say.
    """

    tickets: dict[str, str]
    valid_s: float


class PolicyService(Protocol):
    """The service that decides."""

    async def advise(self, step: StepRun, executor_ids: tuple[str, ...]) -> Advice:
        """Return which executors may run a step.

        Raises:
            Unreachable: No answer, or a refusal.
        """


class AdviceCall(NamedTuple):
    """A call to make."""

    step: StepRun
    executor_ids: tuple[str, ...]


class _Ticket(NamedTuple):
    text: str
    until: float


@dataclass(slots=True)
class _StepAdvice:
    """What is known for one step.

    Attributes:
        tickets: Tickets by executor.
        refused: Executors that may not run it; final.
        wanted: Executors to ask for, in order.
    """

    tickets: dict[str, _Ticket] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    wanted: dict[str, None] = field(default_factory=dict)


class AdviceCache:
    """Tickets that a shard's owner holds, and those that it needs."""

    def __init__(self) -> None:
        self._steps: dict[StepRun, _StepAdvice] = {}
        self._not_before = float("-inf")

    def __repr__(self) -> str:
        return f"AdviceCache({len(self._steps)} steps)"

    def ticket(self, step: StepRun, executor_id: str, now: float) -> str | None:
        """Return a ticket that still holds, ``None`` without one."""
        known = self._steps.get(step)
        ticket = known.tickets.get(executor_id) if known else None
        return ticket.text if ticket and ticket.until - USED_UP_S > now else None

    def want(self, step: StepRun, executor_ids: Iterable[str], now: float) -> None:
        """Have tickets asked for where there are none, the best executors first."""
        known = self._steps.setdefault(step, _StepAdvice())
        for executor_id in executor_ids:
            if executor_id in known.refused or self.ticket(step, executor_id, now) is not None:
                continue
            known.wanted[executor_id] = None

    def drop(self, step: StepRun, executor_id: str) -> None:
        """Take in that an executor did not accept a ticket."""
        known = self._steps.get(step)
        if known:
            known.tickets.pop(executor_id, None)

    def next_call(self, now: float) -> AdviceCall | None:
        """Return the call to make now, if any."""
        if now < self._not_before:
            return None
        for step, known in list(self._steps.items()):
            if step.run.job.closing or step.remaining_tasks == 0:
                del self._steps[step]
            elif known.wanted:
                return AdviceCall(step, tuple(known.wanted)[:MAX_ASKED])
        return None

    def on_advice(self, call: AdviceCall, advice: Advice, *, asked: float, valid_s: float) -> None:
        """Take in an answer.

        Args:
            call: The call.
            advice: The answer.
            asked: Steady time at which the call was sent: tickets count from no earlier.
            valid_s: How long tickets hold where the answer does not say.
        """
        known = self._steps.get(call.step)
        if known is None:
            return
        until = asked + (advice.valid_s or valid_s)
        for executor_id in call.executor_ids:
            known.wanted.pop(executor_id, None)
            text = advice.tickets.get(executor_id)
            if text is None:
                known.refused.add(executor_id)
            else:
                known.tickets[executor_id] = _Ticket(text, until)

    def on_failed(self, call: AdviceCall, now: float) -> None:
        """Take in that a call was refused or not answered: other steps come first now."""
        self._not_before = now + RETRY_S
        known = self._steps.pop(call.step, None)
        if known:
            self._steps[call.step] = known

    def forget(self, step: StepRun) -> None:
        """Forget a step that this shard looks after no more."""
        self._steps.pop(step, None)
