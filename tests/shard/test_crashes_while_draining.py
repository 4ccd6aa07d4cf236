"""Tests executors that end while they drain, before or after the time that they announced.

An executor that drains can crash, too. That it ends early is no proof of a crash, as the owner may
have read the announcement late. Such an end therefore counts only for a task under which an
executor has crashed before, or crashes later, and is not certain.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from linkspan.shard.core import ShardCore
from linkspan.shard.reports._give_ups import GIVE_UP_DELAY_S
from tests.job_builders import step
from tests.shard.builders import add_executor, core_with, report_ends
from tests.shard.crash_builders import (
    crash_at_once,
    crash_executor,
    crash_under_older_run,
    let_crashes_reach_limit,
    only_task,
    report_partially,
    retract_crash_of,
    start_on,
)

REMAINING_S = 2.0
"""Time that a draining executor announces to remain."""


def _drain(core: ShardCore, name: str, at: float, *, remaining_s: float = REMAINING_S) -> float:
    """Let an executor announce that it will leave, and return the steady time of its leave."""
    records = [e.record for e in core.executors.values() if e.executor_id != name]
    record = replace(core.executors[name].record, draining=True, remaining_s=remaining_s)
    core.list_executors([*records, record], at)
    return at + remaining_s


def _crash_draining(core: ShardCore, name: str, at: float) -> None:
    """Start the task on an executor that then drains, and crashes within 0.2 seconds."""
    start_on(core, name, at)
    _drain(core, name, at + 0.05)
    crash_executor(core, name, at + 0.1, at + 0.2)


def _list_announced(core: ShardCore, name: str, remaining_s: float) -> None:
    """List the entry of an executor that has ended, with its announcement."""
    add_executor(core, "other")
    other = core.executors["other"].record
    ended = replace(other, executor_id=name, draining=True, remaining_s=remaining_s)
    core.list_executors([other, ended], 4.0)


@pytest.mark.parametrize("early_s", [0.6, 1.4])
def test_a_draining_executor_that_ends_early_counts_as_crashed(early_s: float) -> None:
    """Guards against a crash that counts for no task because its executor was draining."""
    core = core_with(step(1), executors=0)
    crash_at_once(core, "before", 0.5)
    start_on(core, "e0", 1.0)
    leaves_at = _drain(core, "e0", 1.3)
    ended_at = leaves_at - early_s
    report_partially(core, "e0", ended_at - 0.05)
    crash_executor(core, "e0", ended_at, ended_at + 0.2)
    history = only_task(core).crash_history
    assert history and (history.crash_count, history.certain_count) == (2, 1)


def test_early_ends_alone_count_for_no_task() -> None:
    """Guards against a job given up for planned departures whose announcements were read late."""
    core = core_with(step(1), executors=0)
    for name, at in (("e0", 1.0), ("e1", 3.0)):
        _crash_draining(core, name, at)
    assert only_task(core).crash_history is None


@pytest.mark.parametrize("late_s", [0.0, 0.5, 3.0])
def test_a_draining_executor_that_ends_as_announced_has_not_crashed(late_s: float) -> None:
    """Guards against a planned departure that counts as a crash."""
    core = core_with(step(1, estimate_s=30.0), executors=0)
    start_on(core, "e0", 1.0)
    ended_at = _drain(core, "e0", 1.3) + late_s
    report_partially(core, "e0", ended_at - 0.05)
    crash_executor(core, "e0", ended_at, ended_at + 0.2)
    assert only_task(core).crash_history is None


def test_an_executor_that_ends_just_before_its_announced_time_has_not_crashed() -> None:
    """Guards against a planned departure that counts as a crash for a small error of its time."""
    core = core_with(step(1, estimate_s=30.0), executors=0)
    start_on(core, "e0", 1.0)
    ended_at = _drain(core, "e0", 1.3) - 0.2
    report_partially(core, "e0", ended_at - 0.05)
    crash_executor(core, "e0", ended_at, ended_at + 0.2)
    assert only_task(core).crash_history is None


def test_a_later_entry_with_less_remaining_time_moves_the_announced_time() -> None:
    """Guards against a planned departure that counts as a crash: its first entry was read late."""
    core = core_with(step(1, estimate_s=30.0), executors=0)
    start_on(core, "e0", 1.0)
    _drain(core, "e0", 1.3)
    ended_at = _drain(core, "e0", 1.5, remaining_s=0.8)
    report_partially(core, "e0", ended_at - 0.05)
    crash_executor(core, "e0", ended_at, ended_at + 0.2)
    assert only_task(core).crash_history is None


def test_a_draining_executor_found_ended_long_after_it_left_has_not_crashed() -> None:
    """Guards against a planned departure that counts as a crash as it was silent before its end.

    The executor ended as announced; the first unanswered call followed, and its end is found later.
    """
    core = core_with(step(1, estimate_s=30.0), executors=0)
    start_on(core, "e0", 1.0)
    leaves_at = _drain(core, "e0", 1.3)
    report_partially(core, "e0", leaves_at - 0.1)
    crash_executor(core, "e0", leaves_at + 0.05, leaves_at + 4.0)
    assert only_task(core).crash_history is None


def test_an_early_end_without_runs_counts_for_no_task() -> None:
    """Guards against a crash counted for a task that was not on the executor."""
    core = core_with(step(1), executors=0)
    crash_at_once(core, "e0", 1.0)
    start_on(core, "e1", 3.0)
    start = only_task(core).attempts[0]
    report_ends(core, "e1", asked=3.01, now=3.02)
    core.close_attempt(start, 3.05)
    _drain(core, "e1", 3.1)
    crash_executor(core, "e1", 3.3, 3.4)
    history = only_task(core).crash_history
    assert history and history.crash_count == 1


def test_a_crash_while_draining_is_not_one_of_the_two_certain_crashes() -> None:
    """Guards against a job given up after a single certain crash.

    An executor that is told to leave may be stopped before its announced time.
    """
    core = core_with(step(1), executors=0)
    crash_at_once(core, "e0", 1.0)
    for name, at in (("e1", 3.0), ("e2", 5.0)):
        _crash_draining(core, name, at)
        core.tick(at + 0.2 + GIVE_UP_DELAY_S)
    assert core.finished == []


def test_crashes_while_draining_count_towards_the_limit() -> None:
    """Guards against a sixth start of a task under which five executors crashed.

    Three crashes are certain, and two were on draining executors.
    """
    core = core_with(step(1, estimate_s=60.0), executors=0)
    at = 1.0
    for name, draining in (("e0", False), ("e1", True), ("e2", True), ("e3", False), ("e4", False)):
        if not core.finished:
            (_crash_draining if draining else crash_under_older_run)(core, name, at)
            core.tick(at + 7.0)
        at += 8.0
    assert len(core.finished) == 1


def test_an_announcement_that_was_known_takes_no_early_end_back() -> None:
    """Guards against BUDGET: the entry of a crashed executor, listed again, retracted its crash."""
    core = core_with(step(1), executors=0)
    crash_at_once(core, "before", 0.5)
    _crash_draining(core, "e0", 1.0)
    _list_announced(core, "e0", REMAINING_S)
    history = only_task(core).crash_history
    assert history and history.crash_count == 2


def test_a_shorter_announcement_that_is_read_later_takes_an_early_end_back() -> None:
    """Guards against a planned departure that counts as a crash: its last entry was read late."""
    core = core_with(step(1), executors=0)
    crash_at_once(core, "before", 0.5)
    _crash_draining(core, "e0", 1.0)
    _list_announced(core, "e0", 0.1)
    history = only_task(core).crash_history
    assert history and history.crash_count == 1


def test_an_early_end_counts_once_an_executor_crashes_under_the_task() -> None:
    """Guards against a sixth start of a task whose first executor crashed while it drained."""
    core = core_with(step(1), executors=0)
    _crash_draining(core, "e0", 1.0)
    crash_at_once(core, "e1", 3.0)
    history = only_task(core).crash_history
    assert history and (history.crash_count, history.certain_count) == (2, 1)


def test_an_early_end_whose_executor_left_as_planned_never_counts() -> None:
    """Guards against a planned departure that counts as a crash once another executor crashes."""
    core = core_with(step(1), executors=0)
    start_on(core, "e0", 1.0)
    record = core.executors["e0"].record
    _drain(core, "e0", 1.05)
    crash_executor(core, "e0", 1.1, 1.2)
    retract_crash_of(core, record, 1.5)
    crash_at_once(core, "e1", 3.0)
    history = only_task(core).crash_history
    assert history and history.crash_count == 1


def test_a_task_is_not_started_a_sixth_time_after_a_first_crash_while_draining() -> None:
    """Guards against BUDGET: others crashed at the same time, so that the fourth decided nothing.

    The first executor crashes while it drains, the next four under older runs of the task.
    """
    core = core_with(step(1, estimate_s=60.0), executors=0)
    _crash_draining(core, "e0", 1.0)
    let_crashes_reach_limit(core, 3.0)
    assert len(core.finished) == 1
