"""Tests that a wait that is to end does so, whichever halls and refused starts it goes through.

A standing task counts as lost when it is away for 9 s with room for two of it. Each handover and
each refused start began the waits for isolation, at the crash limit and for starvation anew, so
that a task that went from hall to hall, or was refused again and again, never started.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.handover._delegations import last_delegation_of
from linkspan.shard.handover.rebalance import HANDOVER_WAIT_S, Handover, Rebalancer
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import EndedTask, EndKind, StartAnswer, StartOrder, StartOutcome
from linkspan.shard.planning._isolation import MAX_ISOLATION_WAIT_S
from linkspan.shard.planning._waiting_steps import STARVATION_S
from linkspan.shard.planning.placement import FAILED_EXECUTOR_AVOIDANCE_S
from tests.job_builders import step
from tests.shard.builders import (
    JOB,
    add_executor,
    confirm_start,
    core_with,
    place_running,
    plan,
    report_ends,
)
from tests.shard.crash_builders import (
    OTHER_SHARD,
    REPLACED,
    crash_executor,
    next_owner_of,
    only_task,
    other_hall_with,
    report_nothing,
    set_all_durable,
    start_on,
)
from tests.shard.handover_builders import (
    AT_LIMIT,
    HANDOVER_S,
    ISOLATED,
    PLAN_INTERVAL_S,
    STAY_S,
    add_crash_prone_executor,
    hand_over,
    home_with,
    other_hall,
    refuse,
    started_at,
)

SINCE = 1.0
ROUND_S = STAY_S + HANDOVER_S + 2 * PLAN_INTERVAL_S

MAX_AT_LIMIT_S = 6.0
"""Longest wait of a task at its crash limit: 9 s without the time to find a crash and to answer."""

EMPTY = HallSummary(capacity=8_000, free=8_000, free_by_executor=((8_000, 32_000),))


def test_a_wait_for_isolation_ends_although_the_task_goes_from_hall_to_hall() -> None:
    """Guards against a task that each hall keeps for less than the 2 s of this wait."""
    halls = home_with(ISOLATED, since=SINCE), other_hall()
    at = started_at(halls, SINCE, 20.0)
    assert at is not None and at - SINCE <= MAX_ISOLATION_WAIT_S + ROUND_S


def test_a_wait_at_the_crash_limit_ends_although_the_task_goes_from_hall_to_hall() -> None:
    """Guards against a task at its crash limit that no hall keeps for as long as this wait."""
    halls = home_with(AT_LIMIT, since=SINCE), other_hall()
    at = started_at(halls, SINCE, 20.0)
    assert at is not None and at - SINCE <= MAX_AT_LIMIT_S


def test_a_wait_at_the_crash_limit_in_one_hall_ends_before_the_task_is_lost() -> None:
    """Guards against a wait of 10 s for an executor that nothing speaks against otherwise."""
    core = home_with(AT_LIMIT, since=SINCE)
    now = SINCE
    while not plan(core, now):
        now += PLAN_INTERVAL_S
        assert now - SINCE <= MAX_AT_LIMIT_S


def _send_nothing(core: ShardCore, order: StartOrder, now: float) -> None:
    core.on_start_unsent(order, now)


@pytest.mark.parametrize("give_up", [refuse, _send_nothing], ids=["refused", "unsent"])
@pytest.mark.parametrize(
    ("history", "wait_s"),
    [(ISOLATED, MAX_ISOLATION_WAIT_S), (AT_LIMIT, MAX_AT_LIMIT_S)],
    ids=["isolation", "limit"],
)
def test_a_start_without_a_run_does_not_begin_a_wait_for_isolation_anew(
    give_up: Callable[[ShardCore, StartOrder, float], None], history: CrashHistory, wait_s: float
) -> None:
    """Guards against a wait that ends never, as each refused or unsent start begins it anew."""
    core = core_with(step(1, standing=True), executors=1)
    core.set_crash_history(only_task(core), history)
    set_all_durable(core)
    (order,) = plan(core, wait_s - 0.6)
    give_up(core, order, wait_s - 0.5)
    place_running(core, core.executors["e0"], cpu=8_000)
    add_crash_prone_executor(core)
    assert plan(core, wait_s + 0.1)


def test_a_refused_start_does_not_begin_the_wait_for_starvation_anew() -> None:
    """Guards against best-effort work that tries again only each 1.5 s."""
    core = core_with(step(1, best_effort=True, cpu=16_000), executors=1)
    (order,) = plan(core, STARVATION_S + 0.1)
    refuse(core, order, STARVATION_S + 0.2)
    assert plan(core, STARVATION_S + 0.5)


def test_a_refused_start_does_not_begin_the_avoidance_of_an_executor_anew() -> None:
    """Guards against a task that avoids the only executor with room while others refuse it."""
    core = core_with(step(1, cpu=5_000), executors=2)
    only_task(core).avoided_executors.add("e0")
    (order,) = plan(core, FAILED_EXECUTOR_AVOIDANCE_S - 0.1)
    assert order.executor_id == "e1"
    refuse(core, order, FAILED_EXECUTOR_AVOIDANCE_S - 0.05)
    place_running(core, core.executors["e1"], cpu=8_000)
    assert [o.executor_id for o in plan(core, FAILED_EXECUTOR_AVOIDANCE_S + 0.05)] == ["e0"]


@pytest.mark.parametrize("delegated", [False, True])
def test_a_task_that_is_refused_again_and_again_is_handed_over(*, delegated: bool) -> None:
    """Guards against a task kept by a hall whose only executor refuses it every 0.4 s."""
    core = core_with(step(1, standing=True), executors=0)
    add_executor(core, "e0")
    core.jobs[only_task(core).name.job_id].delegated_here = delegated
    rebalancer = Rebalancer(core, summaries=lambda: {1: EMPTY}, count_capable=lambda *_: 1)
    now = 0.0
    handovers: list[Handover] = []
    while now < HANDOVER_WAIT_S + 3.0 and not handovers:
        now += PLAN_INTERVAL_S
        for order in plan(core, now):
            refuse(core, order, now)
        handovers = rebalancer.plan(summarize(core, now), now)
    assert handovers


def test_a_crash_under_an_unanswered_start_begins_the_wait_for_isolation_anew() -> None:
    """Guards against a task that crashes executors at its start and is no longer isolated then."""
    core = core_with(step(1, standing=True), executors=0)
    core.set_crash_history(only_task(core), ISOLATED)
    crashed_at = MAX_ISOLATION_WAIT_S + 1.0
    start_on(core, "e0@1", crashed_at - 0.2, answered=False)
    crash_executor(core, "e0@1", crashed_at - 0.1, crashed_at)
    report_nothing(core, "e0@2", 2, asked=crashed_at, now=crashed_at)
    assert only_task(core).waiting_since >= crashed_at - 0.1


def test_the_end_of_a_former_owners_run_begins_the_wait_anew() -> None:
    """Guards against a task whose waits are over as soon as the run ends that it had inherited."""
    core = core_with(step(1, standing=True), executors=0)
    start_on(core, "e0@1", 1.0)
    next_owner = next_owner_of(core, 2.0)
    next_owner.on_silent("e0@1", 2.1)
    next_owner.on_incarnation_ended("e0@1", 6.0, REPLACED)
    assert only_task(next_owner).waiting_since == 6.0


def test_a_task_that_has_waited_is_not_sent_again_to_the_executor_that_called_it_invalid() -> None:
    """Guards against an isolated task that one executor refuses for ever while another has room."""
    core = core_with(step(1, standing=True), executors=2)
    core.set_crash_history(only_task(core), ISOLATED)
    set_all_durable(core)
    (first,) = plan(core, FAILED_EXECUTOR_AVOIDANCE_S + 1.0)
    core.on_started(first, StartAnswer(StartOutcome.INVALID, 1.5), 1.5)
    (second,) = plan(core, FAILED_EXECUTOR_AVOIDANCE_S + 1.5)
    assert second.executor_id != first.executor_id


def test_a_run_in_another_hall_begins_the_wait_anew_after_the_return() -> None:
    """Guards against a task that is not isolated at home, as it waited there before it ran."""
    home, other = home_with(ISOLATED, since=SINCE), other_hall()
    hand_over(home, other, SINCE + 1.0)
    (order,) = plan(other, SINCE + MAX_ISOLATION_WAIT_S)
    confirm_start(other, order, 4.0)
    end = EndedTask(1, order.task, order.run, EndKind.FAILED, "")
    report_ends(other, order.executor_id, end, asked=9.0, now=9.0)
    hand_over(other, home, 9.5)
    assert only_task(home).waiting_since == pytest.approx(9.0, abs=0.1)


def test_a_wait_goes_on_at_the_next_owner_of_the_other_hall() -> None:
    """Guards against a wait that begins anew where a new owner reads the delegation."""
    home = home_with(ISOLATED, since=SINCE)
    home.hand_over_tasks(JOB, OTHER_SHARD, [(0, 0)])
    delegation = last_delegation_of(only_task(home), SINCE + 1.5)
    other = other_hall_with(delegation, 10.0)
    add_crash_prone_executor(other)
    assert plan(other, 10.0 + MAX_ISOLATION_WAIT_S - 1.5)


def test_the_end_of_a_run_that_was_never_confirmed_begins_the_wait_anew() -> None:
    """Guards against waits that are over as soon as a run ends that no report had listed."""
    core = core_with(step(1, standing=True), executors=1)
    (order,) = plan(core, 1.0)
    core.on_start_unanswered(order, 2.0)
    failed = EndedTask(1, order.task, order.run, EndKind.FAILED, "")
    report_ends(core, "e0", failed, asked=7.0, now=7.0)
    assert only_task(core).waiting_since == 7.0
