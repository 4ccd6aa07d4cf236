"""Many standing tasks with crash histories run again in time after their executors restarted."""

from __future__ import annotations

from tests.host.restarts_of_all_executors import RestartsOfAllExecutors
from tests.job_builders import MAX_AWAY_S
from tests.virtual_time import run_virtual

THREE_HALLS = "east", "west", "north"


def test_tasks_at_their_crash_limit_run_again_in_time_after_three_restarts() -> None:
    """Guards against tasks that start one after the other, 3 s apart, on each executor.

    Three restarts of all executors under their ids leave every task one crash short of being given
    up. The hall is nearly empty: the tasks take 3.6 of 24 cores.
    """
    restarts = RestartsOfAllExecutors(
        ("east",), executors_per_hall=3, tasks=18, milli_cpu=200, restarts=3
    )
    assert run_virtual(restarts.play()) <= MAX_AWAY_S


def test_tasks_of_one_job_run_again_in_time_after_two_restarts_in_three_halls() -> None:
    """Guards against isolated tasks that go from hall to hall, one or two a second starting.

    Each handover begins the wait for isolation anew, and a job has one handover at a time.
    """
    restarts = RestartsOfAllExecutors(
        THREE_HALLS, executors_per_hall=7, tasks=17, milli_cpu=400, restarts=2
    )
    assert run_virtual(restarts.play()) <= MAX_AWAY_S


def test_many_tasks_at_their_crash_limit_run_again_in_time_in_three_halls() -> None:
    """Guards against both causes together, in halls that could run all tasks at once."""
    restarts = RestartsOfAllExecutors(
        THREE_HALLS, executors_per_hall=3, tasks=40, milli_cpu=400, restarts=3, run_between=False
    )
    assert run_virtual(restarts.play()) <= MAX_AWAY_S


def test_tasks_run_again_in_time_after_one_restart_in_three_halls() -> None:
    """Guards against waits of tasks under which only one executor crashed."""
    restarts = RestartsOfAllExecutors(
        THREE_HALLS, executors_per_hall=7, tasks=17, milli_cpu=400, restarts=1
    )
    assert run_virtual(restarts.play()) <= MAX_AWAY_S
