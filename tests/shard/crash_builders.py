"""Builders of executor crashes under a task, and of the owners and halls that learn of them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from linkspan.jobs.records import Delegation
from linkspan.jobs.spec import StepSpec
from linkspan.model.configuration import Configuration, Service
from linkspan.model.settings import Bounds
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import ExecutorRecord, ExecutorReport, RunningTask, StartOrder
from linkspan.shard.recovery.progress import decode_roster, encode_roster, encode_run
from linkspan.shard.task import Task
from tests.job_builders import QUEUE, step
from tests.shard.builders import JOB, add_executor, confirm_start, plan, report_ends, submitted_job

REPLACED = "another incarnation answers"
"""Evidence for the end of an executor at whose address an executor with another id answers."""

OTHER_SHARD = 1
"""The shard that tasks are delegated to; the home shard is 0."""

LEASE_EXPIRY_LIMIT_S = 60.0
"""Longest time for which a test waits for leases to expire."""

LATE_CRASH_S = 5.0
"""Age of a run for which a crash is not blamed on its task, and does not clear earlier ones."""


def only_task(core: ShardCore) -> Task:
    (task,) = core.jobs[JOB].runs[0].tasks()
    return task


def crash_executor(core: ShardCore, name: str, silent: float, ended_at: float) -> None:
    """Let an executor go silent, and another incarnation answer at its address."""
    core.on_silent(name, silent)
    core.on_incarnation_ended(name, ended_at, REPLACED)


def report_nothing(
    core: ShardCore, name: str, started_at_ms: int, *, asked: float, now: float
) -> None:
    """Let an incarnation report that it has no runs."""
    core.on_report(
        name, ExecutorReport(now, (), (), started_at_ms=started_at_ms), asked=asked, now=now
    )


def report_run(
    core: ShardCore,
    name: str,
    order: StartOrder,
    *,
    asked: float,
    made: float,
    now: float,
    progress: int = 0,
) -> None:
    """Apply a report that lists one running task.

    Args:
        core: The core.
        name: The executor.
        order: The start of the listed run.
        asked: Steady time at which the request was sent.
        made: Steady time at which the executor made the report, by its own clock.
        now: Steady time at which the host applies the report.
        progress: Progress of the run, in percent.
    """
    row = RunningTask(order.task, order.run, "", progress, None)
    core.on_report(name, ExecutorReport(made, (row,), ()), asked=asked, now=now)


def set_all_durable(core: ShardCore) -> None:
    """Mark all progress as durable: tasks with a crash history start only then."""
    core.jobs[JOB].runs[0].durable = float("inf")


def order_on(core: ShardCore, name: str, now: float) -> StartOrder:
    """Add an executor and return the order that starts the task there."""
    add_executor(core, name)
    report_ends(core, name, asked=now - 0.02, now=now - 0.01)
    set_all_durable(core)
    (order,) = plan(core, now)
    assert order.executor_id == name
    grant_lease(core, name, now)
    return order


def grant_lease(core: ShardCore, name: str, now: float) -> None:
    """Grant an executor the longest lease."""
    clock = core.executors[name].clock
    assert clock
    clock.grant(core.bounds.max_lease_s, now)


def start_on(core: ShardCore, name: str, now: float, *, answered: bool = True) -> int:
    """Add an executor, have the task started there and return the run's number."""
    order = order_on(core, name, now)
    if answered:
        confirm_start(core, order, now)
    return order.run


def crash_at_once(core: ShardCore, name: str, at: float) -> None:
    """Start the task on a new executor, which crashes immediately."""
    start_on(core, name, at)
    crash_executor(core, name, at + 0.1, at + 0.2)


def crash_under_older_run(core: ShardCore, name: str, at: float) -> ExecutorRecord:
    """Start the task on a new executor, which crashes when the run is some seconds old.

    Returns:
        The executor's registration.
    """
    start_on(core, name, at)
    record = core.executors[name].record
    silent = at + LATE_CRASH_S
    report_partially(core, name, silent - 0.1)
    crash_executor(core, name, silent, silent + 0.1)
    return record


def retract_crash_of(core: ShardCore, record: ExecutorRecord, now: float) -> None:
    """Let the owner read late that a crashed executor had announced to leave."""
    present = [executor.record for executor in core.executors.values()]
    core.list_executors([*present, replace(record, draining=True, remaining_s=0.0)], now)
    core.list_executors(present, now)


def report_partially(core: ShardCore, name: str, now: float) -> None:
    """Apply a partial report: the executor answers, and its runs continue."""
    core.on_report(name, ExecutorReport(now, (), (), is_complete=False), asked=now - 0.02, now=now)


def let_leases_expire(core: ShardCore, name: str, silent: float) -> float:
    """Keep an executor silent until its run is dropped, and return the steady time."""
    core.on_silent(name, silent)
    now = silent
    while only_task(core).attempts:
        now += 1.0
        core.tick(now)
        core.on_silent(name, now)
        assert now < silent + LEASE_EXPIRY_LIMIT_S
    return now


def crash_idle_executors(core: ShardCore, names: Iterable[str], at: float) -> None:
    """Let executors without runs crash, all at the same time."""
    for name in names:
        add_executor(core, name)
        report_ends(core, name, asked=at - 0.03, now=at - 0.02)
    for name in names:
        crash_executor(core, name, at + 0.01, at + 0.05)


def crash_beside_others(core: ShardCore, name: str, at: float, others: Iterable[str]) -> float:
    """Let an executor crash under an older run of the task, together with idle executors.

    Args:
        core: The core.
        name: The executor, on which the task is started.
        at: Steady time of the start.
        others: The idle executors.

    Returns:
        The steady time of the crashes.
    """
    start_on(core, name, at)
    silent = at + LATE_CRASH_S
    report_partially(core, name, silent - 0.02)
    crash_idle_executors(core, others, silent)
    crash_executor(core, name, silent + 0.02, silent + 0.1)
    return silent


def let_crashes_reach_limit(core: ShardCore, at: float) -> float:
    """Let four executors crash under older runs of a task, some together with other executors.

    The first one crashes together with another one, and the last one together with two others.

    Returns:
        The steady time after the decision on the last crash.
    """
    crash_beside_others(core, "d0", at, ("idle-0",))
    for name in ("d1", "d2"):
        at += LATE_CRASH_S + 1.0
        crash_under_older_run(core, name, at)
    at += LATE_CRASH_S + 1.0
    silent = crash_beside_others(core, "d3", at, ("idle-1", "idle-2"))
    core.tick(silent + 2.0)
    return silent + 2.0


def defer_giving_up(core: ShardCore, at: float) -> float:
    """Let a task reach its limit at a crash at which other executors crashed, too.

    Four executors crash under older runs of the task, the first one together with another one and
    the last one together with two others, so the owner waits for one more crash of the task.

    Args:
        core: The core, whose only task waits for a start.
        at: Steady time of the first start.

    Returns:
        The steady time after the decision.
    """
    ended_at = let_crashes_reach_limit(core, at)
    history = only_task(core).crash_history
    assert history and history.crash_count == 4
    assert core.finished == [], "this owner keeps the job"
    return ended_at


def core_of_shard(shard: int) -> ShardCore:
    """Return a core without jobs and executors."""
    core = ShardCore(shard, Bounds())
    core.configure(configuration_with_limit(QUEUE.max_attempts))
    return core


def configuration_with_limit(max_attempts: int, version: int = 1) -> Configuration:
    """Return a configuration whose only queue has an attempt limit."""
    queue = replace(QUEUE, max_attempts=max_attempts)
    return Configuration(version, {queue.name: queue}, {"pool": Service("pool")})


def delegate(core: ShardCore, now: float = 0.0) -> Delegation:
    """Delegate the only task to the other shard and return the delegation."""
    core.hand_over_tasks(JOB, OTHER_SHARD, [(0, 0)])
    ((delegation,),) = core.delegations(JOB, now).values()
    return delegation


def other_hall_with(delegation: Delegation, now: float, *specs: StepSpec) -> ShardCore:
    """Return the owner of the other shard, which has just read a delegation."""
    core = core_of_shard(OTHER_SHARD)
    core.add_job(
        submitted_job(*(specs or (step(1, standing=True),))), now, delegated_here=[delegation]
    )
    return core


def next_owner_of(
    core: ShardCore, now: float, *, delegated_here: Iterable[Delegation] | None = None
) -> ShardCore:
    """Return the next owner of a shard, restored from the roster and the progress record.

    Args:
        core: The lost owner.
        now: Steady time of the takeover.
        delegated_here: Delegations to the shard, ``None`` if it is the job's home shard.
    """
    next_owner = core_of_shard(core.shard)
    roster = encode_roster(e.roster_record for e in core.executors.values())
    next_owner.inherit(decode_roster(roster), now + 10.0)
    job = core.jobs[JOB]
    next_owner.add_job(
        job.submitted,
        now,
        inherited=True,
        begun=True,
        progress={0: encode_run(job.runs[0])},
        delegated_here=delegated_here,
    )
    return next_owner
