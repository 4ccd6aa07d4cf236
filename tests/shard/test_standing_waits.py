"""Tests how long a standing task that one executor does not run waits for its start on another.

Guards against standing tasks that count as lost: one that an unanswered start, or an executor that
refuses it repeatedly, kept from an empty executor for more than nine seconds.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from linkspan.jobs.spec import StepSpec
from linkspan.shard.core import ShardCore
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from tests.job_builders import MAX_AWAY_S, step
from tests.shard.builders import JOB, add_executor, core_with
from tests.shard.unavailable_executor import (
    FIRST,
    OTHER,
    TIMEOUT_S,
    UNANSWERED_AT,
    Events,
    core_with_unanswered_start,
    report_nothing,
    started_elsewhere_after_s,
)

STANDING = step(1, standing=True, cpu=4_000)

RESTARTS_AT = UNANSWERED_AT + 1.0
"""Steady time at which the first executor ends or restarts."""

MAX_REFUSED_S = 1.5
"""Limits how long a task waits for another executor while one refuses it: two retries."""


def first_answers(core: ShardCore, now: float) -> None:
    report_nothing(core, FIRST, 1, now)


def first_restarts(core: ShardCore, now: float) -> None:
    report_nothing(core, FIRST, 1 if now < RESTARTS_AT else 2, now)


def first_is_replaced(core: ShardCore, now: float) -> None:
    if now == RESTARTS_AT:
        core.on_silent(FIRST, now)
        core.on_incarnation_ended(FIRST, now, "another incarnation answers")


def first_ends(core: ShardCore, now: float) -> None:
    """The machine is gone, and no next incarnation of the id answers."""
    if now == RESTARTS_AT:
        core.on_silent(FIRST, now)
        core.on_incarnation_ended(FIRST, now, "the machine is gone", since=now - 0.1)
    core.on_silent("a", now)


@pytest.mark.parametrize("events", [first_answers, first_restarts, first_is_replaced, first_ends])
def test_an_unanswered_start_does_not_keep_a_standing_task_away(events: Events) -> None:
    """Guards against a wait of twelve seconds from the last of several starts."""
    core = core_with_unanswered_start(STANDING)
    assert started_elsewhere_after_s(core, events) <= MAX_AWAY_S


def test_an_unanswered_start_at_a_draining_executor_does_not_keep_a_task_away() -> None:
    """Guards against the same wait where the start is stopped instead of sent again."""
    core = core_with_unanswered_start(STANDING)
    first = core.executors[FIRST]
    first.register(replace(first.record, draining=True))
    assert started_elsewhere_after_s(core, first_answers) <= MAX_AWAY_S


def test_an_unanswered_start_does_not_keep_a_task_with_a_crash_history_away() -> None:
    """Guards against the same wait of a task that may have crashed the executor."""
    core = core_with_unanswered_start(STANDING)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.set_crash_history(task, CrashHistory(2, 4))
    assert started_elsewhere_after_s(core, first_restarts) <= MAX_AWAY_S


@pytest.mark.parametrize(
    ("spec", "max_away_s"),
    [(STANDING, MAX_AWAY_S), (step(1, cpu=4_000), MAX_START_DELAY_S + 5 * TIMEOUT_S)],
    ids=["standing", "batch"],
)
def test_an_executor_that_answers_polls_but_no_starts_does_not_keep_a_task_away(
    spec: StepSpec, max_away_s: float
) -> None:
    """Guards against an executor that is chosen again after each start that it never answered."""
    core = core_with_unanswered_start(spec)
    away_s = started_elsewhere_after_s(core, first_answers, answers_starts=False)
    assert away_s <= max_away_s


def test_a_task_at_its_crash_limit_starts_on_an_empty_executor() -> None:
    """Guards against a task that waits for an executor of its own although there is one."""
    core = core_with(STANDING, executors=0)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.set_crash_history(task, CrashHistory(4, 7))
    add_executor(core, OTHER)
    task.ready_since = UNANSWERED_AT
    core.jobs[JOB].runs[0].durable = float("inf")
    assert started_elsewhere_after_s(core, lambda _core, _now: None) <= MAX_AWAY_S


@pytest.mark.parametrize(
    "spec",
    [
        STANDING,
        step(1, cpu=4_000),
        step(1, cpu=4_000, best_effort=True, image="fill"),
        step(1, cpu=4_000, gang=True),
    ],
    ids=["standing", "batch", "best-effort", "gang"],
)
def test_an_executor_that_refuses_a_task_is_not_chosen_again_for_ever(spec: StepSpec) -> None:
    """Guards against an executor whose registration shows capacity that it does not have.

    It was chosen again after each refusal, while the other executor was empty.
    """
    core = core_with(spec, executors=0)
    add_executor(core, FIRST)
    add_executor(core, OTHER)
    assert started_elsewhere_after_s(core, first_answers) <= MAX_REFUSED_S


def test_an_executor_that_refuses_an_isolated_task_is_not_chosen_again_for_ever() -> None:
    """Guards against the same where candidates are ordered by the work that a crash would lose."""
    core = core_with(STANDING, executors=0)
    add_executor(core, FIRST)
    add_executor(core, OTHER)
    (task,) = core.jobs[JOB].runs[0].tasks()
    core.set_crash_history(task, CrashHistory(2, 4))
    core.jobs[JOB].runs[0].durable = float("inf")
    assert started_elsewhere_after_s(core, first_answers) <= MAX_REFUSED_S
