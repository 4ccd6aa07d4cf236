"""Runs leave an executor only where a new run elsewhere would end sooner.

The load: 7 percent of the executors run their tasks eight times slower for five seconds, and 3
percent of the tasks of short work, which saves no checkpoints, take seven times as long as their
siblings wherever they run. A run that is long by itself and is begun again loses all of its work.
Objectives are 1.5 to 2.2 times a job's duration, so a run on a slow executor is late unless it
leaves within about its own duration.
"""

from __future__ import annotations

import pytest

from linkspan.events import Event
from linkspan.jobs.spec import StepSpec
from linkspan.shard.messages import TaskName
from tests.job_builders import step
from tests.shard.builders import JOB
from tests.shard.stepped_hall import LONG_FACTOR, SLOWDOWN, SteppedHall

LEAVES_WITHIN_S = 1.5
"""Time within which runs leave an executor that has turned slow."""

LONG_TASK = 2
"""Index of the task that is long by itself."""


def one_long_task(name: TaskName) -> float:
    return LONG_FACTOR if (name.job_id, name.index) == (JOB, LONG_TASK) else 1.0


def play_long_task(work: StepSpec) -> SteppedHall:
    """Play a step with a long task beside work that shows the speed of the executors."""
    hall = SteppedHall(work, executors=4, length_s=one_long_task)
    for number in range(20):
        hall.add_job(f"{number:016x}", step(4, estimate_s=1.0))
        hall.play(hall.now + 0.5)
    hall.play(hall.now + 4.0)
    return hall


def test_a_task_that_is_long_by_itself_stays_where_it_is() -> None:
    hall = play_long_task(step(8, estimate_s=1.0))
    assert hall.named(Event.RUN_MOVED) == []
    assert hall.core.jobs[JOB].runs[0].done


def test_a_task_that_is_long_by_itself_gets_no_copy() -> None:
    hall = play_long_task(step(8, estimate_s=1.0, speculative=True))
    assert hall.named(Event.RUN_COPIED) == []


def test_a_run_without_reported_progress_is_moved_after_three_times_its_siblings() -> None:
    """Nothing tells a long task from a slow executor then; the bound is as before."""
    hall = SteppedHall(step(8, estimate_s=1.0), executors=4, length_s=one_long_task)
    hall.constant_percent = 0
    hall.play(6.0)
    ((at, _),) = hall.named(Event.RUN_MOVED)
    assert 4.0 <= at <= 5.5


@pytest.mark.parametrize("length_s", [1.0, 4.0])
def test_runs_leave_an_executor_soon_that_turns_slow(length_s: float) -> None:
    hall = SteppedHall(step(12, estimate_s=length_s), executors=6, length_s=lambda _name: length_s)
    hall.play(1.5)
    hall.slowdowns["e0"] = SLOWDOWN
    there = hall.runs_at("e0")
    hall.play(1.5 + LEAVES_WITHIN_S + 0.25)
    moved = hall.named(Event.RUN_MOVED)
    assert there == len(moved) == 2
    assert {fields["executor"] for _, fields in moved} == {"e0"}
    hall.play(1.5 + LEAVES_WITHIN_S + 1.0 + length_s)
    (run,) = hall.core.jobs[JOB].runs.values()
    assert run.done


def test_runs_that_may_have_copies_get_them_on_a_slow_executor() -> None:
    """A copy loses none of the work; it begins before its siblings have shown their duration."""
    work = step(12, estimate_s=4.0, speculative=True)
    hall = SteppedHall(work, executors=6, length_s=lambda _name: 4.0)
    hall.play(1.5)
    hall.slowdowns["e0"] = SLOWDOWN
    hall.play(1.5 + LEAVES_WITHIN_S + 0.25)
    assert hall.named(Event.RUN_MOVED) == []
    assert {fields["beside"] for _, fields in hall.named(Event.RUN_COPIED)} == {"e0"}


def test_a_run_that_is_nearly_done_stays_on_a_slow_executor() -> None:
    """It would lose all of its work, and ends there sooner than a new run elsewhere."""
    hall = SteppedHall(step(12, estimate_s=4.0), executors=6, length_s=lambda _name: 4.0)
    hall.play(4.25)
    hall.slowdowns["e0"] = SLOWDOWN
    hall.play(7.0)
    assert hall.named(Event.RUN_MOVED) == []


def test_a_run_that_saves_its_work_leaves_a_slow_executor_sooner() -> None:
    """Half of the work is done: begun again it would end later, resumed it ends sooner."""
    moved = {}
    for checkpoints in (False, True):
        work = step(12, estimate_s=6.0, checkpoints=checkpoints)
        hall = SteppedHall(work, executors=6, length_s=lambda _name: 6.0)
        hall.play(4.5)
        hall.slowdowns["e0"] = SLOWDOWN
        hall.play(6.5)
        moved[checkpoints] = len(hall.named(Event.RUN_MOVED))
    assert moved == {False: 0, True: 2}


def test_runs_stay_on_a_slow_executor_without_room_elsewhere() -> None:
    """A stopped run would wait, and others would take the room that becomes free."""
    hall = SteppedHall(step(24, estimate_s=4.0), executors=3, length_s=lambda _name: 4.0)
    hall.play(1.5)
    hall.slowdowns["e0"] = SLOWDOWN
    hall.play(4.0)
    assert hall.core.health.speeds.slowdown("e0") > 1.0
    assert hall.named(Event.RUN_MOVED) == []


def test_a_run_is_moved_twice_at_most() -> None:
    hall = SteppedHall(step(3, estimate_s=3.0), executors=3, length_s=lambda _name: 3.0)
    for at in range(2, 30):
        hall.slowdowns = {f"e{(at // 3) % 3}": SLOWDOWN}
        hall.play(float(at))
    moves = [str(fields["task"]) for _, fields in hall.named(Event.RUN_MOVED)]
    assert all(moves.count(task) <= 2 for task in moves)
    (run,) = hall.core.jobs[JOB].runs.values()
    assert run.done


def test_the_next_owner_moves_runs_off_a_slow_executor_too() -> None:
    """The former owner is lost right after an executor has turned slow, and published nothing."""
    hall = SteppedHall(step(12, estimate_s=6.0), executors=6, length_s=lambda _name: 6.0)
    hall.play(1.5)
    hall.slowdowns["e0"] = SLOWDOWN
    hall.lose_owner()
    hall.play(hall.now + LEAVES_WITHIN_S)
    moved = hall.named(Event.RUN_MOVED)
    assert {fields["executor"] for _, fields in moved} == {"e0"}
