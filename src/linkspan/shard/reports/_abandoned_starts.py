"""Abandons unanswered starts of standing tasks that only a next incarnation could carry out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.attempt import NEVER, Phase
from linkspan.shard.incarnation import Incarnation

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.task import Task

MAX_BOUND_S = 4.5
"""Time without a run after which a standing task no longer waits for an unanswered start. The task
counts as lost after 9 s, and a start elsewhere may be unanswered, too."""

MIN_UNANSWERED_S = 1.0
"""Time for which an executor must have left close polls unanswered before it counts as not being
back: executors answer within tens of milliseconds, or a few tenths of a second on a slow link."""

MAX_OBSERVED_AGE_S = 0.25
"""Limits the age of an executor's last answer that shows that it has not restarted since."""

MAX_POLL_GAP_S = 0.2
"""Longest gap in close polls. After a longer one, as in a freeze of this process, an executor may
have restarted unseen."""


class AbandonedStarts:
    """Decides when a standing task stops waiting for an unanswered start, and what is polled then.

    The start may be carried out seconds after it was sent, by whichever incarnation has the
    executor's id then. An incarnation refuses it for good once it accepted a stop or was called
    under its own fencing token. So a second run needs a restart under the id, and the order's
    arrival before the first call to that incarnation. Close polls make that time short.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._bound: dict[Attempt, None] = {}
        self._late_until: dict[str, float] = {}
        self._polled_since: dict[str, float] = {}
        self._polled_at = NEVER

    def __repr__(self) -> str:
        return f"AbandonedStarts({len(self._bound)} bound, {len(self._late_until)} abandoned)"

    def late_until(self, executor_id: str) -> float:
        """Return the steady time until which an abandoned start may reach an executor's id.

        Args:
            executor_id: Name of any incarnation of the executor.
        """
        return self._late_until.get(Incarnation.of(executor_id).executor_id, NEVER)

    def any_late(self, now: float) -> bool:
        """Return whether an abandoned start may still arrive."""
        return any(until > now for until in self._late_until.values())

    def on_bound(self, attempt: Attempt, now: float) -> None:
        """Handle an attempt whose start only a next incarnation could still carry out."""
        if not attempt.task.step.spec.standing:
            return
        if attempt.phase is not Phase.RUNNING and attempt.task.waiting_since == NEVER:
            attempt.task.waiting_since = now
        self._bound[attempt] = None
        self._abandon_if_due(attempt, now)

    def stops_waiting(self, attempt: Attempt, now: float) -> bool:
        """Return whether an unanswered start is to be stopped instead of sent again.

        One lost answer is no reason: a start that is sent again usually begins at once.
        """
        standing = attempt.task.step.spec.standing
        return standing and attempt.starts > 1 and _waited_s(attempt.task, now) >= MAX_BOUND_S

    def tick(self, now: float) -> None:
        """Abandon the starts that have become due."""
        for attempt in list(self._bound):
            if self._is_resolved(attempt, now):
                del self._bound[attempt]
            else:
                self._abandon_if_due(attempt, now)
        self._late_until = {name: t for name, t in self._late_until.items() if t > now}

    def executors_to_poll(self, now: float) -> list[ExecutorState]:
        """Return the executors to poll now, and record that they are polled."""
        executors = {
            self._state.executors[attempt.executor_id]: None
            for attempt in self._bound
            if not self._is_resolved(attempt, now)
            and _waited_s(attempt.task, now) >= MAX_BOUND_S - MIN_UNANSWERED_S
        }
        for executor_id, until in self._late_until.items():
            if until > now:
                incarnations = self._state.incarnations_by_id.get(executor_id, {})
                executors |= dict.fromkeys(incarnations.values())
        uninterrupted = now - self._polled_at <= MAX_POLL_GAP_S
        since = self._polled_since if uninterrupted else {}
        names = [e.executor_id for e in executors]
        self._polled_since = {name: since.get(name, now) for name in names}
        self._polled_at = now
        return list(executors)

    def _is_resolved(self, attempt: Attempt, now: float) -> bool:
        """Whether an attempt no longer binds its task to an executor."""
        executor = self._state.executors.get(attempt.executor_id)
        if executor is None or executor.attempts.get(attempt.key) is not attempt:
            return True
        if attempt.phase is Phase.STARTING:
            return False
        return attempt.phase is Phase.RUNNING or attempt.start_may_arrive_until <= now

    def _abandon_if_due(self, attempt: Attempt, now: float) -> None:
        executor = self._state.executors[attempt.executor_id]
        if attempt.task.step.run.job.closing or _waited_s(attempt.task, now) < MAX_BOUND_S:
            return
        if not (_is_only_for_next(attempt, executor) and self._is_observed(executor, now)):
            return
        executor_id = Incarnation.of(executor.executor_id).executor_id
        until = max(attempt.start_may_arrive_until, self._late_until.get(executor_id, NEVER))
        self._late_until[executor_id] = until
        self._state.log_run(
            Event.START_ABANDONED,
            executor.executor_id,
            attempt.task.name,
            attempt.run,
            waited_s=round(_waited_s(attempt.task, now), 2),
            late_for_s=round(attempt.start_may_arrive_until - now, 2),
            refused=attempt.refused_for_good,
        )
        self._bound.pop(attempt, None)
        executor.refusals.on_refused(attempt.task.step.spec, now)
        self._state.unrecorded_starts.note(attempt.task, inherited=False)
        self._state.close_attempt(attempt, now)

    def _is_observed(self, executor: ExecutorState, now: float) -> bool:
        """Whether a restart of an executor would have been noticed."""
        if now - executor.alive_at <= MAX_OBSERVED_AGE_S:
            return True
        since = self._polled_since.get(executor.executor_id, now)
        polled = now - self._polled_at <= MAX_POLL_GAP_S and now - since >= MIN_UNANSWERED_S
        return polled and executor.alive_at < since


def _waited_s(task: Task, now: float) -> float:
    """Return for how long a task has been waiting for a run, in seconds."""
    return 0.0 if task.waiting_since == NEVER else now - task.waiting_since


def _is_only_for_next(attempt: Attempt, executor: ExecutorState) -> bool:
    """Whether only an incarnation that has not answered yet could carry out an attempt's start."""
    if executor.is_placeholder:
        waiting = attempt.phase in (Phase.DOUBT, Phase.STOPPING)
        return waiting and not attempt.answered_unlisted
    return attempt.refused_for_good
