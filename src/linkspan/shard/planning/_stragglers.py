"""Stops runs that would end sooner on another executor."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.attempt import Phase
from linkspan.shard.planning._plan_stage import PlanStage
from linkspan.shard.planning._run_forecast import forecast

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning._run_forecast import RunForecast

STRAGGLER_FACTOR = 3.0
"""Multiple of the median of its siblings after which a run counts as a straggler. Tasks of one step
differ by a third at most on a healthy executor."""

STRAGGLER_SLACK_S = 0.5
"""Added to that bound for short tasks: about the cost of a stop and a new start."""

ESTIMATE_STRAGGLER_FACTOR = 5.0
"""Multiple of the caller's estimate after which a run counts as a straggler while fewer than two of
its siblings have ended. Estimates are wrong by a factor of two to three."""

ESTIMATE_STRAGGLER_SLACK_S = 2.0
"""Added to the bound from the estimate."""

MAX_STRAGGLER_MOVES = 2
"""Limits how often a straggling task is moved. Each move loses the work so far, and a task that is
slow on a third executor, too, is slow by itself."""

MIN_GAIN_S = 0.5
"""Minimum time by which a run must end sooner elsewhere to be moved: a move costs a stop, a start
and, without checkpoints, the work so far."""

MAX_SEARCHES_PER_PLAN = 8
"""Limits the runs for which a plan looks for an executor with room, as each search asks all
executors. The other runs follow once these have moved or ended."""


class Stragglers(PlanStage):
    """Stops runs that are expected to end later than new ones elsewhere would.

    A run on a slow executor is moved as soon as its progress shows that it would end sooner
    elsewhere. A run on an executor of ordinary speed that makes progress is long by itself and
    stays. Runs without known progress are judged by the durations of their siblings.
    """

    def add_orders(self) -> None:
        """Add the stops that are due now."""
        self._core.speed_evidence.forget(self._now)
        speeds = self._core.health.speeds
        self._move_off_slow(speeds.slow_executors())
        for executor in self._core.executors.values():
            if _keeps_runs(executor):
                continue
            for attempt in executor.duration_checked():
                if self._is_straggler(attempt):
                    self._core.speed_evidence.on_overdue(attempt, self._now)
                    self._move(attempt, "runs far longer than its siblings")

    def _move_off_slow(self, slow: list[str]) -> None:
        """Move runs off slow executors, those first that gain most."""
        found: list[tuple[float, Attempt]] = []
        for name in slow:
            executor = self._core.executors.get(name)
            if executor is None or _keeps_runs(executor):
                continue
            for attempt in executor.attempts.values():
                if _may_leave(attempt) and (expected := self._forecast(attempt)):
                    gain_s = expected.here_s - expected.elsewhere_s
                    if gain_s >= MIN_GAIN_S:
                        found.append((gain_s, attempt))
        if not found:
            return
        found.sort(key=lambda entry: -entry[0])
        others = [e for e in self._view.usable() if e.executor_id not in slow]
        for _, attempt in found[:MAX_SEARCHES_PER_PLAN]:
            task = attempt.task
            if self._view.placement(task.step, others).choose(task) is not None:
                self._core.count("slow_runs_moved")
                self._move(attempt, "would end sooner than on this slow executor")

    def _move(self, attempt: Attempt, reason: str) -> None:
        attempt.task.moves += 1
        attempt.task.avoided_executors.add(attempt.executor_id)
        self._core.stop(attempt, self._now, reason=reason)

    def _forecast(self, attempt: Attempt) -> RunForecast | None:
        return forecast(
            attempt,
            self._core.health.speeds,
            stop_s=self._core.bounds.stop_s,
            now=self._now,
        )

    def _duration_s(self, attempt: Attempt) -> float:
        return self._now - max(attempt.placed_at, attempt.confirmed_at)

    def _is_straggler(self, attempt: Attempt) -> bool:
        """Whether a run takes far longer than its siblings, for no reason of its own."""
        step = attempt.task.step
        if attempt.task.moves >= MAX_STRAGGLER_MOVES or attempt.phase is not Phase.RUNNING:
            # Counts moves, as avoided executors are cleared when no other one has capacity.
            return False
        duration_s = self._duration_s(attempt)
        if duration_s <= STRAGGLER_SLACK_S:
            # Fast path for most runs: both bounds below are at least this long.
            return False
        if len(step.durations) >= 2:
            bound_s = STRAGGLER_FACTOR * step.median_s + STRAGGLER_SLACK_S
        else:
            bound_s = ESTIMATE_STRAGGLER_FACTOR * step.spec.estimate_s + ESTIMATE_STRAGGLER_SLACK_S
        if duration_s <= bound_s:
            return False
        expected = self._forecast(attempt)
        return expected is None or expected.here_s - expected.elsewhere_s >= MIN_GAIN_S


def _keeps_runs(executor: ExecutorState) -> bool:
    """Whether no run is moved off an executor for its speed: it is silent, or leaves anyway."""
    return executor.silent_since is not None or executor.draining


def _may_leave(attempt: Attempt) -> bool:
    """Whether a run on a slow executor may be stopped at all."""
    step = attempt.task.step
    if attempt.phase is not Phase.RUNNING or attempt.task.moves >= MAX_STRAGGLER_MOVES:
        return False
    if len(attempt.task.attempts) > 1 or step.run.job.requires_ticket:
        # A copy runs already, or the policy may refuse a ticket for the other executor.
        return False
    spec = step.spec
    if spec.speculative and not (spec.best_effort or spec.checkpoints):
        # A copy costs none of the work so far.
        return False
    return not (spec.standing or spec.gang)
