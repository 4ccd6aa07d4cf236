"""Tests of the choice of the hall that accepts a new job."""

from __future__ import annotations

from dataclasses import replace

from linkspan.host.shards import ShardChooser
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from linkspan.model.settings import HostSettings, StoreLimits
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorKind
from tests.job_builders import QUEUE, step

HALLS = ("east", "west")
SETTINGS = HostSettings("host", "east", HALLS, "", "", StoreLimits(""))


CAPACITY = Demand(8_000, 32_000)
ONE = (ExecutorKind(QUEUE.service, CAPACITY, frozenset(), 1),)
"""The executor kinds that a hall of one executor publishes."""


def choose(summaries: dict[int, HallSummary], *steps: StepSpec, times: int = 1) -> list[int]:
    chooser = ShardChooser(SETTINGS, summaries.get)
    spec = JobSpec("00000000000000aa", QUEUE.name, "text", steps)
    return [chooser.choose(spec, QUEUE) for _ in range(times)]


def hall(free: int, *, queued: int = 0) -> HallSummary:
    return HallSummary(
        capacity=8_000, free=free, queued=queued, free_by_executor=((free, 32_000),), kinds=ONE
    )


def test_short_work_stays_in_its_hall_while_that_has_capacity() -> None:
    assert choose({0: hall(4_000), 1: hall(8_000)}, step(2)) == [0]


def test_short_work_goes_where_there_is_capacity() -> None:
    assert choose({0: hall(1_000), 1: hall(8_000)}, step(2)) == [1]
    assert choose({0: hall(4_000, queued=4_000), 1: hall(8_000)}, step(2)) == [1]


def test_own_choices_count_before_the_hall_publishes_them() -> None:
    assert choose({0: hall(4_000), 1: hall(8_000)}, step(2), times=3) == [0, 0, 1]


def test_without_summaries_or_capacity_work_stays() -> None:
    assert choose({}, step(2)) == [0]
    assert choose({0: hall(0), 1: hall(0)}, step(2)) == [0]


def test_a_hall_that_cannot_run_a_step_gets_no_job_that_another_can_run() -> None:
    gpus = ExecutorKind(QUEUE.service, Demand(8_000, 32_000, 1), frozenset({"kind-g"}), 1)
    west = replace(hall(0), kinds=(gpus,))
    assert choose({0: hall(8_000), 1: west}, replace(step(1), label="kind-g")) == [1]
    other = replace(gpus, service="other")
    assert choose({0: hall(8_000), 1: replace(west, kinds=(other,))}, step(1)) == [0]


def test_a_hall_that_publishes_no_kinds_is_assumed_to_be_able() -> None:
    """The hall's owner has an earlier version, or is new; it hands over what cannot run there."""
    without_kinds = replace(hall(8_000), kinds=None)
    assert choose({0: without_kinds, 1: hall(0)}, step(2)) == [0]
    assert choose({0: hall(0), 1: without_kinds}, step(2)) == [1]


def choose_beside_evacuations(
    evacuated: set[str], summaries: dict[int, HallSummary], *steps: StepSpec
) -> int:
    chooser = ShardChooser(SETTINGS, summaries.get, evacuated=evacuated.__contains__)
    return chooser.choose(JobSpec("00000000000000aa", QUEUE.name, "text", steps), QUEUE)


def test_an_evacuated_hall_gets_no_job_that_another_hall_can_run() -> None:
    kinds_of_work = (step(2), step(2, standing=True), step(2, best_effort=True))
    for work in kinds_of_work:
        full = {0: hall(8_000), 1: hall(-8_000, queued=90_000)}
        assert choose_beside_evacuations({"east"}, full, work) == 1
        assert choose_beside_evacuations({"west"}, {0: hall(0), 1: hall(8_000)}, work) == 0


def test_a_job_that_only_an_evacuated_hall_can_run_waits_there() -> None:
    """Refusing it would say that it never runs; it starts when the evacuation ends."""
    gpus = ExecutorKind(QUEUE.service, Demand(8_000, 32_000, 1), frozenset({"kind-g"}), 1)
    halls = {0: replace(hall(0), kinds=(gpus,)), 1: hall(8_000)}
    assert choose_beside_evacuations({"east"}, halls, replace(step(1), label="kind-g")) == 0


def test_data_in_an_evacuated_hall_does_not_keep_a_job_there() -> None:
    rack = ExecutorKind(QUEUE.service, CAPACITY, frozenset({"r1-1"}), 1)
    halls = {0: replace(hall(8_000), kinds=(rack,)), 1: hall(8_000)}
    work = replace(step(1), data_rack="r1-1")
    assert choose_beside_evacuations(set(), halls, work) == 0
    assert choose_beside_evacuations({"east"}, halls, work) == 1


def test_jobs_are_spread_as_usual_if_all_halls_are_evacuated() -> None:
    halls = {0: hall(8_000), 1: hall(8_000)}
    assert choose_beside_evacuations({"east", "west"}, halls, step(2)) == 0
