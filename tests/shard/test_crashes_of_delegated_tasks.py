"""Tests the crashes of a task over its delegation to another hall and its return.

While a task is delegated, both halls may learn of crashes under its runs, and each hall may change
its owner. Each crash counts once, and a decision that was deferred stays deferred.
"""

from __future__ import annotations

import json

import pytest

from linkspan.errors import RecordError
from linkspan.jobs.crash import Crash
from linkspan.jobs.record_codec import decode, encode
from linkspan.jobs.records import Delegated, Delegation, Returned
from linkspan.shard.core import ShardCore
from linkspan.shard.handover._delegations import last_delegation_of
from linkspan.shard.incarnation import Incarnation
from tests.job_builders import step
from tests.shard.builders import JOB, core_with
from tests.shard.crash_builders import (
    LATE_CRASH_S,
    OTHER_SHARD,
    configuration_with_limit,
    crash_at_once,
    crash_executor,
    crash_under_older_run,
    defer_giving_up,
    delegate,
    let_leases_expire,
    next_owner_of,
    only_task,
    other_hall_with,
    report_nothing,
    retract_crash_of,
    start_on,
)

HOME_SHARD = 0


def _recorded(delegation: Delegation, *, returned: bool = False) -> Delegation:
    """Return a delegation as the other hall reads it from the job's record."""
    record = Returned if returned else Delegated
    read = decode(*encode(record(JOB, OTHER_SHARD, (delegation,))))
    assert isinstance(read, Delegated | Returned)
    (delegation,) = read.delegations
    return delegation


def _return(other: ShardCore) -> Delegation:
    """Let the other hall return the task, and return the delegation on record."""
    other.hand_over_tasks(JOB, HOME_SHARD, [(0, 0)])
    return _recorded(last_delegation_of(only_task(other), 0.0), returned=True)


def _crash_count(core: ShardCore) -> int:
    history = only_task(core).crash_history
    return history.crash_count if history else 0


def _standing_core() -> ShardCore:
    return core_with(step(1, standing=True), executors=0)


# Crashes that the home hall finds while the task is delegated


def _find_crash(core: ShardCore, name: str, now: float) -> None:
    """Let the next incarnation of a silent executor answer."""
    executor_id = Incarnation.of(name).executor_id
    report_nothing(core, f"{executor_id}@1", 2, asked=now, now=now + 0.1)


def test_a_crash_found_at_home_while_the_task_is_delegated_counts_after_its_return() -> None:
    """Guards against a crash that the history of the returned delegation replaces."""
    core = _standing_core()
    start_on(core, "e0@1", 1.0)
    now = let_leases_expire(core, "e0@1", 1.3)
    delegation = _recorded(delegate(core))
    other = other_hall_with(delegation, now)
    _find_crash(core, "e0@1", now + 1.0)
    assert _crash_count(core) == 1
    core.reclaim_tasks(JOB, [_return(other)], now + 30.0)
    assert _crash_count(core) == 1


def test_a_crash_found_at_home_counts_beside_a_crash_in_the_other_hall() -> None:
    """Guards against one of two crashes lost, as each hall knows only the one it found."""
    core = _standing_core()
    start_on(core, "e0@1", 1.0)
    now = let_leases_expire(core, "e0@1", 1.3)
    other = other_hall_with(_recorded(delegate(core)), now)
    crash_under_older_run(other, "x0", now + 1.0)
    _find_crash(core, "e0@1", now + 1.0)
    core.reclaim_tasks(JOB, [_return(other)], now + 30.0)
    assert _crash_count(core) == 2


def test_a_crash_found_at_home_counts_after_an_owner_change_and_the_return() -> None:
    """Guards against a crash lost with the owner that found it while the task was delegated."""
    core = _standing_core()
    start_on(core, "e0@1", 1.0)
    now = let_leases_expire(core, "e0@1", 1.3)
    other = other_hall_with(_recorded(delegate(core)), now)
    _find_crash(core, "e0@1", now + 1.0)
    next_owner = next_owner_of(core, now + 2.0)
    assert _crash_count(next_owner) == 1
    next_owner.reclaim_tasks(JOB, [_return(other)], now + 30.0)
    assert _crash_count(next_owner) == 1


def test_crashes_found_at_home_fail_the_job_of_a_returned_task() -> None:
    """Guards against a sixth start of a task under which five executors crashed.

    The home hall counts three crashes, and finds the next two after two delegations.
    """
    core = _standing_core()
    for number in range(3):
        crash_under_older_run(core, f"e{number}", 1.0 + 10.0 * number)
    now = 40.0
    for name in ("e3@1", "e4@1"):
        if core.finished:
            break
        start_on(core, name, now)
        now = let_leases_expire(core, name, now + 0.3)
        other = other_hall_with(_recorded(delegate(core)), now)
        _find_crash(core, name, now + 1.0)
        core.reclaim_tasks(JOB, [_return(other)], now + 2.0)
        core.tick(now + 4.0)
        now += 10.0
    assert len(core.finished) == 1


def test_a_crash_known_to_both_halls_counts_once_after_the_return() -> None:
    """Guards against a crash that counts twice as both halls carry it."""
    core = _standing_core()
    crash_under_older_run(core, "e0", 1.0)
    other = other_hall_with(_recorded(delegate(core)), 10.0)
    crash_under_older_run(other, "x0", 11.0)
    core.reclaim_tasks(JOB, [_return(other)], 30.0)
    assert _crash_count(core) == 2
    core.reclaim_tasks(JOB, [_return(other)], 31.0)
    assert _crash_count(core) == 2


def test_a_crash_retracted_at_home_stays_retracted_beside_a_crash_in_the_other_hall() -> None:
    """Guards against a planned departure that counts as a crash again after the return."""
    core = _standing_core()
    record = crash_under_older_run(core, "e0", 1.0)
    other = other_hall_with(_recorded(delegate(core)), 10.0)
    crash_under_older_run(other, "x0", 11.0)
    retract_crash_of(core, record, 12.0)
    core.reclaim_tasks(JOB, [_return(other)], 30.0)
    assert _crash_count(core) == 1


def test_a_run_that_cleared_the_history_in_the_other_hall_leaves_it_cleared() -> None:
    """Guards against crashes that count again after a run of 20 seconds had cleared them."""
    core = _standing_core()
    crash_under_older_run(core, "e0", 1.0)
    other = other_hall_with(_recorded(delegate(core)), 10.0)
    start_on(other, "x0", 11.0)
    crash_executor(other, "x0", 41.0, 41.2)
    assert _crash_count(other) == 0
    core.reclaim_tasks(JOB, [_return(other)], 50.0)
    assert _crash_count(core) == 0


def test_a_crash_retracted_in_the_other_hall_is_retracted_after_the_return() -> None:
    """Guards against a crash of the other hall that counts at home after its retraction there."""
    core = _standing_core()
    other = other_hall_with(_recorded(delegate(core)), 10.0)
    record = crash_under_older_run(other, "x0", 11.0)
    retract_crash_of(other, record, 18.0)
    core.reclaim_tasks(JOB, [_return(other)], 30.0)
    assert _crash_count(core) == 0


# Crashes that the other hall finds after the return


def _returned_silent(core: ShardCore) -> tuple[ShardCore, float]:
    """Delegate the task, which the other hall returns while the run's executor there is silent."""
    other = other_hall_with(_recorded(delegate(core)), 10.0)
    start_on(other, "x0@1", 11.0)
    now = let_leases_expire(other, "x0@1", 11.3)
    core.reclaim_tasks(JOB, [_return(other)], now + 1.0)
    return other, now + 2.0


def test_a_crash_found_in_the_other_hall_after_the_return_counts_at_the_next_delegation() -> None:
    """Guards against a crash that the history of the next delegation replaces."""
    core = _standing_core()
    other, now = _returned_silent(core)
    _find_crash(other, "x0@1", now)
    assert _crash_count(other) == 1
    crash_under_older_run(core, "e0", now + 1.0)
    other.accept_delegations(JOB, [_recorded(delegate(core))], now + 10.0)
    assert _crash_count(other) == 2


def test_a_crash_found_in_the_other_hall_after_the_return_survives_its_owner() -> None:
    """Guards against a crash lost with an owner: the next one reads the delegation first."""
    core = _standing_core()
    other, now = _returned_silent(core)
    _find_crash(other, "x0@1", now)
    crash_under_older_run(core, "e0", now + 1.0)
    again = _recorded(delegate(core))
    next_owner = next_owner_of(other, now + 10.0, delegated_here=[again])
    assert _crash_count(next_owner) == 2


def test_a_crash_retracted_in_the_other_hall_after_the_return_stays_retracted_there() -> None:
    """Guards against a planned departure that counts as a crash again at the next delegation."""
    core = _standing_core()
    other = other_hall_with(_recorded(delegate(core)), 10.0)
    record = crash_under_older_run(other, "x0", 11.0)
    core.reclaim_tasks(JOB, [_return(other)], 20.0)
    retract_crash_of(other, record, 21.0)
    other.accept_delegations(JOB, [_recorded(delegate(core))], 22.0)
    assert _crash_count(other) == 0


# Run numbers, which both halls count from 1


def _crash_unconfirmed(core: ShardCore, name: str, at: float) -> None:
    """Let an executor crash under an unanswered start of the task."""
    start_on(core, name, at, answered=False)
    crash_executor(core, name, at + LATE_CRASH_S, at + LATE_CRASH_S + 0.1)


@pytest.mark.parametrize("answered", [False, True])
def test_crashes_under_equal_run_numbers_of_two_halls_are_two_crashes(*, answered: bool) -> None:
    """Guards against a crash lost because the other hall numbers its runs from 1, too."""
    core = _standing_core()
    _crash_unconfirmed(core, "e0", 1.0)
    assert _crash_count(core) == 1
    other = other_hall_with(_recorded(delegate(core)), 10.0)
    if answered:
        crash_under_older_run(other, "x0", 11.0)
    else:
        _crash_unconfirmed(other, "x0", 11.0)
    assert _crash_count(other) == 2
    core.reclaim_tasks(JOB, [_return(other)], 30.0)
    assert _crash_count(core) == 2


def test_a_crash_at_home_after_the_return_counts_beside_one_of_the_other_hall() -> None:
    """Guards against a crash lost because the other hall had a run of the same number."""
    core = _standing_core()
    other = other_hall_with(_recorded(delegate(core)), 10.0)
    _crash_unconfirmed(other, "x0", 11.0)
    core.reclaim_tasks(JOB, [_return(other)], 20.0)
    assert _crash_count(core) == 1
    crash_under_older_run(core, "e0", 21.0)
    assert _crash_count(core) == 2


def test_an_unanswered_start_counts_one_crash_over_incarnations_after_a_delegation() -> None:
    """Guards against two crashes for one unanswered start that reached the next incarnation."""
    core = _standing_core()
    crash_under_older_run(core, "e0", 1.0)
    other = other_hall_with(_recorded(delegate(core)), 10.0)
    start_on(other, "x0@1", 11.0, answered=False)
    other.on_silent("x0@1", 11.5)
    report_nothing(other, "x0@1", 2, asked=11.6, now=11.7)
    report_nothing(other, "x0@2", 3, asked=12.0, now=12.1)
    assert _crash_count(other) == 2


# Deferred decisions


def _deferred() -> tuple[ShardCore, float]:
    core = _standing_core()
    return core, defer_giving_up(core, 1.0)


def test_the_next_owner_of_the_other_hall_keeps_a_task_whose_giving_up_was_deferred() -> None:
    """Guards against a job that one owner keeps and the next owner of the other hall fails."""
    core, now = _deferred()
    delegation = _recorded(delegate(core))
    other = other_hall_with(delegation, now)
    next_owner = next_owner_of(other, now + 10.0, delegated_here=[delegation])
    assert next_owner.finished == []


def test_the_next_owner_at_home_keeps_a_task_whose_giving_up_was_deferred() -> None:
    """Guards against a job that fails at the next owner after a delegation and its return."""
    core, now = _deferred()
    other = other_hall_with(_recorded(delegate(core)), now)
    core.reclaim_tasks(JOB, [_return(other)], now + 5.0)
    assert next_owner_of(core, now + 10.0).finished == []


def test_a_decision_deferred_in_the_other_hall_stays_deferred_at_home() -> None:
    """Guards against a job that fails at home although the other hall kept its task."""
    core = _standing_core()
    other = other_hall_with(_recorded(delegate(core)), 0.5)
    now = defer_giving_up(other, 1.0)
    core.reclaim_tasks(JOB, [_return(other)], now + 5.0)
    assert next_owner_of(core, now + 10.0).finished == []


def test_the_next_owner_at_home_keeps_a_delegated_task_whose_giving_up_was_deferred() -> None:
    """Guards against a job that fails at the next owner while its task is delegated."""
    core, now = _deferred()
    delegate(core)
    assert next_owner_of(core, now + 10.0).finished == []


def test_a_new_attempt_limit_gives_up_no_task_whose_giving_up_was_deferred() -> None:
    """Guards against a job that fails in the other hall when its attempt limit is raised."""
    core, now = _deferred()
    other = other_hall_with(_recorded(delegate(core)), now)
    other.configure(configuration_with_limit(7, version=2))
    assert other.finished == []


def test_one_more_crash_gives_a_deferred_task_up_in_the_other_hall() -> None:
    """Guards against a deferred decision that no later crash ends."""
    core, now = _deferred()
    other = other_hall_with(_recorded(delegate(core)), now)
    crash_at_once(other, "x0", now + 1.0)
    other.tick(now + 3.0)
    assert len(other.finished) == 1


# Records


def test_a_delegation_of_an_earlier_version_is_read() -> None:
    """Guards against a delegated task that nobody manages where versions are mixed."""
    crashes = [["e0", 1, 2, 2], ["e1", 2, 2, 1]]
    for rows, count in (
        ([0, 0, 3], 0),
        ([0, 0, 3, 2, 4], 2),
        ([0, 0, 3, 2, 4, crashes], 2),
        ([0, 0, 3, 2, 4, crashes, 1], 2),
        ([0, 0, 3, 2, 4, crashes, 1, 2.5], 2),
        ([0, 0, 3, 2, 4, crashes, 1, 2.5, 0, 2, "c", 1, [[1, "e2"]], 0], 2),
        ([0, 0, 3, 2, 4, crashes, 1, 2.5, 0, 2, "c", 1, [[1, "e2"]], 0, 1, "a later field"], 2),
    ):
        for kind in ("l", "r"):
            read = decode(f"{kind}:{JOB}:1".encode(), json.dumps([rows]).encode())
            assert isinstance(read, Delegated | Returned)
            (delegation,) = read.delegations
            assert (delegation.number, delegation.crash_count) == (3, count)


def test_an_earlier_version_reads_the_fields_of_a_delegation_that_it_knows() -> None:
    """Guards against a delegation that an earlier version cannot read: new fields stand behind."""
    identified = (Crash("e0", 1, 2), Crash("e1", 2, 2, confirmed=False))
    _, value = encode(Delegated(JOB, 1, (Delegation(0, 0, 3, 2, 4, identified),)))
    (row,) = json.loads(value)
    assert row[:5] == [0, 0, 3, 2, 4]
    assert [crash[:4] for crash in row[5]] == [["e0", 1, 2, 2], ["e1", 2, 2, 0]]


def test_a_delegation_carries_the_time_that_its_task_has_waited() -> None:
    """Guards against a wait that begins anew, or a record that earlier versions cannot read.

    They read the fields in front of it; most rows need no room for it.
    """
    for delegation, row in (
        (Delegation(0, 0, 3), [0, 0, 3]),
        (Delegation(0, 0, 3, waited_s=0.04), [0, 0, 3]),
        (Delegation(0, 0, 3, waited_s=2.53), [0, 0, 3, 0, 0, [], 0, 2.5]),
        (Delegation(0, 0, 3, 2, 4, waited_s=2.5), [0, 0, 3, 2, 4, [], 0, 2.5]),
        (Delegation(0, 0, 3, 2, 4, give_up_deferred=True), [0, 0, 3, 2, 4, [], 1]),
    ):
        _, value = encode(Delegated(JOB, 1, (delegation,)))
        assert json.loads(value) == [row]
        assert _recorded(delegation).waited_s == pytest.approx(delegation.waited_s, abs=0.05)


def test_a_record_with_an_impossible_wait_is_refused() -> None:
    """Guards against a wait from before the host's start that a damaged record causes."""
    for waited_s in (-1, "1", None):
        with pytest.raises(RecordError):
            decode(f"l:{JOB}:1".encode(), json.dumps([[0, 0, 3, 0, 0, [], 0, waited_s]]).encode())
