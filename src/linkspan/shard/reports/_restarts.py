"""Tracks executor restarts: incarnations that follow one another under one executor id."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard._log_rate_limiter import LogRateLimiter
from linkspan.shard.attempt import NEVER, Attempt, Phase
from linkspan.shard.executor import ExecutorState
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.leases import next_incarnation_lease_expiry

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.messages import ExecutorReport
    from linkspan.shard.reports._abandoned_starts import AbandonedStarts
    from linkspan.shard.reports._crashes import CrashTracker

NEXT_INCARNATION_PROOF = "its next incarnation answers"
"""Evidence, in the log, for the end of an incarnation whose id another incarnation answers
under."""

MAX_IGNORED_REPORT_LINES_PER_S = 5
"""Log lines per second on ignored reports; an executor is polled some ten times per second."""


class RestartTracker:
    """Ends replaced incarnations and carries over the runs that the next one may have.

    Start times only distinguish incarnations. An incarnation is newer than another one if it
    answered a request that was sent after the other one's answer was read.

    Args:
        state: The shard's state.
        crashes: Records crashes.
        abandoned: Abandons starts that a next incarnation may carry out.
    """

    def __init__(
        self, state: ShardState, crashes: CrashTracker, abandoned: AbandonedStarts
    ) -> None:
        self._state = state
        self._crashes = crashes
        self._abandoned = abandoned
        self._ended_at: dict[str, float] = {}
        self._ignored_reports = LogRateLimiter(MAX_IGNORED_REPORT_LINES_PER_S)

    def __repr__(self) -> str:
        return f"RestartTracker({len(self._ended_at)} incarnations ended)"

    def has_ended(self, executor_id: str) -> bool:
        """Whether an incarnation is known to have ended."""
        return executor_id in self._ended_at

    def end(self, executor: ExecutorState, now: float) -> None:
        """Remove an ended incarnation from the state; the caller resolves its attempts."""
        self._state.remove_executor(executor.executor_id)
        if not executor.is_placeholder:
            self._ended_at[executor.executor_id] = now
        self._state.resolve_inherited(executor.executor_id, "gone")
        self._state.health.remove(executor.executor_id)

    def match_report(
        self, executor_id: str, report: ExecutorReport, *, asked: float, now: float
    ) -> ExecutorState | None:
        """Return the incarnation that sent a report, or ``None`` if the report must be ignored.

        Earlier incarnations of its id have then ended. Their attempts that may be at the reporting
        incarnation are carried over to it.

        Args:
            executor_id: The incarnation that was polled.
            report: The answer.
            asked: Steady time at which the poll was sent.
            now: Steady time of the answer.
        """
        name = reporting_incarnation(executor_id, report)
        incarnations = self._state.incarnations_by_id.get(Incarnation.of(name).executor_id, {})
        others = [e for e in incarnations.values() if e.executor_id != name]
        if asked <= max([self._ended_at.get(name, NEVER), *(e.reported_at for e in others)]):
            # The report may be from an incarnation that ended while the answer was in transit.
            self.log_ignored_report(
                name, "another incarnation of its id answered after the request was sent", now
            )
            return None
        executor = self._state.executors.get(name)
        if executor is None:
            known = self._state.executors.get(executor_id) or next(iter(others), None)
            if known is None:
                return None
            executor = self._add_incarnation(known, name)
        for previous in others:
            self._end_previous(previous, executor, report, asked, now)
        return executor

    def on_incarnation_found(
        self, executor_id: str, name: str, *, asked: float, now: float
    ) -> None:
        """Add an incarnation that answered in place of another, unless it had ended already."""
        if asked <= self._ended_at.get(name, NEVER):
            self.log_ignored_report(
                name, "another incarnation of its id answered after the request was sent", now
            )
            return
        known = self._state.executors.get(executor_id)
        found = self._state.executors.get(name)
        if known and found:
            # It has seen the token of this call and refuses calls under a lower one.
            found.token = max(found.token, known.token)
        elif known:
            self._add_incarnation(known, name)

    def carry_over_to_next(
        self, executor: ExecutorState, uncertain: list[Attempt], now: float
    ) -> None:
        """Keep attempts for the next incarnation until it answers or its leases expire."""
        name = Incarnation.of(executor.executor_id).executor_id
        placeholder = self._state.executors.get(name)
        if placeholder is None:
            placeholder = self._add_incarnation(executor, name, is_placeholder=True)
        expires_at = next_incarnation_lease_expiry(now, self._state.bounds.max_lease_s)
        placeholder.leases_expire_at = max(
            expires_at,
            self._abandoned.late_until(name),
            *(a.start_may_arrive_until for a in uncertain),
        )
        for attempt in uncertain:
            self._move_to_next(attempt, executor, placeholder, now)
            self._abandoned.on_bound(attempt, now)

    def log_ignored_report(self, executor_id: str, reason: str, now: float) -> None:
        """Count and log a report that is ignored."""
        self._state.count("reports_passed_over")
        left_out = self._ignored_reports.admit(now)
        if left_out is not None:
            self._state.log(
                Event.REPORT_PASSED_OVER, executor=executor_id, reason=reason, left_out=left_out
            )

    def _add_incarnation(
        self, known: ExecutorState, name: str, *, is_placeholder: bool = False
    ) -> ExecutorState:
        """Add another incarnation of a known executor; its own registry entry follows later."""
        executor = ExecutorState(
            replace(known.record, executor_id=name, is_placeholder=is_placeholder)
        )
        executor.listed = False
        self._ended_at.pop(name, None)
        self._state.add_executor(executor)
        if is_placeholder:
            executor.address_confirmed = known.address_confirmed
            self._state.roster_names.add(name)
        else:
            self._state.confirm_address(executor)
        return executor

    def _end_previous(
        self,
        previous: ExecutorState,
        executor: ExecutorState,
        report: ExecutorReport,
        asked: float,
        now: float,
    ) -> None:
        """End a replaced incarnation and carry over the runs that its successor may have.

        The successor's report shows which of them it has.
        """
        runs = len(previous.attempts)
        listed = report.keys
        for attempt in list(previous.attempts.values()):
            if attempt.key in listed:
                # A start sent to the previous incarnation arrived at this one.
                self._move_to_next(attempt, previous, executor, now)
        if _was_observed(previous):
            self._crashes.on_incarnation_ended(previous, now, NEXT_INCARNATION_PROOF)
            self._state.count("restarts")
        uncertain = [
            a
            for a in previous.attempts.values()
            if a.start_unanswered
            or a.start_may_arrive_until > now
            or _may_be_unlisted(a, report, asked)
        ]
        for attempt in uncertain:
            self._move_to_next(attempt, previous, executor, now)
        self.end(previous, now)
        lost = list(previous.attempts.values())
        for attempt in lost:
            self._state.close_attempt(attempt, now)
        self._state.log(
            Event.EXECUTOR_RESTARTED,
            executor=executor.executor_id,
            before=previous.executor_id,
            runs=runs,
            lost=len(lost),
            unsure=len(uncertain),
            lists=len(report.running),
            ended=len(report.ended),
            silent_s=round(now - (previous.silent_since or now), 3),
        )

    def _move_to_next(
        self, attempt: Attempt, previous: ExecutorState, executor: ExecutorState, now: float
    ) -> None:
        """Move an attempt to the next incarnation, which received no stop and no pace for it."""
        previous.remove(attempt)
        attempt.executor_id = executor.executor_id
        attempt.answered_unlisted = attempt.confirmed_at != NEVER and not attempt.listed
        attempt.refused_for_good = False
        attempt.listed = False
        attempt.carried_over = True
        attempt.pace_confirmed = False
        attempt.stop_taken_at = None
        executor.add(attempt)
        # The roster will not name the previous incarnation any more.
        self._state.mark_dirty(attempt.task.step.run)
        if attempt.start_may_arrive_until > now and attempt.phase is Phase.RUNNING:
            # The run ended with the previous incarnation, and a start may still arrive at the next
            # one.
            attempt.phase = Phase.DOUBT
            attempt.task.waiting_since = now
        elif attempt.phase is Phase.STOPPING:
            self._state.send_stop(attempt, now)


def reporting_incarnation(executor_id: str, report: ExecutorReport) -> str:
    """Return the name of the incarnation that sent a report."""
    asked = Incarnation.of(executor_id)
    started_at_ms = asked.started_at_ms if report.started_at_ms is None else report.started_at_ms
    return Incarnation(asked.executor_id, started_at_ms).name


def uncertain_attempts(executor: ExecutorState, since: float) -> list[Attempt]:
    """Return the attempts that an executor's next incarnation may run or may still receive.

    Args:
        executor: An incarnation that ended.
        since: Steady time up to which every answer certainly came from this incarnation.
    """
    if Incarnation.of(executor.executor_id).started_at_ms is None and not executor.is_placeholder:
        # Executors that report no start time do not restart under the same id.
        return []
    return [
        a
        for a in executor.attempts.values()
        if a.start_unanswered
        or a.start_may_arrive_until > since
        or (not a.listed and a.confirmed_at >= since)
        # An incarnation that never answered has not seen this tenure's fencing token, which makes
        # it refuse a former owner's starts.
        or (executor.is_placeholder and a.phase is Phase.INHERITED)
    ]


def _was_observed(previous: ExecutorState) -> bool:
    """Whether an incarnation certainly existed, and is not known only from a late registry entry.

    A record without a start time may belong to the incarnation that now answers.
    """
    started_at_ms = Incarnation.of(previous.executor_id).started_at_ms
    had_runs = bool(previous.attempts or previous.expired_attempts)
    return started_at_ms is not None and (previous.clock is not None or had_runs)


def _may_be_unlisted(attempt: Attempt, report: ExecutorReport, asked: float) -> bool:
    """Whether the next incarnation may have a run that its report omits."""
    if attempt.listed:
        return False
    return not report.is_complete or attempt.confirmed_at >= asked
