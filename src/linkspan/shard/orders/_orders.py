"""State changes for orders to executors and for their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.attempt import FULL_PACE, Attempt, Phase
from linkspan.shard.messages import PaceOrder, StartOrder, StartOutcome
from linkspan.shard.reports.health import UNHEALTHY_QUARANTINE_S

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import StartAnswer, StopOrder
    from linkspan.shard.task import Task

STOP_RESEND_S = 0.5
"""Time after which a stop is sent again if no report contains the run's end."""

REFUSED_RETRY_S = 0.05
"""Delay before a start that was refused for lack of capacity is tried again. Within this time the
executor's next report shows its free capacity."""

MAX_ANSWER_AGE_S = 0.25
"""Limits the age of an executor's last answer for a start to follow it immediately. In so short a
time, few executors crash by themselves."""

MAX_START_DELAY_S = 12.0
"""Limits how long after an unanswered start the executor may still carry it out."""

MAX_REFUSED_RETRY_S = 0.4
"""Limits the delay of a retry, which doubles with each refusal in a row. A heartbeat, after which
an executor's entry shows its reduced capacity, is not much longer, and short tasks must not wait
more."""


class Orders:
    """Issues starts, stops and paces, and applies the answers to them.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def __repr__(self) -> str:
        return f"Orders({self._state!r})"

    def place(
        self,
        task: Task,
        executor: ExecutorState,
        now: float,
        *,
        ticket: str = "",
        run: int | None = None,
        speculative: bool = False,
        pace: int = FULL_PACE,
    ) -> Attempt:
        """Order the start of a task on an executor."""
        run_number = task.next_run if run is None else run
        self._state.start_counts.add(task)
        attempt = Attempt(
            task, run_number, executor.executor_id, Phase.STARTING, now, speculative=speculative
        )
        attempt.pace = pace
        attempt.ticket = ticket
        task.next_run = run_number + 1
        self._state.attach(executor, attempt)
        self._state.mark_dirty(task.step.run)
        self._state.mark_start_ordered(task.step.run.job)
        self._state.send_start(attempt)
        return attempt

    def unplace(self, attempt: Attempt) -> None:
        """Undo a placement whose order has not been sent."""
        self._state.detach(attempt)
        attempt.task.next_run = attempt.run

    def waiting_time_s(self, order: StartOrder, now: float) -> float:
        """Return how long a start's task has been waiting, in seconds."""
        task = self._state.find_task(order.task)
        return max(now - task.ready_since, 0.0) if task else 0.0

    def on_start_sent(self, order: StartOrder, now: float) -> None:
        """Handle a start that is about to be sent."""
        attempt = self._state.find_attempt(order.task, order.run)
        executor = self._state.executors.get(order.executor_id)
        if attempt is None or executor is None:
            return
        attempt.sent_at = now
        executor.starts_sent += 1
        answered = now - executor.alive_at <= MAX_ANSWER_AGE_S
        attempt.follows_answer = attempt.task.needs_isolation and answered

    def on_started(self, order: StartOrder, answer: StartAnswer, now: float) -> None:
        """Apply an executor's answer to a start."""
        called = self._state.executors.get(order.executor_id)
        if called:
            called.start_answered_at = now
        attempt = self._state.find_attempt(order.task, order.run)
        executor = self._state.executors.get(attempt.executor_id) if attempt else None
        if attempt is None or executor is None:
            return
        if answer.outcome is StartOutcome.STARTED:
            attempt.task.refusals = 0
            executor.refusals.on_accepted(attempt.task.step.spec)
            self._state.mark_begun(attempt.task.step.run.job)
            if attempt.phase in (Phase.STARTING, Phase.DOUBT):
                attempt.confirm(now)
                attempt.carried_over = False
                self._state.speed_evidence.on_started(executor, attempt, answer.clock_s)
                self._record_confirmation(attempt)
                if attempt.pace < FULL_PACE:
                    # Every run starts at full speed.
                    self.pace(attempt, attempt.pace, now)
            return
        reason = answer.outcome.value
        self._state.log_run(
            Event.START_REFUSED, order.executor_id, order.task, order.run, reason=reason
        )
        if answer.outcome is StartOutcome.NO_ROOM:
            executor.refusals.on_refused(attempt.task.step.spec, now)
        if answer.outcome is StartOutcome.UNHEALTHY:
            executor.quarantined_until = max(
                executor.quarantined_until, now + UNHEALTHY_QUARANTINE_S
            )
        if answer.outcome is StartOutcome.INVALID:
            attempt.task.avoided_executors.add(order.executor_id)
        if answer.outcome is StartOutcome.NO_TICKET:
            self._state.advice.discard_ticket(attempt.task.step, order.executor_id)
        attempt.task.not_before = now + _retry_delay_s(attempt.task.refusals)
        attempt.task.refusals += 1
        if attempt.start_may_arrive_until > now:
            # An earlier order to start the same run may still be carried out.
            self._state.order_stop(attempt, now)
        else:
            self._state.close_attempt(attempt, now)

    def _record_confirmation(self, attempt: Attempt) -> None:
        """Rewrite a run's record after its start was confirmed, without urgency.

        The previous record holds the start as unanswered. Most short runs end before the new record
        is written, and their end is recorded in any case.
        """
        run = attempt.task.step.run
        if not self._state.is_dirty(run):
            # The record was written between the start and its answer.
            self._state.mark_dirty(run, urgent=False)

    def on_start_unanswered(self, order: StartOrder, now: float) -> None:
        """Handle a start without an answer: the executor may still carry it out."""
        attempt = self._state.find_attempt(order.task, order.run)
        if attempt is None:
            return
        attempt.start_may_arrive_until = now + MAX_START_DELAY_S
        if attempt.phase is not Phase.STARTING:
            return
        attempt.phase = Phase.DOUBT
        self._state.executors_to_poll.add(attempt.executor_id)
        self._state.log_run(Event.START_IN_DOUBT, order.executor_id, order.task, order.run)

    def on_pace_unknown(self, order: PaceOrder) -> None:
        """Handle a pace order that an executor may not have applied: the pace is set again."""
        attempt = self._state.find_attempt(order.task, order.run)
        if attempt:
            attempt.pace_confirmed = False

    def on_start_withheld(self, order: StartOrder) -> None:
        """Keep a task from being placed until its failed runs are on record."""
        task = self._state.find_task(order.task)
        if task is None:
            return
        for member in task.step.tasks if task.step.spec.gang else (task,):
            member.withheld_version = member.failed_version
        self._state.log_run(
            Event.START_WITHHELD, order.executor_id, order.task, order.run, failures=task.failures
        )

    def on_start_unsent(self, order: StartOrder, now: float) -> None:
        """Handle a start that was certainly not sent."""
        attempt = self._state.find_attempt(order.task, order.run)
        if attempt is None or attempt.phase is not Phase.STARTING:
            return
        attempt.follows_answer = False
        if attempt.start_may_arrive_until > now:
            attempt.phase = Phase.DOUBT
        else:
            self._state.close_attempt(attempt, now)

    def on_stopped(self, order: StopOrder, taken: bool, now: float) -> None:
        """Apply an executor's answer to a stop.

        After an accepted stop the executor never starts the run if it is not there yet. A run that
        is there ends within the stop time and then appears as an end in a report.
        """
        attempt = self._state.find_attempt(order.task, order.run)
        if attempt is None or not taken or attempt.executor_id != order.executor_id:
            # The executor's next incarnation needs a stop of its own.
            return
        if attempt.stop_taken_at is None:
            # The next report shows whether the run is there: as running or as ended.
            attempt.stop_taken_at = now
            self._state.executors_to_poll.add(order.executor_id)

    def tick(self, now: float) -> None:
        """Resend stops, poll executors with unanswered starts, and close finished jobs."""
        for executor in self._state.executors.values():
            for attempt in executor.attempts.values():
                if (
                    attempt.phase is Phase.STOPPING
                    and now - attempt.stop_sent_at >= STOP_RESEND_S
                    and executor.silent_since is None
                ):
                    self._state.send_stop(attempt, now)
                elif (
                    attempt.phase is Phase.DOUBT
                    and executor.rostered
                    and executor.silent_since is None
                ):
                    self._state.executors_to_poll.add(executor.executor_id)
        for job in list(self._state.jobs.values()):
            if job.closing:
                for attempt in job.attempts():
                    if attempt.phase is not Phase.STOPPING:
                        self._state.order_stop(attempt, now)
                self._state.remove_if_idle(job)

    def stop(self, attempt: Attempt, now: float, *, reason: str) -> None:
        """Stop an attempt so that its task continues on another executor."""
        task, run = attempt.key
        self._state.log_run(Event.RUN_MOVED, attempt.executor_id, task, run, reason=reason)
        attempt.moved = True
        self._state.order_stop(attempt, now)

    def pace(self, attempt: Attempt, percent: int, now: float) -> None:
        """Set a run's pace, in percent of full speed."""
        attempt.set_pace(percent, now)
        self._state.orders.append(
            PaceOrder(attempt.executor_id, attempt.task.name, attempt.run, percent)
        )


def _retry_delay_s(refusals: int) -> float:
    """Return the delay after a refused start, in seconds.

    Args:
        refusals: Number of refused starts of the task in a row before this one.

    Example:
        >>> [_retry_delay_s(refusals) for refusals in (0, 1, 2, 3, 400)]
        [0.05, 0.1, 0.2, 0.4, 0.4]
    """
    doubled = REFUSED_RETRY_S * (1 << min(refusals, 8))
    return min(doubled, MAX_REFUSED_RETRY_S)
