"""Tests that a crash counts once, whoever finds it and however it is found.

The crash of a silent executor is found when its next incarnation answers, when another executor
answers at its address, when the list of machines misses it, or when its leases have expired and its
registry entry is missing. The owner may have changed since the executor went silent.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from linkspan.shard.core import ShardCore
from tests.job_builders import step
from tests.shard.builders import core_with
from tests.shard.crash_builders import (
    REPLACED,
    let_leases_expire,
    next_owner_of,
    only_task,
    report_nothing,
    report_partially,
    start_on,
)

EXECUTOR = "e0@1"

Finding = Callable[[ShardCore, float], None]


def _by_next_incarnation(core: ShardCore, now: float) -> None:
    report_nothing(core, EXECUTOR, 2, asked=now, now=now + 0.1)


def _by_address(core: ShardCore, now: float) -> None:
    core.on_incarnation_ended(EXECUTOR, now, REPLACED)


def _by_machine_list(core: ShardCore, now: float) -> None:
    core.on_incarnation_ended(EXECUTOR, now, "the machine is not listed", since=now - 1.0)


def _by_missing_entry(core: ShardCore, now: float) -> None:
    """Let the registry entry be missing until all leases have expired."""
    core.list_executors([], now)
    for second in range(40):
        core.on_silent(EXECUTOR, now + second)
    assert EXECUTOR not in core.executors


FINDINGS: tuple[Finding, ...] = (
    _by_next_incarnation,
    _by_address,
    _by_machine_list,
    _by_missing_entry,
)

all_findings = pytest.mark.parametrize("find", FINDINGS, ids=lambda find: find.__name__[1:])


def _crash_count(core: ShardCore) -> int:
    history = only_task(core).crash_history
    return history.crash_count if history else 0


def _core_with_run() -> ShardCore:
    core = core_with(step(1, estimate_s=60.0), executors=0)
    start_on(core, EXECUTOR, 1.0)
    report_partially(core, EXECUTOR, 1.2)
    return core


@all_findings
def test_a_crash_found_by_the_owner_that_started_the_run_counts_once(find: Finding) -> None:
    """Guards against a crash that counts for no task, or twice."""
    core = _core_with_run()
    core.on_silent(EXECUTOR, 1.3)
    find(core, 2.0)
    assert _crash_count(core) == 1


@all_findings
def test_a_crash_found_after_the_leases_expired_counts_once(find: Finding) -> None:
    """Guards against a crash that counts for no task as the run is dropped before it is found."""
    core = _core_with_run()
    now = let_leases_expire(core, EXECUTOR, 1.3)
    find(core, now + 1.0)
    assert _crash_count(core) == 1


@all_findings
def test_a_crash_found_by_the_next_owner_counts_once(find: Finding) -> None:
    """Guards against a crash that counts for no task as its executor never answered this owner."""
    core = _core_with_run()
    core.on_silent(EXECUTOR, 1.3)
    next_owner = next_owner_of(core, 2.0)
    next_owner.on_silent(EXECUTOR, 2.1)
    find(next_owner, 3.0)
    assert _crash_count(next_owner) == 1


@all_findings
def test_a_crash_found_after_the_leases_expired_at_the_next_owner_counts_once(
    find: Finding,
) -> None:
    """Guards against a crash that counts for no task as the next owner drops the run first."""
    core = _core_with_run()
    core.on_silent(EXECUTOR, 1.3)
    next_owner = next_owner_of(core, 2.0)
    record = next_owner.executors[EXECUTOR].record
    next_owner.list_executors([record], 2.1)
    now = let_leases_expire(next_owner, EXECUTOR, 2.2)
    find(next_owner, now + 1.0)
    assert _crash_count(next_owner) == 1


@all_findings
def test_a_crash_found_after_the_leases_expired_at_the_previous_owner_counts_once(
    find: Finding,
) -> None:
    """Guards against a crash that counts for no task as the record no longer holds the run."""
    core = _core_with_run()
    now = let_leases_expire(core, EXECUTOR, 1.3)
    next_owner = next_owner_of(core, now + 1.0)
    record = next_owner.executors[EXECUTOR].record
    next_owner.list_executors([record], now + 1.1)
    next_owner.on_silent(EXECUTOR, now + 1.2)
    find(next_owner, now + 2.0)
    assert _crash_count(next_owner) == 1


@all_findings
def test_a_crash_that_the_previous_owner_counted_counts_once(find: Finding) -> None:
    """Guards against a crash that two owners count: the roster is older than the progress."""
    core = _core_with_run()
    run_and_roster = next_owner_of(core, 1.25)
    core.on_silent(EXECUTOR, 1.3)
    _by_address(core, 1.4)
    history = only_task(core).crash_history
    assert history
    run_and_roster.set_crash_history(only_task(run_and_roster), history)
    run_and_roster.on_silent(EXECUTOR, 1.5)
    find(run_and_roster, 3.0)
    assert _crash_count(run_and_roster) == 1


@pytest.mark.parametrize("next_owner", [False, True])
def test_a_disconnected_executor_that_answers_again_counts_no_crash(*, next_owner: bool) -> None:
    """Guards against a crash counted for a run whose leases expired while it was disconnected."""
    core = _core_with_run()
    record = core.executors[EXECUTOR].record
    now = let_leases_expire(core, EXECUTOR, 1.3)
    if next_owner:
        core = next_owner_of(core, now + 0.5)
        core.list_executors([record], now + 0.6)
    report_nothing(core, EXECUTOR, 1, asked=now + 1.0, now=now + 1.1)
    report_nothing(core, EXECUTOR, 2, asked=now + 2.0, now=now + 2.1)
    assert _crash_count(core) == 0
