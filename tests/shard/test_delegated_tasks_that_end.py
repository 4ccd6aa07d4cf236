"""Tasks that end, in another hall than that of their job: what both halls know of their runs.

The orders of events are forced: two cores exchange the records that hosts would write.
"""

from __future__ import annotations

import pytest

from linkspan.jobs.record_codec import decode, encode
from linkspan.jobs.records import (
    Completed,
    Delegated,
    Delegation,
    JobState,
    TaskIndex,
)
from linkspan.shard.messages import EndKind, StopOrder
from linkspan.shard.recovery.progress import encode_run
from tests.job_builders import QUEUE, step
from tests.shard.builders import JOB, add_executor, plan, report_ends
from tests.shard.delegation_builders import OTHER, TwoHalls, ended, start_all, task_of

MAX_RECORD_BYTES = 262_144
"""Size of the largest record that the platform's store takes."""


@pytest.mark.parametrize("restart", ["none", "home before", "home after", "other"])
def test_an_end_in_another_hall_is_applied_once_whoever_owns_the_halls(restart: str) -> None:
    """Guards against lost or repeated work where an owner is lost around the end of a task."""
    halls = TwoHalls(step(2), step(1, depends_on=(0,)))
    halls.delegate((0, 0), (0, 1), now=1.0)
    orders = start_all(halls.other, 1.1)
    assert len(orders) == 2
    ends = [ended(order, n, EndKind.DONE) for n, order in enumerate(orders, 1)]
    report_ends(halls.other, "1-0", *ends, asked=2.0, now=2.0)
    if restart == "home before":
        halls.restart_home(2.1)
    if restart == "other":
        halls.other.completed.clear()
        halls.restart_other(2.1)
        for task in halls.other.jobs[JOB].runs[0].tasks():
            if task.done:
                halls.other.announce_done(task)
    halls.announce(halls.other, 2.2)
    if restart == "home after":
        halls.restart_home(2.3)
    run = halls.home.jobs[JOB].runs[0]
    assert [task.done for task in run.tasks()] == [True, True, False]
    assert run.steps[1].open
    assert run.steps[0].remaining_tasks == 0
    assert plan(halls.other, 3.0) == []
    halls.announce(halls.other, 3.1)
    assert run.steps[0].remaining_tasks == 0


def test_runs_in_another_hall_have_numbers_and_checkpoints_of_their_own() -> None:
    """Guards against a run number that two halls use, and work saved elsewhere that is lost."""
    halls = TwoHalls(step(1, checkpoints=True))
    task_of(halls.home).next_run = 4
    task_of(halls.home).save(3, "saved at home")
    halls.delegate((0, 0), now=1.0)
    (order,) = start_all(halls.other, 1.1)
    assert (order.run, order.checkpoint) == (4, "saved at home")
    end = ended(order, 1, EndKind.STOPPED, "saved elsewhere")
    report_ends(halls.other, "1-0", end, asked=2.0, now=2.0)
    halls.give_back((0, 0), now=3.0)
    halls.restart_home(4.0)
    add_executor(halls.home, "0-0")
    (order,) = start_all(halls.home, 5.0)
    assert order.run > 4
    assert order.checkpoint == "saved elsewhere"


def test_failed_runs_count_in_whichever_hall_they_were() -> None:
    """Guards against a task that fails once more than its queue allows, by a change of halls."""
    halls = TwoHalls(step(1))
    for failures, now in enumerate((1.0, 11.0), 1):
        halls.delegate((0, 0), now=now)
        (order,) = start_all(halls.other, now + 0.1)
        end = ended(order, failures, EndKind.FAILED)
        report_ends(halls.other, "1-0", end, asked=now + 1.0, now=now + 1.0)
        assert task_of(halls.other).failures == failures
        halls.give_back((0, 0), now=now + 2.0)
        assert task_of(halls.home).failures == failures
        halls.restart_home(now + 3.0)
        assert task_of(halls.home).failures == failures
    assert QUEUE.max_attempts == 3
    assert not halls.home.finished
    halls.delegate((0, 0), now=21.0)
    (order,) = start_all(halls.other, 21.1)
    end = ended(order, 3, EndKind.FAILED)
    report_ends(halls.other, "1-0", end, asked=22.0, now=22.0)
    assert [f.state for f in halls.other.finished] == [JobState.FAILED]
    assert plan(halls.other, 23.0) == []


def test_an_end_found_late_at_home_stops_the_run_elsewhere() -> None:
    """Guards against a task that runs twice: an executor of a silent rack comes back with it done.

    Its leases had expired, so the task was delegated; the other hall must not start it again.
    """
    halls = TwoHalls(step(2))
    add_executor(halls.home, "0-0")
    orders = start_all(halls.home, 0.1)
    for attempt in list(halls.home.executors["0-0"].attempts.values()):
        halls.home.close_attempt(attempt, 5.0)
    halls.delegate((0, 0), (0, 1), now=6.0)
    assert len(start_all(halls.other, 6.1)) == 2
    ends = [ended(order, n, EndKind.DONE) for n, order in enumerate(orders, 1)]
    report_ends(halls.home, "0-0", *ends, asked=7.0, now=7.0)
    halls.announce(halls.home, 7.1)
    stops = [order for order in halls.other.orders if isinstance(order, StopOrder)]
    assert {order.task.index for order in stops} == {0, 1}
    halls.restart_other(8.0)
    assert plan(halls.other, 9.0) == []


def test_an_end_found_after_the_return_of_a_task_ends_it_at_home() -> None:
    """Guards against a task that home runs again after the other hall has found its end."""
    halls = TwoHalls(step(1))
    halls.delegate((0, 0), now=1.0)
    (order,) = start_all(halls.other, 1.1)
    for attempt in list(halls.other.executors["1-0"].attempts.values()):
        halls.other.close_attempt(attempt, 11.0)
    halls.give_back((0, 0), now=12.0)
    report_ends(halls.other, "1-0", ended(order, 1, EndKind.DONE), asked=13.0, now=13.0)
    halls.announce(halls.other, 13.1)
    assert task_of(halls.home).done
    assert [f.state for f in halls.home.finished] == [JobState.SUCCEEDED]


def test_a_gang_changes_halls_as_a_whole() -> None:
    """Guards against a gang of which two halls have members, so that no hall can start it."""
    halls = TwoHalls(step(3, gang=True))
    halls.delegate((0, 0), (0, 1), (0, 2), now=1.0)
    orders = start_all(halls.other, 1.1)
    assert {order.run for order in orders} == {1}
    assert halls.other.hand_over_tasks(JOB, 0, [(0, 0), (0, 1), (0, 2)]) == ()
    hows = (EndKind.FAILED, EndKind.BROKEN, EndKind.BROKEN)
    for number, (order, how) in enumerate(zip(orders, hows, strict=True), 1):
        assert halls.other.hand_over_tasks(JOB, 0, [(0, 0), (0, 1), (0, 2)]) == ()
        end = ended(order, number, how)
        report_ends(halls.other, "1-0", end, asked=1.0 + number, now=1.0 + number)
    halls.give_back((0, 0), (0, 1), (0, 2), now=5.0)
    assert halls.home.jobs[JOB].runs[0].steps[0].failures == 1
    add_executor(halls.home, "0-0")
    assert {order.run for order in start_all(halls.home, 6.0)} == {2}


def test_records_of_a_wide_job_stay_below_the_limit_of_the_store() -> None:
    """Guards against a zone whose writes wait for good behind a record that the store refuses."""
    halls = TwoHalls(step(9_000, cpu=1))
    tasks = [(0, index) for index in range(2_000)]
    halls.delegate(*tasks, now=1.0)
    delegated = Delegated(JOB, OTHER, halls.home.delegations(JOB, 2.3)[OTHER])
    assert len(encode(delegated)[1]) < MAX_RECORD_BYTES / 2
    start_all(halls.other, 1.1)
    assert len(encode_run(halls.other.jobs[JOB].runs[0])) < MAX_RECORD_BYTES / 2
    everything = Completed(JOB, "1.1.1", tuple(TaskIndex(0, 0, n) for n in range(9_000)))
    assert len(encode(everything)[1]) < MAX_RECORD_BYTES / 4
    assert decode(*encode(everything)) == everything


def test_a_delegation_of_an_earlier_version_has_no_runs() -> None:
    """Guards against a delegation that a host of another version can't read."""
    _, value = encode(Delegated(JOB, OTHER, (Delegation(0, 1, 2),)))
    assert value == b"[[0,1,2]]"
