"""Tests when a hall gives back a delegated task that waits there."""

from __future__ import annotations

from linkspan.model.evacuation import Evacuation
from linkspan.shard.core import ShardCore
from linkspan.shard.handover._task_waits import (
    ARRIVED_HANDOVER_WAIT_S,
    MAX_FAST_SEARCH_S,
    RETURN_DELAY_S,
    RETURN_SHARE,
    STANDING_DEADLINE_S,
)
from linkspan.shard.handover.rebalance import FULL_HALLS_RETURN_DELAY_S, Rebalancer
from linkspan.shard.handover.summary import HallSummary
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan

ARRIVED_AT = 1.0
FULL = HallSummary(capacity=8_000, free_by_executor=((0, 0),))
ROOMY = HallSummary(capacity=8_000, free=8_000, free_by_executor=((8_000, 32_000),))


def _core_with_delegated_task(waited_s: float = ARRIVED_AT) -> ShardCore:
    """Return the core of a full hall to which another one has delegated a task.

    Args:
        waited_s: Seconds that the task had waited when it arrived.
    """
    core = core_with(step(1, standing=True, cpu=4_000), executors=0)
    job = core.jobs[JOB]
    job.delegated_here = True
    for task in job.runs[0].tasks():
        task.ready_since = ARRIVED_AT
        task.waiting_since = ARRIVED_AT - waited_s
    plan(core, ARRIVED_AT)
    return core


def _returned(core: ShardCore, home: HallSummary, now: float) -> bool:
    rebalancer = Rebalancer(core, summaries=lambda: {1: home}, count_capable=lambda *_: 1)
    return bool(rebalancer.plan(FULL, now))


def test_a_task_stays_for_a_while_where_no_hall_has_room() -> None:
    """Guards against displaced tasks that all wait in one hall, while others start later ones.

    Executors that are replaced displace tasks in every hall. Each hall's next executors serve the
    longest waits there, so a task that goes back home at once loses its place.
    """
    core = _core_with_delegated_task()
    assert not _returned(core, FULL, ARRIVED_AT + RETURN_DELAY_S + 0.1)
    assert _returned(core, FULL, ARRIVED_AT + FULL_HALLS_RETURN_DELAY_S)


def test_a_task_returns_soon_where_another_hall_has_room() -> None:
    """Guards against tasks that wait in a full hall beside room in another one."""
    core = _core_with_delegated_task()
    assert not _returned(core, ROOMY, ARRIVED_AT + RETURN_DELAY_S - 0.1)
    assert _returned(core, ROOMY, ARRIVED_AT + RETURN_DELAY_S)


def test_a_task_that_has_waited_elsewhere_returns_in_a_share_of_the_time_left() -> None:
    """Guards against waits of one task in several halls that are each bounded, but not their sum.

    A second in each full hall, beside room in another one, takes up the time that a task has.
    """
    waited_s = 4.0
    core = _core_with_delegated_task(waited_s)
    share_s = RETURN_SHARE * (STANDING_DEADLINE_S - waited_s)
    assert not _returned(core, ROOMY, ARRIVED_AT + ARRIVED_HANDOVER_WAIT_S)
    assert _returned(core, ROOMY, ARRIVED_AT + share_s)


def test_a_task_past_its_deadline_returns_at_once_where_another_hall_has_room() -> None:
    """Guards against a task that spends time that it does not have."""
    core = _core_with_delegated_task(STANDING_DEADLINE_S)
    assert _returned(core, ROOMY, ARRIVED_AT + ARRIVED_HANDOVER_WAIT_S + 0.01)


def test_a_task_that_no_hall_could_run_for_long_does_not_go_to_and_fro() -> None:
    """Guards against records of handovers without end for a task that seems to have room."""
    core = _core_with_delegated_task(MAX_FAST_SEARCH_S)
    assert not _returned(core, ROOMY, ARRIVED_AT + RETURN_DELAY_S - 0.1)
    assert _returned(core, ROOMY, ARRIVED_AT + RETURN_DELAY_S)


def test_a_task_leaves_an_evacuated_hall_at_once() -> None:
    """Guards against tasks that wait in a hall that starts nothing."""
    core = _core_with_delegated_task()
    core.evacuate(Evacuation("east", 1, ARRIVED_AT), ARRIVED_AT)
    assert _returned(core, FULL, ARRIVED_AT + 0.1)
