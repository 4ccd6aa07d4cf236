"""Derives the speed of executors from the progress and the ends of their runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.attempt import FULL_PACE, NEVER, Phase
from linkspan.shard.progress_rate import MIN_WINDOW_S, ProgressRate
from linkspan.shard.reports.executor_speeds import ORDINARY, SLOW_FROM

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import RunningTask
    from linkspan.shard.reports.executor_speeds import SpeedChange

ESTIMATE_WEIGHT_RUNS = 0.5
"""Weight of a comparison with the expected duration in place of the run's siblings: jobs differ
from it by more than tasks of one step do from each other, and all runs of the job alike."""

OWN_RATE_WEIGHT_RUNS = 2.0
"""Weight of a comparison with the run's own duration at ordinary speed: more than the assumption
that the executor has ordinary speed, as a run does not become slower by itself."""

MIN_USED_SHARE = 0.7
"""Share of its demand that a best-effort run must use for its progress to show the speed of its
executor: with less, other work has taken the cores."""

MAX_UNCERTAINTY_S = 0.3
"""Longest time by which the start or the end of a run may be uncertain for its duration to count.
After a few lost polls all short runs of an executor would seem to have taken seconds, and so would
runs whose starts were delayed on their way."""

MAX_RATE_AGE_AT_END_S = 1.0
"""Age up to which a run's rate of progress stands for its speed at its end; the whole duration of
the run would include times before a change of speed."""


class SpeedEvidence:
    """Passes what runs show to the speeds of their executors.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._ends_are_late = False
        self._services_with_progress: set[str] = set()

    def __repr__(self) -> str:
        return f"SpeedEvidence({self._state!r})"

    def on_report(self, delay_s: float) -> None:
        """Note for how long the ends in the report that is applied next may have waited.

        Args:
            delay_s: Time without a poll before the report and from its answer on, in seconds.
        """
        self._ends_are_late = delay_s > MAX_UNCERTAINTY_S

    def on_started(self, executor: ExecutorState, attempt: Attempt, clock_s: float | None) -> None:
        """Note when a run began, on its executor's clock.

        Some executors report the same progress all the time. Only where the progress of a run has
        risen from one report to another, progress is measured from the start on. The progress of a
        run that resumes from a checkpoint is unknown until it is reported.
        """
        reports_progress = executor.record.service in self._services_with_progress
        if (
            reports_progress
            and clock_s is not None
            and not attempt.task.checkpoint
            and _is_measured(attempt)
        ):
            attempt.rate = ProgressRate(clock_s, 0)

    def on_listed(
        self, executor: ExecutorState, attempt: Attempt, row: RunningTask, now: float
    ) -> None:
        """Apply a run's reported progress."""
        if not _is_measured(attempt) or attempt.phase is not Phase.RUNNING:
            return
        clock_s = executor.reported_s
        rate = attempt.rate
        if rate is None:
            # A run that resumes from a checkpoint restores it first.
            under_way = not (attempt.recovered or attempt.task.checkpoint)
            attempt.rate = ProgressRate(clock_s, row.progress, attempt.pace, under_way=under_way)
            return
        if rate.percent and row.progress > rate.percent:
            self._services_with_progress.add(executor.record.service)
        in_window = clock_s - rate.clock_s < MIN_WINDOW_S and attempt.pace == rate.pace
        if in_window and rate.under_way:
            # Fast path for reports in quick succession.
            return
        expected_s, weight = self._expected(attempt, now)
        if not rate.observe(clock_s, row.progress, attempt.pace, now, expected_s=expected_s):
            return
        if not expected_s:
            # The rate of this run may be the last one that was missing.
            expected_s, weight = self._expected(attempt, now, again=True)
        full_s = rate.full_duration_s
        if full_s and expected_s and self._shows_speed(attempt, row):
            self._vote(attempt, full_s / expected_s, weight, now)
            self._set_ordinary(attempt, rate, full_s, full_s / expected_s, now)

    def on_done(self, attempt: Attempt, duration_s: float, now: float) -> None:
        """Apply the duration at full pace of a run that is done."""
        spec = attempt.task.step.spec
        if self._ends_are_late or spec.best_effort or not _is_measured(attempt):
            return
        if self._is_away_from_data(attempt):
            return
        if spec.checkpoints and attempt.run > 1:
            # It may have resumed from a checkpoint, so that it is only a part of the work.
            return
        if attempt.confirmed_at - attempt.placed_at > MAX_UNCERTAINTY_S:
            return
        if attempt.rate and now - attempt.rate.measured_at <= MAX_RATE_AGE_AT_END_S:
            return
        expected_s, weight = self._expected(attempt, now)
        if expected_s > 0:
            self._vote(attempt, duration_s / expected_s, weight, now)

    def on_overdue(self, attempt: Attempt, now: float) -> None:
        """Apply the time for which a run has gone on that is stopped as it takes far too long.

        Only the time up to the last report that lists the run counts: it may have ended since.
        """
        if self._is_away_from_data(attempt):
            return
        ran_s = attempt.listed_at - max(attempt.placed_at, attempt.confirmed_at)
        expected_s, weight = self._expected(attempt, now)
        if expected_s > 0 and ran_s >= SLOW_FROM * expected_s:
            self._vote(attempt, ran_s / expected_s, weight, now)
            self.judge(attempt.executor_id, now)

    def forget(self, now: float) -> None:
        """Drop what was learnt about executors that no run has been judged by for long."""
        for change in self._state.health.speeds.forget(now):
            self._log(change)

    def judge(self, executor_id: str, now: float) -> None:
        """Estimate the speed of an executor again after the votes of a report."""
        change = self._state.health.speeds.judge(executor_id, now)
        if change:
            self._log(change)

    def _vote(self, attempt: Attempt, ratio: float, weight: float, now: float) -> None:
        self._state.health.speeds.vote(attempt.executor_id, attempt.key, ratio, weight, now)

    def _log(self, change: SpeedChange) -> None:
        if change.executor_id not in self._state.executors:
            return
        slow = change.after > ORDINARY
        self._state.count("executors_found_slow" if slow else "executors_found_recovered")
        self._state.log(
            Event.EXECUTOR_SPEED,
            executor=change.executor_id,
            slowdown=round(change.after, 1),
            before=round(change.before, 1),
            runs=change.runs,
        )

    def _is_away_from_data(self, attempt: Attempt) -> bool:
        """Whether a run takes longer because its executor is not in the rack of its data."""
        rack = attempt.task.step.spec.data_rack
        executor = self._state.executors.get(attempt.executor_id)
        return bool(rack) and (executor is None or rack not in executor.record.labels)

    def _shows_speed(self, attempt: Attempt, row: RunningTask) -> bool:
        """Whether a run's progress shows the speed of its executor, rather than anything else."""
        spec = attempt.task.step.spec
        if self._is_away_from_data(attempt):
            return False
        if not spec.best_effort:
            return True
        demanded = spec.demand.milli_cpu * attempt.pace / FULL_PACE
        return row.usage is not None and row.usage >= MIN_USED_SHARE * demanded

    def _set_ordinary(
        self, attempt: Attempt, rate: ProgressRate, full_s: float, ratio: float, now: float
    ) -> None:
        """Learn a run's own duration at ordinary speed, with which it is compared from then on.

        A run that takes long is not compared with others once it is known to be long by itself:
        its executor still counts as ordinary, and another run has shown so since. Few long
        tasks make up a large part of the runs at a time, so that two of them at once on one
        executor are not rare.
        """
        speeds = self._state.health.speeds
        if rate.ordinary_s is not None or speeds.slowdown(attempt.executor_id) > ORDINARY:
            return
        if ratio < SLOW_FROM:
            rate.ordinary_s = full_s
        elif rate.doubted_at == NEVER:
            rate.doubted_at = now
        elif speeds.is_shown_ordinary(attempt.executor_id, attempt.key, rate.doubted_at):
            rate.ordinary_s = full_s

    def _expected(
        self, attempt: Attempt, now: float, *, again: bool = False
    ) -> tuple[float, float]:
        """Return the ordinary duration of a run and the weight of a comparison with it.

        The duration is 0 if nothing comparable is known: callers' estimates alone are off by a
        factor that differs between queues.
        """
        if attempt.rate and attempt.rate.ordinary_s is not None:
            best_effort = attempt.task.step.spec.best_effort
            return attempt.rate.ordinary_s, 1.0 if best_effort else OWN_RATE_WEIGHT_RUNS
        step = attempt.task.step
        typical_s = step.typical_s(now, again=again)
        if typical_s is not None:
            return typical_s, 1.0
        queue = step.run.job.spec.queue
        expected_s = self._state.durations.expected_run_s(queue, step.spec.estimate_s)
        return (expected_s, ESTIMATE_WEIGHT_RUNS) if expected_s is not None else (0.0, 0.0)


def _is_measured(attempt: Attempt) -> bool:
    """Whether a run progresses by itself: standing tasks serve, members of a gang may wait."""
    spec = attempt.task.step.spec
    return not (spec.standing or spec.gang)
