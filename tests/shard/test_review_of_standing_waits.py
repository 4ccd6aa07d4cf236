"""Tests of a review of the waits of standing tasks, each in a forced order of events.

Each test builds one way in which a standing task waits for longer than 9 s, or waits for no reason,
although executors have room for two of it.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from linkspan.jobs.crash import Crash
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Delegation, Returned
from linkspan.jobs.spec import Demand, StepSpec
from linkspan.shard.core import ShardCore
from linkspan.shard.handover._returned_delegations import ReturnedDelegations
from linkspan.shard.handover._task_waits import RETURN_DELAY_S
from linkspan.shard.handover.rebalance import HANDOVER_WAIT_S, Handover, Rebalancer
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import EndedTask, EndKind, ExecutorReport
from linkspan.shard.planning.advice import Advice
from tests.job_builders import MAX_AWAY_S, step
from tests.shard.builders import (
    JOB,
    add_executor,
    confirm_start,
    core_with,
    place_running,
    plan,
    report_ends,
    submitted_job,
)
from tests.shard.crash_builders import OTHER_SHARD, core_of_shard, next_owner_of, report_run
from tests.shard.standing_builders import (
    OBSERVED_S,
    REBALANCE_INTERVAL_S,
    confirm,
    fail_oldest_run,
    refuse,
    report_all,
    run_for,
    seconds_until,
    seconds_until_all_run,
    set_history_at_limit,
    tasks_of,
)

OTHER_JOB = "00000000000000bb"

EMPTY = HallSummary(
    capacity=40_000, free=40_000, free_by_executor=((20_000, 32_000), (20_000, 32_000))
)

ROOMY = HallSummary(capacity=128_000, free=100_000, free_by_executor=((12_500, 48_000),) * 8)

MAX_RECORD_BYTES = 256 * 1024
"""Size of the largest record that stores accept."""

FULL = HallSummary(capacity=16_000, free_by_executor=((0, 0), (0, 0)))


def _rebalancer(core: ShardCore) -> Rebalancer:
    """Return a rebalancer that sees one other hall, which is empty."""
    return Rebalancer(core, summaries=lambda: {OTHER_SHARD: EMPTY}, count_capable=lambda *_: 2)


# Tasks between halls


def test_a_delegated_task_starts_although_its_step_depends_on_another() -> None:
    """Guards against a task that no hall starts or returns: its step never opens in the other hall.

    The other hall does not know that the earlier step is done in the home hall.
    """
    steps = step(1), step(1, standing=True, cpu=9_000, depends_on=(0,))
    home = core_with(*steps, executors=1)
    (first,) = plan(home, 1.0)
    confirm_start(home, first, 1.0)
    done = EndedTask(1, first.task, first.run, EndKind.DONE, "")
    report_ends(home, "e0", done, asked=1.5, now=1.5)
    assert plan(home, 2.0) == [], "the home hall has no executor of this size"
    (handover,) = _rebalancer(home).plan(FULL, 2.0 + HANDOVER_WAIT_S)
    assert handover.tasks == ((1, 0),)

    other = core_of_shard(OTHER_SHARD)
    add_executor(other, "o0", cpu=20_000)
    other.add_job(submitted_job(*steps), 3.0, delegated_here=[Delegation(1, 0, 1)])
    (task,) = tasks_of(other, JOB, 1)
    assert seconds_until_all_run(other, [task], since=3.0) <= MAX_AWAY_S


def test_a_task_that_is_refused_again_and_again_goes_to_another_hall() -> None:
    """Guards against refusals that keep a task in its hall: each restarts the wait for a handover.

    The retry delay is shorter than this wait, so that it never ends.
    """
    core = core_with(step(1, standing=True), executors=1)
    (task,) = tasks_of(core, JOB)
    task.next_run = 2
    core.jobs[JOB].begun = True
    rebalancer, found = _rebalancer(core), []

    def advance(now: float) -> None:
        refuse(core, plan(core, now), now)
        if int(now / REBALANCE_INTERVAL_S) != int((now - 0.05) / REBALANCE_INTERVAL_S):
            found.extend(rebalancer.plan(FULL, now))

    assert seconds_until(lambda: bool(found), advance, since=1.0) <= MAX_AWAY_S


def test_a_hall_offers_no_room_while_it_can_neither_start_nor_return_a_task() -> None:
    """Guards against a task delegated to a hall whose new owner waits for a silent executor.

    The new owner publishes the room of the executors that answer. It starts nothing until the
    leases at the silent one have expired, and does not return the task either.
    """
    core = core_of_shard(OTHER_SHARD)
    add_executor(core, "o0")
    gone = core.executors["o0"].record
    new_owner = core_of_shard(OTHER_SHARD)
    new_owner.inherit([gone], until=18.0)
    new_owner.on_silent("o0", 0.5)
    add_executor(new_owner, "o1")
    if summarize(new_owner, 1.0).free == 0:
        return
    new_owner.add_job(
        submitted_job(step(1, standing=True)),
        1.0,
        inherited=new_owner.awaiting_reports,
        delegated_here=[Delegation(0, 0, 1)],
    )
    rebalancer, found = _rebalancer(new_owner), []

    def advance(now: float) -> None:
        new_owner.on_silent("o0", now)
        found.extend(plan(new_owner, now) or rebalancer.plan(FULL, now))

    assert seconds_until(lambda: bool(found), advance, since=1.0) <= MAX_AWAY_S


def test_a_task_starts_while_the_handover_of_another_is_being_recorded() -> None:
    """Guards against a job whose tasks all wait while the store takes no record of a handover.

    The task that was handed over is managed by the other hall from the beginning.
    """
    core = core_with(step(2, standing=True), executors=2)
    job = core.jobs[JOB]
    handed_over, task = tasks_of(core, JOB)
    job.handing_over = True
    assert core.hand_over_tasks(JOB, OTHER_SHARD, [(0, 0)]) == (handed_over,)
    assert seconds_until_all_run(core, [task], since=1.0) <= MAX_AWAY_S


def test_a_delegated_task_has_not_waited_while_it_ran_in_its_home_hall() -> None:
    """Guards against a wait that counts from when another hall first read the job.

    The second task ran in its home hall until it was delegated. Log lines and the gauge show a wait
    of seconds at once, and so would a rule that yields after a wait.
    """
    other = core_of_shard(OTHER_SHARD)
    tasks = step(2, standing=True, cpu=9_000)
    other.add_job(submitted_job(tasks), 1.0, delegated_here=[Delegation(0, 0, 1)])
    other.accept_delegations(JOB, [Delegation(0, 1, 1)], 50.0)
    assert 50.0 - tasks_of(other, JOB)[1].waiting_since < HANDOVER_WAIT_S


def test_a_returned_task_has_not_waited_while_it_ran_in_the_other_hall() -> None:
    """Guards against a wait that counts from the last run in the home hall.

    The task ran in the other hall for most of that time.
    """
    home = core_with(step(1, standing=True), executors=1)
    (order,) = plan(home, 1.0)
    confirm_start(home, order, 1.0)
    (task,) = tasks_of(home, JOB)
    home.close_attempt(task.attempts[0], 2.0)
    home.hand_over_tasks(JOB, OTHER_SHARD, [(0, 0)])
    home.reclaim_tasks(JOB, [Delegation(0, 0, 1)], 50.0)
    assert 50.0 - task.waiting_since < RETURN_DELAY_S


@pytest.mark.parametrize(
    ("spec", "hall"),
    [
        (step(17, standing=True, cpu=7_750), ROOMY),
        (step(17, standing=True, cpu=1_000, max_per_executor=1, label="kind"), ROOMY),
        (step(17, standing=True, cpu=1_000, label="kind"), replace(ROOMY, queued=1_000)),
    ],
    ids=["size", "spread limit", "other work waits"],
)
def test_a_job_starts_although_no_other_hall_takes_all_of_it(
    spec: StepSpec, hall: HallSummary
) -> None:
    """Guards against a job of which nothing ever runs.

    Its home hall has no executor that can run its tasks. It has not begun, so that it can only move
    as a whole, and each other hall has room for some of its tasks only, or work that waits.
    """
    core = core_with(spec, executors=1)
    core.executors["e0"].register(replace(core.executors["e0"].record, capacity=Demand(500, 100)))
    rebalancer = Rebalancer(
        core,
        summaries=lambda: dict.fromkeys((1, 2, 3), hall),
        count_capable=lambda *_: len(hall.free_by_executor),
    )
    found: list[Handover] = []

    def advance(now: float) -> None:
        confirm(core, plan(core, now), now)
        found.extend(rebalancer.plan(FULL, now))

    assert seconds_until(lambda: bool(found), advance, since=1.0) <= MAX_AWAY_S


def test_the_record_of_returned_delegations_stays_small() -> None:
    """Guards against a record that the store no longer accepts, so that no job record is written.

    It lists each return of each task of a job. Here, 17 tasks with a crash history are each
    returned every 2 s, for seven minutes.
    """
    returned = ReturnedDelegations()
    crashes = tuple(Crash(f"life-{number}@1700001000000", number, 2) for number in range(3))
    for number in range(1, 211):
        tasks = [Delegation(0, index, number, 3, 6, crashes) for index in range(17)]
        listed = returned.add(JOB, (), tasks)
    _, value = encode(Returned(JOB, OTHER_SHARD, listed))
    assert len(value) < MAX_RECORD_BYTES


# Tasks that keep each other from starting


def test_a_task_that_has_run_starts_before_one_of_its_step_that_may_not() -> None:
    """Guards against a restart that waits because an earlier task of its step never ran.

    Only the restart may use the room that standing tasks leave to short work. The plan ends at the
    first task of a step that fits nowhere, as if the tasks were alike.
    """
    core = core_with(step(2, standing=True, cpu=7_750), executors=1)
    _, restart = tasks_of(core, JOB)
    restart.next_run = 2
    assert [order.task for order in plan(core, 0.1)] == [restart.name]


def test_many_tasks_at_the_crash_limit_start_in_time() -> None:
    """Guards against a queue of tasks that each keep an executor for themselves for 3 s.

    Nothing limits the wait of the last one: the others keep all executors out of each plan.
    """
    core = core_with(step(8, standing=True), executors=2)
    tasks = tasks_of(core, JOB)
    for task in tasks:
        set_history_at_limit(core, task)
    assert seconds_until_all_run(core, tasks, since=1.0) <= MAX_AWAY_S


def test_a_task_without_crashes_starts_beside_many_at_the_crash_limit() -> None:
    """Guards against an unrelated task that waits until all tasks at the crash limit have started.

    Each of them reserves an executor for 3 s, and the next one takes it at once.
    """
    core = core_with(step(17, standing=True), executors=4)
    for task in tasks_of(core, JOB):
        set_history_at_limit(core, task)
        task.next_run = 4
    core.add_job(submitted_job(step(1, standing=True), job_id=OTHER_JOB, accepted=5.0), 0.0)
    (unrelated,) = tasks_of(core, OTHER_JOB)
    run_for(core, 3.0, since=0.1)
    for attempt in list(unrelated.attempts):
        core.close_attempt(attempt, 3.3)
    assert seconds_until_all_run(core, [unrelated], since=3.3) <= MAX_AWAY_S


def test_a_task_at_the_crash_limit_starts_where_only_a_suspected_address_has_room() -> None:
    """Guards against 10 s of waiting for another executor, which other work fills."""
    core = core_with(step(1, standing=True, cpu=4_000))
    (task,) = tasks_of(core, JOB)
    place_running(core, core.executors["e0"], cpu=8_000, standing=True)
    set_history_at_limit(core, task, "e1:1")
    assert seconds_until_all_run(core, [task], since=0.0) <= MAX_AWAY_S


# Executors that take no work


def test_failures_of_standing_tasks_do_not_quarantine_all_executors() -> None:
    """Guards against standing tasks that wait as tasks of two jobs fail now and then.

    Only a run that is done ends a series of failures, and no standing task is ever done. So each
    failure after the first two jobs' quarantines the executor for 8 s, or renews its quarantine.
    Here, one of five tasks fails on each executor every 4 s.
    """
    core = core_with(step(4, standing=True), executors=2)
    core.add_job(submitted_job(step(6, standing=True), job_id=OTHER_JOB), 0.0)
    tasks = tasks_of(core, JOB) + tasks_of(core, OTHER_JOB)
    away_since: dict[str, float] = {}
    longest_s = 0.0
    for number in range(800):
        now = 1.0 + number * 0.05
        confirm(core, plan(core, now), now)
        if number % 80 == 79:
            fail_oldest_run(core, "e0", number, now)
            fail_oldest_run(core, "e1", number, now)
        report_all(core, now)
        for task in tasks:
            if task.attempts:
                away_since.pop(str(task.name), None)
            else:
                since = away_since.setdefault(str(task.name), now)
                longest_s = max(longest_s, now - since)
    assert longest_s <= MAX_AWAY_S


def test_an_executor_that_answers_is_not_ended_by_older_lists_of_machines() -> None:
    """Guards against an executor that is never used again as two lists of machines omit it.

    Lists may be older than an executor's registration. It has answered since they were requested.
    """
    core = core_with(step(1, standing=True), executors=0)
    add_executor(core, "e0@1000")
    record = core.executors["e0@1000"].record
    alive = ExecutorReport(5.0, (), (), started_at_ms=1000)
    core.on_report("e0@1000", alive, asked=4.9, now=5.0)
    core.on_incarnation_ended("e0@1000", 5.1, "machine service no longer lists it", since=3.0)

    (task,) = tasks_of(core, JOB)

    def advance(now: float) -> None:
        core.list_executors([record], now)
        for name, executor in core.executors.items():
            executor.rostered = True
            report = ExecutorReport(now, (), (), started_at_ms=1000)
            core.on_report(name, report, asked=now - 0.01, now=now)
        confirm(core, plan(core, now), now)

    assert seconds_until(lambda: bool(task.attempts), advance, since=5.2) <= MAX_AWAY_S


# Runs of a former owner


def test_a_run_that_a_new_owner_has_read_is_free_when_its_executor_ends() -> None:
    """Guards against a task that waits 12 s for a run that ended with its executor.

    The former owner was lost before it recorded the answer to the start. The new one has read that
    the run works, but assumes that another order to start it may still arrive at the executor's
    next incarnation.
    """
    core = core_with(step(1, standing=True), executors=0)
    add_executor(core, "a@1000")
    (order,) = plan(core, 9.9)
    owner = next_owner_of(core, 10.0)
    report_run(owner, "a@1000", order, asked=10.0, made=10.0, now=10.1, progress=100)
    add_executor(owner, "b@1000")
    owner.on_silent("a@1000", 10.6)
    owner.on_incarnation_ended("a@1000", 11.0, "machine service no longer lists it", since=10.7)
    (task,) = tasks_of(owner, JOB)
    task.step.run.durable = float("inf")

    def advance(now: float) -> None:
        owner.tick(now)
        for name in ("a", "a@1000"):
            owner.on_silent(name, now)
        owner.executors_to_poll_closely(now)
        confirm(owner, plan(owner, now), now)

    def runs_on_b() -> bool:
        return any(a.executor_id == "b@1000" for a in task.attempts)

    assert seconds_until(runs_on_b, advance, since=10.6) <= MAX_AWAY_S


def test_an_owner_change_does_not_begin_the_wait_for_an_unanswered_start_anew() -> None:
    """Guards against a task that waits once more for the same lost start after each owner change.

    Records do not hold since when the start may no longer arrive.
    """

    def seconds_away(*, owner_changes: bool) -> float:
        core = core_with(step(1, standing=True), executors=0)
        add_executor(core, "a@1000")
        (order,) = plan(core, 1.0)
        core.on_start_unanswered(order, 2.0)
        core.on_silent("a@1000", 2.5)
        core.on_incarnation_ended("a@1000", 3.0, "machine service no longer lists it", since=2.6)
        owner = next_owner_of(core, 13.0) if owner_changes else core
        add_executor(owner, "b@1000")
        (task,) = tasks_of(owner, JOB)
        task.step.run.durable = float("inf")

        def advance(now: float) -> None:
            owner.tick(now)
            for name in ("a", "a@1000"):
                owner.on_silent(name, now)
            owner.executors_to_poll_closely(now)
            confirm(owner, plan(owner, now), now)

        def runs_on_b() -> bool:
            return any(a.executor_id == "b@1000" for a in task.attempts)

        return 13.0 - 2.0 + seconds_until(runs_on_b, advance, since=13.0)

    takeover_s = 3.0
    assert seconds_away(owner_changes=True) <= seconds_away(owner_changes=False) + takeover_s


# Tickets of placement policies


def test_a_step_gets_tickets_although_those_of_an_earlier_step_expire_again_and_again() -> None:
    """Guards against a restart whose step never gets a ticket.

    The first step that asked is served first. Its tasks find no room, and its tickets expire before
    the service has answered for all executors, so it asks again before each call.
    """
    core = core_with(step(1, cpu=9_000), step(1, standing=True))
    crowded, restart = core.jobs[JOB].runs[0].steps
    advice, executors = core.advice, [f"e{number}" for number in range(60)]
    call_s, valid_s = 1.2, 2.0
    now, asked_at = 0.0, OBSERVED_S
    while now < OBSERVED_S:
        advice.request_tickets(crowded, executors, now)
        advice.request_tickets(restart, executors, now)
        call = advice.next_call(now)
        if call is None:
            now += 0.05
            continue
        if call.step is restart:
            asked_at = now
            break
        tickets = Advice(dict.fromkeys(call.executor_ids, "ticket"), valid_s)
        advice.on_advice(call, tickets, sent_at=now, valid_s=valid_s)
        now += call_s
    assert asked_at <= MAX_AWAY_S
