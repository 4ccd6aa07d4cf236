"""Builders of standing tasks that wait, and of the time that they wait."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from linkspan.jobs.crash import Crash
from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorReport,
    RunningTask,
    StartAnswer,
    StartOrder,
    StartOutcome,
)
from linkspan.shard.task import Task
from tests.shard.builders import confirm_start, plan

OBSERVED_S = 30.0
"""Time for which a test waits for a start."""

PLAN_INTERVAL_S = 0.05
"""Interval between plans."""

REBALANCE_INTERVAL_S = 0.3
"""Interval between searches for work that another hall could take."""


def tasks_of(core: ShardCore, job_id: str, step: int = 0) -> list[Task]:
    """Return the tasks of a step of a job."""
    return core.jobs[job_id].runs[0].steps[step].tasks


def confirm(core: ShardCore, orders: Iterable[StartOrder], now: float) -> None:
    """Apply the answers of executors that have started runs."""
    for order in orders:
        confirm_start(core, order, now)


def refuse(core: ShardCore, orders: Iterable[StartOrder], now: float) -> None:
    """Apply the answers of executors without room for runs."""
    for order in orders:
        core.on_started(order, StartAnswer(StartOutcome.NO_ROOM, now), now)


def report_all(core: ShardCore, now: float) -> None:
    """Apply a complete report of each executor that answers, with the runs that it confirmed."""
    for name, executor in list(core.executors.items()):
        if executor.silent_since is None and executor.clock:
            confirmed = [a for a in executor.attempts.values() if a.confirmed_at > 0]
            rows = tuple(RunningTask(a.task.name, a.run, "", 100, None) for a in confirmed)
            core.on_report(name, ExecutorReport(now, rows, ()), asked=now - 0.01, now=now)


def fail_oldest_run(core: ShardCore, name: str, number: int, now: float) -> None:
    """Apply a partial report that the run placed first on an executor has failed.

    Args:
        core: The core.
        name: The executor.
        number: Number of the end, above those before.
        now: Steady time.
    """
    attempts = core.executors[name].attempts.values()
    ended = tuple(
        EndedTask(number, attempt.task.name, attempt.run, EndKind.FAILED, "")
        for attempt in sorted(attempts, key=lambda attempt: attempt.placed_at)[:1]
    )
    report = ExecutorReport(now, (), ended, is_complete=False)
    core.on_report(name, report, asked=now - 0.01, now=now)


def seconds_until(
    condition: Callable[[], bool], advance: Callable[[float], None], *, since: float
) -> float:
    """Return the seconds until a condition holds, ``OBSERVED_S`` if it does not within that time.

    Args:
        condition: The condition.
        advance: Called with the steady time of each step.
        since: Steady time of the first step.
    """
    steps = int(OBSERVED_S / PLAN_INTERVAL_S)
    for number in range(steps):
        now = since + number * PLAN_INTERVAL_S
        advance(now)
        if condition():
            return now - since
    return OBSERVED_S


def run_for(core: ShardCore, duration_s: float, *, since: float) -> None:
    """Plan for a time, in which executors answer each start and each poll."""
    for number in range(int(duration_s / PLAN_INTERVAL_S)):
        _advance(core, since + number * PLAN_INTERVAL_S)


def seconds_until_all_run(core: ShardCore, tasks: Iterable[Task], *, since: float) -> float:
    """Return the seconds until tasks run, where executors answer each start and each poll."""
    waiting = list(tasks)
    return seconds_until(
        lambda: all(t.attempts for t in waiting), lambda now: _advance(core, now), since=since
    )


def _advance(core: ShardCore, now: float) -> None:
    core.tick(now)
    confirm(core, plan(core, now), now)
    report_all(core, now)


def history_at_limit(*addresses: str) -> CrashHistory:
    """Return a history of three crashes, after which the next one gives the task up.

    Args:
        addresses: Addresses of the executors; none are known by default.
    """
    known = [*addresses, "", "", ""][:3]
    crashes = tuple(
        Crash(f"gone-{number}", number + 1, 2, address=address)
        for number, address in enumerate(known)
    )
    return CrashHistory(3, 6, identified_crashes=crashes)


def set_history_at_limit(core: ShardCore, task: Task, *addresses: str) -> None:
    """Give a task a recorded history of three crashes."""
    core.set_crash_history(task, history_at_limit(*addresses))
    task.step.run.durable = float("inf")
