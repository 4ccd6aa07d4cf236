"""Tests where an evacuated hall's waiting work goes, and that none comes to it."""

from __future__ import annotations

from dataclasses import replace

from linkspan.jobs.records import Delegation
from linkspan.model.evacuation import Evacuation
from linkspan.shard.core import ShardCore
from linkspan.shard.handover.rebalance import Rebalancer
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.handover.summary import HallSummary
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan, submitted_job
from tests.shard.test_rebalance import EMPTY, FULL

EVACUATION = Evacuation("east", 4, 0.0)
SOON_S = 0.01
"""Time after which work is handed over: sooner than any delay meant for a hall that may free
capacity by itself."""


def rebalancer(core: ShardCore, halls: dict[int, HallSummary], *, capable: int = 2) -> Rebalancer:
    return Rebalancer(core, summaries=lambda: dict(halls), count_capable=lambda *_: capable)


def test_a_job_that_has_not_begun_leaves_at_once() -> None:
    for kind in (step(2), step(2, best_effort=True), step(2, standing=True), step(2, gang=True)):
        core = core_with(kind)
        assert rebalancer(core, {1: EMPTY}).plan(summarize(core, SOON_S), SOON_S) == []
        core.evacuate(EVACUATION, 0.0)
        (handover,) = rebalancer(core, {1: EMPTY}).plan(summarize(core, SOON_S), SOON_S)
        assert (handover.job_id, handover.shard, handover.tasks) == (JOB, 1, None)


def test_standing_tasks_of_a_job_that_runs_are_delegated_at_once() -> None:
    core = core_with(step(3, standing=True, cpu=6_000, max_per_executor=1))
    assert len(plan(core, 0.1)) == 2
    core.evacuate(EVACUATION, 0.15)
    (handover,) = rebalancer(core, {1: EMPTY}).plan(summarize(core, 0.2), 0.2)
    assert handover.tasks == ((0, 2),)


def test_a_task_delegated_to_an_evacuated_hall_returns_at_once() -> None:
    core = core_with(executors=1)
    core.jobs.clear()
    submitted = replace(submitted_job(step(2, standing=True)), shard=1)
    core.add_job(submitted, 0.1, delegated_here=[Delegation(0, 1, 1)])
    core.evacuate(EVACUATION, 0.1)
    (handover,) = rebalancer(core, {1: EMPTY}).plan(summarize(core, 0.1), 0.1 + SOON_S)
    assert (handover.shard, handover.tasks) == (1, ((0, 1),))


def test_work_goes_to_a_loaded_hall_rather_than_wait_in_an_evacuated_one() -> None:
    """Best-effort work waits there with a chance; here it has none."""
    core = core_with(step(2, best_effort=True))
    core.evacuate(EVACUATION, 0.0)
    loaded = replace(FULL, best_effort=40_000, waiting=80_000)
    (handover,) = rebalancer(core, {1: loaded}).plan(summarize(core, SOON_S), SOON_S)
    assert handover.shard == 1


def test_reserved_work_goes_to_the_hall_with_the_shortest_queue_if_none_has_room() -> None:
    core = core_with(step(2))
    core.evacuate(EVACUATION, 0.0)
    halls = {1: replace(FULL, queued=9_000), 2: replace(FULL, queued=1_000)}
    (handover,) = rebalancer(core, halls).plan(summarize(core, SOON_S), SOON_S)
    assert handover.shard == 2


def test_a_job_that_no_hall_can_run_at_once_leaves_an_evacuated_hall() -> None:
    """Guards against a job that waits for the end of the evacuation, as its spread limit is narrow.

    The other hall runs its tasks one after the other.
    """
    core = core_with(step(4, max_per_executor=1))
    core.evacuate(EVACUATION, 0.0)
    for hall in (EMPTY, FULL):
        (handover,) = rebalancer(core, {1: hall}).plan(summarize(core, SOON_S), SOON_S)
        assert (handover.shard, handover.tasks) == (1, None)


def test_work_that_no_other_hall_can_run_waits() -> None:
    core = core_with(step(2), step(1, standing=True))
    core.evacuate(EVACUATION, 0.0)
    halls = rebalancer(core, {1: EMPTY}, capable=0)
    assert halls.plan(summarize(core, SOON_S), SOON_S) == []


def test_no_work_goes_to_a_hall_that_publishes_no_room() -> None:
    """The other halls' owners may read the evacuation a moment later than its owner."""
    evacuated = core_with(step(1))
    evacuated.evacuate(EVACUATION, 0.0)
    summary = summarize(evacuated, 0.1)
    for kind in (step(2), step(2, best_effort=True), step(2, standing=True)):
        core = core_with(kind, executors=0)
        assert rebalancer(core, {1: summary}).plan(summarize(core, 9.0), 9.0) == []
