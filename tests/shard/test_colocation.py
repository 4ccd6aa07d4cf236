"""What disturbs what is learnt from rough figures, and acted on."""

from __future__ import annotations

from random import Random

import pytest

from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec
from linkspan.shard.attempt import Attempt, Phase
from linkspan.shard.colocation._effect_selector import EffectSelector
from linkspan.shard.colocation.interference import (
    UNLOADED_LATENCY_RATIO,
    InterferenceEstimator,
    pressure_of,
)
from linkspan.shard.colocation.pacing import PAUSE_ALL_AFTER_S, Pacer
from linkspan.shard.core import ShardCore
from linkspan.shard.handover.summary import HallSummary, PairEffect
from linkspan.shard.job_run import new_run
from linkspan.shard.messages import ExecutorReport, PaceOrder, RunningTask
from linkspan.shard.shard_job import ShardJob
from tests.job_builders import QUEUE, step
from tests.shard.builders import JOB, core_with, place, plan, started, submitted


def figures(attempt: Attempt, pressure: float) -> None:
    attempt.usage = 10.0 * UNLOADED_LATENCY_RATIO / (1.0 - min(pressure, 0.98))


@pytest.mark.parametrize("seed", range(4))
def test_a_harmful_image_is_told_from_a_harmless_one(seed: int) -> None:
    random = Random(seed)
    core = core_with(step(1), executors=1)
    executor = core.executors["e0"]
    serving = place(core, executor, standing=True, image="s", latency_target_ms=10.0)
    bad = place(core, executor, best_effort=True, image="bad", cpu=3_000)
    good = place(core, executor, best_effort=True, image="good", cpu=3_000)
    interference = InterferenceEstimator()
    for second in range(120):
        bad.usage = random.choice((0.0, 3_000.0))
        good.usage = random.choice((0.0, 3_000.0))
        scale = 32_000 / executor.record.capacity.milli_cpu
        load = 0.4 + random.uniform(-0.1, 0.1)
        figures(serving, load + 0.03 * scale * (bad.usage or 0.0) / 1_000)
        interference.learn(executor, second * 0.5)
    assert interference.effect("s", "bad") > 0.02
    assert interference.effect("s", "good") < 0.01


def test_pressure_rises_with_latency() -> None:
    ratios = (0.1, 0.2, 0.5, 1.0, 5.0)
    assert [pressure_of(r) for r in ratios] == sorted(pressure_of(r) for r in ratios)


def _serving_beside_a_neighbour() -> tuple[ShardCore, Attempt, Attempt]:
    core = core_with(step(1), executors=1)
    executor = core.executors["e0"]
    serving = place(core, executor, standing=True, image="s", latency_target_ms=10.0)
    return core, serving, place(core, executor, best_effort=True, image="b", cpu=3_000)


def test_neighbours_stand_still_before_a_task_counts_as_harmed() -> None:
    core, serving, neighbour = _serving_beside_a_neighbour()
    executor = core.executors["e0"]
    neighbour.usage = 3_000.0
    pacer = Pacer(core, core.interference)
    now = 0.0
    while now <= PAUSE_ALL_AFTER_S + 0.6:
        serving.usage = 30.0
        pacer.on_report(executor, now, now)
        now += 0.5
    assert neighbour.pace == 0


def test_neighbours_speed_up_when_there_is_room() -> None:
    core, serving, neighbour = _serving_beside_a_neighbour()
    executor = core.executors["e0"]
    neighbour.pace = 0
    neighbour.usage = 0.0
    pacer = Pacer(core, core.interference)
    for tick in range(20):
        figures(serving, 0.2)
        pacer.on_report(executor, tick * 0.6, 0.0)
    assert neighbour.pace == 100


def test_replicas_of_one_step_tell_of_each_others_load() -> None:
    core = core_with(step(1), executors=2)
    job = ShardJob(submitted(step(2, standing=True, image="s", latency_target_ms=10.0)))
    tasks = new_run(job, 0).steps[0].tasks
    attempts = []
    for task, executor in zip(tasks, core.executors.values(), strict=True):
        attempt = Attempt(task, 1, executor.executor_id, Phase.RUNNING, 0.0)
        task.attempts.append(attempt)
        executor.add(attempt)
        attempts.append(attempt)
    interference = InterferenceEstimator()
    for tick in range(12):
        figures(attempts[0], 0.7)
        interference.learn(core.executors["e0"], tick * 0.5)
    assert interference.load(attempts[1], 6.0) == pytest.approx(0.7, abs=0.05)


def test_a_rising_load_is_foreseen() -> None:
    core = core_with(step(1), executors=1)
    serving = place(core, core.executors["e0"], standing=True, image="s", latency_target_ms=10.0)
    interference = InterferenceEstimator()
    for tick in range(1, 9):
        figures(serving, 0.3 + 0.06 * tick)
        interference.learn(core.executors["e0"], tick * 0.5)
    # Seen last: 0.78 at 4.0 s, over the half second before it.
    assert interference.load(serving, 4.0) > 0.8


def test_the_most_urgent_neighbour_keeps_its_pace() -> None:
    core = core_with(step(1), executors=1)
    executor = core.executors["e0"]
    serving = place(core, executor, standing=True, image="s", latency_target_ms=10.0)
    urgent, hopeless = (
        place(core, executor, best_effort=True, image="b", cpu=3_000) for _ in range(2)
    )
    urgent.task.step.run.job.objective_s = 100.0
    hopeless.task.step.run.job.objective_s = 0.1
    pacer = Pacer(core, core.interference)
    for tick in range(30):
        for neighbour in (urgent, hopeless):
            neighbour.usage = 3_000.0 * neighbour.pace / 100
        used = (urgent.pace + hopeless.pace) / 100
        figures(serving, 0.4 + 0.3 * used)
        pacer.on_report(executor, tick * 0.6, 10.0)
    assert urgent.pace > 80
    assert hopeless.pace < 50


def test_a_run_that_was_taken_over_is_paced_anew() -> None:
    """Its former owner may have stopped it; the new one believed in full speed."""
    core = core_with(step(1, best_effort=True, image="b"), executors=1)
    name = core.jobs[JOB].runs[0].steps[0].tasks[0].name
    row = RunningTask(name, 1, "", 40, 0.0)
    core.on_report("e0", ExecutorReport(1.0, (row,), ()), asked=0.5, now=1.0)
    core.orders.clear()
    Pacer(core, core.interference).on_report(core.executors["e0"], 1.0, 1.0)
    assert core.orders == [PaceOrder("e0", name, 1, 100)]


def test_a_run_that_starts_where_little_is_left_is_slowed_at_once() -> None:
    core = core_with(step(1, standing=True, image="s", latency_target_ms=10.0), executors=1)
    (order,) = plan(core, 0.1)
    started(core, order, 0.2)
    executor = core.executors["e0"]
    (serving,) = executor.latency_targeted()
    for tick in range(12):
        figures(serving, 0.74)
        core.interference.learn(executor, tick * 0.5)
    neighbour = step(1, best_effort=True, image="b", cpu=6_000)
    spec = JobSpec("00000000000000bb", QUEUE.name, "text", (neighbour,))
    core.add_job(Submitted(spec, 0, 0.0, "host"), 0.0)
    # It has waited for so long that it starts although there is no room for it.
    (order,) = plan(core, 6.0)
    started(core, order, 6.1)
    (pace,) = core.orders
    assert isinstance(pace, PaceOrder)
    assert pace.percent < 50


def test_an_effect_that_was_just_adopted_keeps_a_variance_that_can_be_told() -> None:
    """Figures cover the half second before them, so one may be older than what was adopted.

    An effect that another hall knows well is told with a variance of 0. It fell below 0 with
    the next figure: its owner's news failed, and with them the host; readers of earlier news
    passed over all that the hall told.
    """
    core = core_with(step(1), executors=1)
    executor = core.executors["e0"]
    serving = place(core, executor, standing=True, image="s", latency_target_ms=10.0)
    beside = place(core, executor, best_effort=True, image="b", cpu=3_000)
    beside.usage = 3_000.0
    interference = InterferenceEstimator()
    news = EffectSelector()
    news.select(interference.effects())
    for tick in range(20):
        interference.adopt([PairEffect("s", "b", 0.05, 0.0)], 0.1 + 0.5 * tick)
        figures(serving, 0.5)
        interference.learn(executor, 0.1 + 0.5 * tick)
        assert all(effect.variance >= 0.0 for effect in interference.effects())
        told = HallSummary(effects=news.select(interference.effects()))
        assert len(HallSummary.decode(told.encode()).effects) == 1
