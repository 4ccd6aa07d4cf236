"""Reports standing runs that count as running and that no report has listed for seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from linkspan.events import Event
from linkspan.shard._periodic_report import PeriodicReport
from linkspan.shard._reasons import MAX_LOGGED_TASKS, short_name
from linkspan.shard._repeated_lines import RepeatedLines
from linkspan.shard.attempt import NEVER

if TYPE_CHECKING:
    from linkspan.shard._context import TenureContext
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState

MIN_UNLISTED_S = 4.0
"""Time since its last listing after which a run is reported: a poll may be held for 2 s."""

REPEAT_INTERVAL_S = 3.5
"""Time after which an executor is reported again, at the next check."""


class UnlistedRuns(PeriodicReport):
    """Compares the standing runs that this shard believes in with the executors' reports.

    A task whose run is believed in does not wait for one, so no other line names it.

    Args:
        context: Components of the tenure.
    """

    def __init__(self, context: TenureContext) -> None:
        super().__init__(context)
        self._lines: RepeatedLines[str] = RepeatedLines(REPEAT_INTERVAL_S)

    def report(self, now: float) -> None:
        """Set the gauge and log the executors whose runs have not been listed for seconds."""
        longest_s = longest_unlisted_s(self._core, now)
        self._metrics.set_seconds(
            "standing_unlisted", round(max(longest_s.values(), default=0.0), 1), hall=self._hall
        )
        overdue = {name: s for name, s in longest_s.items() if s >= MIN_UNLISTED_S}
        for name in self._lines.due(overdue, now):
            fields = unlisted_fields(self._core.executors[name], now)
            self._core.log(
                Event.RUNS_UNLISTED, shard=self._core.shard, token=self._core.token, **fields
            )

    def clear(self) -> None:
        """Set the gauge to nothing."""
        self._metrics.set_seconds("standing_unlisted", 0.0, hall=self._hall)


def longest_unlisted_s(core: ShardCore, now: float) -> dict[str, float]:
    """Return for how long a standing run has not been listed at most, by executor.

    Args:
        core: The shard's state.
        now: Steady time.
    """
    return {
        name: max(unlisted.values())
        for name, executor in core.executors.items()
        if (unlisted := _unlisted_s(executor, now))
    }


def unlisted_fields(executor: ExecutorState, now: float) -> dict[str, Any]:
    """Return the log fields of an executor with runs that it has not listed for seconds.

    Args:
        executor: The executor.
        now: Steady time.
    """
    unlisted = {n: s for n, s in _unlisted_s(executor, now).items() if s >= MIN_UNLISTED_S}
    silent = executor.silent_since
    return {
        "executor": executor.executor_id,
        "unlisted_s": round(max(unlisted.values(), default=0.0), 1),
        "runs": len(unlisted),
        "tasks": sorted(unlisted)[:MAX_LOGGED_TASKS],
        "reported_s": round(now - executor.reported_at, 1) if executor.has_reported else None,
        "silent_s": None if silent is None else round(now - silent, 1),
        "partial": executor.unknown_runs,
    }


def _unlisted_s(executor: ExecutorState, now: float) -> dict[str, float]:
    """Return for how long each standing run has not been listed, by job and task.

    A run of a task that waits for another one is not believed in.
    """
    return {
        f"{attempt.task.name.job_id} {short_name(attempt.task.name)}": now - since
        for attempt in executor.attempts.values()
        if attempt.task.step.spec.standing
        and attempt.task.waiting_since == NEVER
        and (since := max(attempt.listed_at, attempt.confirmed_at)) != NEVER
    }
