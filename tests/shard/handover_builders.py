"""Builders of halls that keep a task waiting, and of its way through them."""

from __future__ import annotations

from linkspan.jobs.crash import Crash
from linkspan.jobs.record_codec import decode, encode
from linkspan.jobs.records import Delegated, Delegation, Returned
from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.handover._delegations import last_delegation_of
from linkspan.shard.messages import StartAnswer, StartOrder, StartOutcome
from linkspan.shard.reports._executor_crashes import ExecutorCrash
from tests.job_builders import step
from tests.shard.builders import JOB, add_executor, plan, submitted_job
from tests.shard.crash_builders import OTHER_SHARD, core_of_shard, only_task, set_all_durable

HOME_SHARD = 0

STAY_S = 1.0
"""Time that each hall keeps the task before it hands it over."""

HANDOVER_S = 0.1
"""Time that a handover takes."""

PLAN_INTERVAL_S = 0.1

ISOLATED = CrashHistory(2, 4, identified_crashes=(Crash("x0@1", 1, 2), Crash("x1@1", 2, 2)))
"""Crashes after which a task has to be isolated."""

AT_LIMIT = CrashHistory(
    3, 6, identified_crashes=(*ISOLATED.identified_crashes, Crash("x2@1", 3, 2))
)
"""Crashes after which one more gives the task up."""


def add_crash_prone_executor(core: ShardCore) -> None:
    """Give a hall a full executor, and an empty one at whose address others have crashed.

    A task that has to be isolated waits there, although there is room.
    """
    add_executor(core, "full", cpu=500)
    add_executor(core, "empty")
    crash = ExecutorCrash(
        "former", "empty:1", 100.0, 100.0, had_isolated_task=False, blamed_tasks=set()
    )
    core.executor_crashes += [crash, crash]


def home_with(history: CrashHistory, *, since: float) -> ShardCore:
    """Return the home hall of a standing task that has been waiting there since a steady time."""
    core = core_of_shard(HOME_SHARD)
    add_crash_prone_executor(core)
    core.add_job(submitted_job(step(1, standing=True)), since)
    core.set_crash_history(only_task(core), history)
    set_all_durable(core)
    return core


def other_hall() -> ShardCore:
    core = core_of_shard(OTHER_SHARD)
    add_crash_prone_executor(core)
    return core


def started_at(halls: tuple[ShardCore, ShardCore], since: float, until: float) -> float | None:
    """Hand a task to and fro between its home and another hall until one of them starts it.

    Args:
        halls: The home hall, where the task waits, and the other one.
        since: Steady time since when it waits there.
        until: Steady time at which to stop.

    Returns:
        Steady time of its start, ``None`` if there was none.
    """
    here, there = halls
    arrived = now = since
    while now < until:
        now = round(now + PLAN_INTERVAL_S, 2)
        if plan(here, now):
            return now
        if now - arrived >= STAY_S:
            arrived = now = round(now + HANDOVER_S, 2)
            hand_over(here, there, now)
            here, there = there, here
    return None


def hand_over(source: ShardCore, target: ShardCore, now: float) -> None:
    """Delegate or return the task, and let the other hall read the record of it."""
    source.hand_over_tasks(JOB, target.shard, [(0, 0)])
    delegation = last_delegation_of(only_task(source), now)
    if target.shard == HOME_SHARD:
        target.reclaim_tasks(JOB, [_recorded(Returned(JOB, OTHER_SHARD, (delegation,)))], now)
    else:
        read = [_recorded(Delegated(JOB, OTHER_SHARD, (delegation,)))]
        if JOB in target.jobs:
            target.accept_delegations(JOB, read, now)
        else:
            target.add_job(submitted_job(step(1, standing=True)), now, delegated_here=read)
    set_all_durable(target)


def _recorded(record: Delegated | Returned) -> Delegation:
    """Return a delegation as the other hall reads it from the job's record."""
    read = decode(*encode(record))
    assert isinstance(read, Delegated | Returned)
    (delegation,) = read.delegations
    return delegation


def refuse(core: ShardCore, order: StartOrder, now: float) -> None:
    """Apply an executor's answer that it has no room for a start."""
    core.on_started(order, StartAnswer(StartOutcome.NO_ROOM, now), now)
