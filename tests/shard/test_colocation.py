"""Tests learning interference from noisy latencies, and pacing best-effort tasks by it."""

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
from tests.shard.builders import JOB, confirm_start, core_with, place_running, plan, submitted_job


def set_latency(attempt: Attempt, pressure: float) -> None:
    """Set the latency that a task reports under a pressure."""
    attempt.usage = 10.0 * UNLOADED_LATENCY_RATIO / (1.0 - min(pressure, 0.98))


@pytest.mark.parametrize("seed", range(4))
def test_a_harmful_image_is_distinguished_from_a_harmless_one(seed: int) -> None:
    random = Random(seed)
    core = core_with(step(1), executors=1)
    executor = core.executors["e0"]
    serving = place_running(core, executor, standing=True, image="s", latency_target_ms=10.0)
    harmful = place_running(core, executor, best_effort=True, image="bad", cpu=3_000)
    harmless = place_running(core, executor, best_effort=True, image="good", cpu=3_000)
    interference = InterferenceEstimator()
    for second in range(120):
        harmful.usage = random.choice((0.0, 3_000.0))
        harmless.usage = random.choice((0.0, 3_000.0))
        scale = 32_000 / executor.record.capacity.milli_cpu
        load = 0.4 + random.uniform(-0.1, 0.1)
        set_latency(serving, load + 0.03 * scale * (harmful.usage or 0.0) / 1_000)
        interference.learn(executor, second * 0.5)
    assert interference.effect("s", "bad") > 0.02
    assert interference.effect("s", "good") < 0.01


def test_pressure_rises_with_latency() -> None:
    ratios = (0.1, 0.2, 0.5, 1.0, 5.0)
    assert [pressure_of(r) for r in ratios] == sorted(pressure_of(r) for r in ratios)


def _serving_with_neighbour() -> tuple[ShardCore, Attempt, Attempt]:
    core = core_with(step(1), executors=1)
    executor = core.executors["e0"]
    serving = place_running(core, executor, standing=True, image="s", latency_target_ms=10.0)
    return core, serving, place_running(core, executor, best_effort=True, image="b", cpu=3_000)


def test_neighbours_are_paused_before_the_latency_limit_is_exceeded() -> None:
    core, serving, neighbour = _serving_with_neighbour()
    executor = core.executors["e0"]
    neighbour.usage = 3_000.0
    pacer = Pacer(core, core.interference)
    now = 0.0
    while now <= PAUSE_ALL_AFTER_S + 0.6:
        serving.usage = 30.0
        pacer.on_report(executor, now, now)
        now += 0.5
    assert neighbour.pace == 0


def test_neighbours_speed_up_when_the_load_is_low() -> None:
    core, serving, neighbour = _serving_with_neighbour()
    executor = core.executors["e0"]
    neighbour.pace = 0
    neighbour.usage = 0.0
    pacer = Pacer(core, core.interference)
    for tick in range(20):
        set_latency(serving, 0.2)
        pacer.on_report(executor, tick * 0.6, 0.0)
    assert neighbour.pace == 100


def test_the_load_of_one_replica_predicts_that_of_another() -> None:
    core = core_with(step(1), executors=2)
    job = ShardJob(submitted_job(step(2, standing=True, image="s", latency_target_ms=10.0)))
    tasks = new_run(job, 0).steps[0].tasks
    attempts = []
    for task, executor in zip(tasks, core.executors.values(), strict=True):
        attempt = Attempt(task, 1, executor.executor_id, Phase.RUNNING, 0.0)
        task.attempts.append(attempt)
        executor.add(attempt)
        attempts.append(attempt)
    interference = InterferenceEstimator()
    for tick in range(12):
        set_latency(attempts[0], 0.7)
        interference.learn(core.executors["e0"], tick * 0.5)
    assert interference.load(attempts[1], 6.0) == pytest.approx(0.7, abs=0.05)


def test_a_rising_load_is_extrapolated() -> None:
    core = core_with(step(1), executors=1)
    serving = place_running(
        core, core.executors["e0"], standing=True, image="s", latency_target_ms=10.0
    )
    interference = InterferenceEstimator()
    for tick in range(1, 9):
        set_latency(serving, 0.3 + 0.06 * tick)
        interference.learn(core.executors["e0"], tick * 0.5)
    # The last sample is 0.78 at 4.0 s and covers the half second before.
    assert interference.load(serving, 4.0) > 0.8


def test_the_most_urgent_neighbour_keeps_its_pace() -> None:
    core = core_with(step(1), executors=1)
    executor = core.executors["e0"]
    serving = place_running(core, executor, standing=True, image="s", latency_target_ms=10.0)
    urgent, overdue = (
        place_running(core, executor, best_effort=True, image="b", cpu=3_000) for _ in range(2)
    )
    urgent.task.step.run.job.objective_s = 100.0
    overdue.task.step.run.job.objective_s = 0.1
    pacer = Pacer(core, core.interference)
    for tick in range(30):
        for neighbour in (urgent, overdue):
            neighbour.usage = 3_000.0 * neighbour.pace / 100
        used = (urgent.pace + overdue.pace) / 100
        set_latency(serving, 0.4 + 0.3 * used)
        pacer.on_report(executor, tick * 0.6, 10.0)
    assert urgent.pace > 80
    assert overdue.pace < 50


def test_the_pace_of_a_recovered_run_is_set_again() -> None:
    """Guards against a run left paused by its previous owner and assumed to run at full speed."""
    core = core_with(step(1, best_effort=True, image="b"), executors=1)
    name = core.jobs[JOB].runs[0].steps[0].tasks[0].name
    row = RunningTask(name, 1, "", 40, 0.0)
    core.on_report("e0", ExecutorReport(1.0, (row,), ()), asked=0.5, now=1.0)
    core.orders.clear()
    Pacer(core, core.interference).on_report(core.executors["e0"], 1.0, 1.0)
    assert core.orders == [PaceOrder("e0", name, 1, 100)]


def test_a_run_started_on_a_loaded_executor_is_slowed_at_once() -> None:
    core = core_with(step(1, standing=True, image="s", latency_target_ms=10.0), executors=1)
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.2)
    executor = core.executors["e0"]
    (serving,) = executor.latency_targeted()
    for tick in range(12):
        set_latency(serving, 0.74)
        core.interference.learn(executor, tick * 0.5)
    neighbour = step(1, best_effort=True, image="b", cpu=6_000)
    spec = JobSpec("00000000000000bb", QUEUE.name, "text", (neighbour,))
    core.add_job(Submitted(spec, 0, 0.0, "host"), 0.0)
    # The task has waited so long that it starts although the executor has no capacity left.
    (order,) = plan(core, 6.0)
    confirm_start(core, order, 6.1)
    (pace,) = core.orders
    assert isinstance(pace, PaceOrder)
    assert pace.percent < 50


def test_an_adopted_effect_keeps_a_variance_that_can_be_published() -> None:
    """Guards against an effect with a negative variance, which ends its owner's host.

    Latencies cover the half second before them, so one may be older than an adopted effect. Another
    hall publishes an effect that it knows well with a variance of 0, which the next latency took
    below 0. The owner then failed to publish, and readers of earlier summaries skipped all that the
    hall published.
    """
    core = core_with(step(1), executors=1)
    executor = core.executors["e0"]
    serving = place_running(core, executor, standing=True, image="s", latency_target_ms=10.0)
    neighbour = place_running(core, executor, best_effort=True, image="b", cpu=3_000)
    neighbour.usage = 3_000.0
    interference = InterferenceEstimator()
    selector = EffectSelector()
    selector.select(interference.effects())
    for tick in range(20):
        interference.adopt([PairEffect("s", "b", 0.05, 0.0)], 0.1 + 0.5 * tick)
        set_latency(serving, 0.5)
        interference.learn(executor, 0.1 + 0.5 * tick)
        assert all(effect.variance >= 0.0 for effect in interference.effects())
        summary = HallSummary(effects=selector.select(interference.effects()))
        assert len(HallSummary.decode(summary.encode()).effects) == 1
