"""Lives of executors that follow one another under one id."""

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
    from linkspan.shard.reports._crashes import CrashTracker

ANSWERED_PROOF = "its next life answers"
"""What proves a life over whose id another one answers under."""

MAX_PASSED_OVER_LINES_PER_S = 5
"""Lines a second on reports that are passed over; an executor is asked some ten times a second."""


class RestartTracker:
    """Ends lives whose id another one answers under, and keeps what may be at the next one.

    Births only tell lives apart. Which of two is the newer is told by which request was sent
    after the other's answer was read.

    Args:
        state: The shard's state.
        crashes: Counts crashes.
    """

    def __init__(self, state: ShardState, crashes: CrashTracker) -> None:
        self._state = state
        self._crashes = crashes
        self._over: dict[str, float] = {}
        self._passed_over = LogRateLimiter(MAX_PASSED_OVER_LINES_PER_S)

    def __repr__(self) -> str:
        return f"RestartTracker({len(self._over)} lives over)"

    def is_over(self, executor_id: str) -> bool:
        """Whether a life is known to be over."""
        return executor_id in self._over

    def end(self, executor: ExecutorState, now: float) -> None:
        """Take a life off the books; what is on it stays for the caller to settle."""
        self._state.remove_executor(executor.executor_id)
        if not executor.is_placeholder:
            self._over[executor.executor_id] = now
        self._state.resolve_inherited(executor.executor_id, "gone")
        self._state.health.forget(executor.executor_id)

    def meet(
        self, executor_id: str, report: ExecutorReport, *, asked: float, now: float
    ) -> ExecutorState | None:
        """Return the life that a report is of, ``None`` if nothing is concluded from it.

        Lives before it are over then. What may be there of theirs goes on at its life.

        Args:
            executor_id: The life that was asked.
            report: The answer.
            asked: Steady time at which the question was sent.
            now: Steady time of the answer.
        """
        name = answering(executor_id, report)
        incarnations = self._state.incarnations_by_id.get(Incarnation.of(name).executor_id, {})
        others = [e for e in incarnations.values() if e.executor_id != name]
        if asked <= max([self._over.get(name, NEVER), *(e.reported_at for e in others)]):
            # It may be of a life that ended while this answer was on its way.
            self.pass_over(name, "another life of its id answered since it was asked", now)
            return None
        executor = self._state.executors.get(name)
        if executor is None:
            known = self._state.executors.get(executor_id) or next(iter(others), None)
            if known is None:
                return None
            executor = self._begin(known, name)
        for former in others:
            self._succeed(former, executor, report, asked, now)
        return executor

    def find(self, executor_id: str, name: str, *, asked: float, now: float) -> None:
        """Take in a life that answered in another one's place, unless it was known to be over."""
        if asked <= self._over.get(name, NEVER):
            self.pass_over(name, "another life of its id answered since it was asked", now)
            return
        known = self._state.executors.get(executor_id)
        if known and name not in self._state.executors:
            self._begin(known, name)

    def await_next(self, executor: ExecutorState, unsure: list[Attempt], now: float) -> None:
        """Keep what an executor's next life may carry out, until that answers or its lease ends."""
        name = Incarnation.of(executor.executor_id).executor_id
        waiting = self._state.executors.get(name)
        if waiting is None:
            waiting = self._begin(executor, name, is_placeholder=True)
        lapses_at = next_incarnation_lease_expiry(now, self._state.bounds.max_lease_s)
        waiting.leases_expire_at = max(lapses_at, *(a.start_may_arrive_until for a in unsure))
        for attempt in unsure:
            self._move(attempt, executor, waiting, now)

    def pass_over(self, executor_id: str, reason: str, now: float) -> None:
        """Tell of a report from which nothing is concluded."""
        self._state.count("reports_passed_over")
        left_out = self._passed_over.take(now)
        if left_out is not None:
            self._state.log(
                Event.REPORT_PASSED_OVER, executor=executor_id, reason=reason, left_out=left_out
            )

    def _begin(
        self, known: ExecutorState, name: str, *, is_placeholder: bool = False
    ) -> ExecutorState:
        """Take in another life of an executor that is known; its own entry follows."""
        executor = ExecutorState(
            replace(known.record, executor_id=name, is_placeholder=is_placeholder)
        )
        executor.listed = False
        self._over.pop(name, None)
        self._state.add_executor(executor)
        return executor

    def _succeed(
        self,
        former: ExecutorState,
        executor: ExecutorState,
        report: ExecutorReport,
        asked: float,
        now: float,
    ) -> None:
        """End a life that another one follows, whose report tells what it has of it."""
        runs = len(former.attempts)
        listed = report.keys
        for attempt in list(former.attempts.values()):
            if attempt.key in listed:
                # An order to the life before came to this one.
                self._move(attempt, former, executor, now)
        if _was_there(former):
            self._crashes.on_gone(former, now, ANSWERED_PROOF)
            self._state.count("restarts")
        unsure = [
            a
            for a in former.attempts.values()
            if a.unanswered or a.start_may_arrive_until > now or _may_be_unlisted(a, report, asked)
        ]
        for attempt in unsure:
            self._move(attempt, former, executor, now)
        self.end(former, now)
        lost = list(former.attempts.values())
        for attempt in lost:
            self._state.close(attempt, now)
        self._state.log(
            Event.EXECUTOR_RESTARTED,
            executor=executor.executor_id,
            before=former.executor_id,
            runs=runs,
            lost=len(lost),
            unsure=len(unsure),
            lists=len(report.running),
            ended=len(report.ended),
            silent_s=round(now - (former.silent_since or now), 3),
        )

    def _move(
        self, attempt: Attempt, former: ExecutorState, executor: ExecutorState, now: float
    ) -> None:
        """Have an attempt count at the next life, which knows no stop and no pace of before."""
        former.remove(attempt)
        attempt.executor_id = executor.executor_id
        attempt.listed = False
        attempt.carried_over = True
        attempt.pace_confirmed = False
        attempt.stop_taken_at = None
        executor.add(attempt)
        if attempt.start_may_arrive_until > now and attempt.phase is Phase.RUNNING:
            # It ended with the life that it ran on, and an order for it may come to this one.
            attempt.phase = Phase.DOUBT
        elif attempt.phase is Phase.STOPPING:
            self._state.send_stop(attempt, now)


def answering(executor_id: str, report: ExecutorReport) -> str:
    """Return the name of the life that answered."""
    asked = Incarnation.of(executor_id)
    started_at_ms = asked.started_at_ms if report.started_at_ms is None else report.started_at_ms
    return Incarnation(asked.executor_id, started_at_ms).name


def unsure_since(executor: ExecutorState, since: float) -> list[Attempt]:
    """Return attempts that an executor's next life may have, or may get.

    Args:
        executor: A life that ended.
        since: Steady time by which what was answered was answered by that life.
    """
    if Incarnation.of(executor.executor_id).started_at_ms is None and not executor.is_placeholder:
        # Where executors tell no birth, none starts again under its id.
        return []
    return [
        a
        for a in executor.attempts.values()
        if a.unanswered
        or a.start_may_arrive_until > since
        or (not a.listed and a.confirmed_at >= since)
        # A life that nobody met has not seen our token, which a former owner's start is refused by.
        or (executor.is_placeholder and a.phase is Phase.INHERITED)
    ]


def _was_there(former: ExecutorState) -> bool:
    """Whether a life is known to have been there, and not only by an entry that came late.

    A record without a birth may be of the life that answers.
    """
    started_at_ms = Incarnation.of(former.executor_id).started_at_ms
    return started_at_ms is not None and (former.clock is not None or bool(former.attempts))


def _may_be_unlisted(attempt: Attempt, report: ExecutorReport, asked: float) -> bool:
    """Whether a next life may have a run that its report leaves out."""
    if attempt.listed:
        return False
    return not report.is_complete or attempt.confirmed_at >= asked
