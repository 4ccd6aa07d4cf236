"""What disturbs what is learnt from rough figures, and acted on."""

from __future__ import annotations

from random import Random

import pytest

from linkspan.shard.colocation import UNLOADED, ColocationBook, pressure_of
from linkspan.shard.core import ShardCore
from linkspan.shard.executor import ExecutorState
from linkspan.shard.pacing import STAND_STILL_AFTER_S, Pacer
from linkspan.shard.state import Attempt, Phase, ShardJob, new_run
from tests.hall_world import step
from tests.shard.test_core import core_with, submitted


def place(core: ShardCore, executor: ExecutorState, **fields: object) -> Attempt:
    """Put a running task of a new step on an executor."""
    job = ShardJob(submitted(step(1, **fields)), service="pool")
    task = new_run(job, 0).steps[0].tasks[0]
    attempt = Attempt(task, len(executor.attempts) + 1, executor.executor_id, Phase.RUNNING, 0.0)
    task.attempts.append(attempt)
    executor.add(attempt)
    return attempt


def figures(attempt: Attempt, pressure: float) -> None:
    attempt.usage = 10.0 * UNLOADED / (1.0 - min(pressure, 0.98))


@pytest.mark.parametrize("seed", range(4))
def test_a_harmful_image_is_told_from_a_harmless_one(seed: int) -> None:
    random = Random(seed)
    core = core_with(step(1), executors=1)
    executor = core.executors["e0"]
    serving = place(core, executor, standing=True, image="s", latency_target_ms=10.0)
    bad = place(core, executor, best_effort=True, image="bad", cpu=3_000)
    good = place(core, executor, best_effort=True, image="good", cpu=3_000)
    book = ColocationBook()
    for second in range(120):
        bad.usage = random.choice((0.0, 3_000.0))
        good.usage = random.choice((0.0, 3_000.0))
        scale = 32_000 / executor.record.capacity.milli_cpu
        load = 0.4 + random.uniform(-0.1, 0.1)
        figures(serving, load + 0.03 * scale * (bad.usage or 0.0) / 1_000)
        book.learn(executor, second * 0.5)
    assert book.effect("s", "bad") > 0.02
    assert book.effect("s", "good") < 0.01


def test_pressure_rises_with_latency() -> None:
    ratios = (0.1, 0.2, 0.5, 1.0, 5.0)
    assert [pressure_of(r) for r in ratios] == sorted(pressure_of(r) for r in ratios)


def test_neighbours_stand_still_before_a_task_counts_as_harmed() -> None:
    core = core_with(step(1), executors=1)
    executor = core.executors["e0"]
    serving = place(core, executor, standing=True, image="s", latency_target_ms=10.0)
    neighbour = place(core, executor, best_effort=True, image="b", cpu=3_000)
    neighbour.usage = 3_000.0
    pacer = Pacer(core, core.colocation)
    now = 0.0
    while now <= STAND_STILL_AFTER_S + 0.6:
        serving.usage = 30.0
        pacer.on_report(executor, now)
        now += 0.5
    assert neighbour.pace == 0


def test_neighbours_speed_up_when_there_is_room() -> None:
    core = core_with(step(1), executors=1)
    executor = core.executors["e0"]
    serving = place(core, executor, standing=True, image="s", latency_target_ms=10.0)
    neighbour = place(core, executor, best_effort=True, image="b", cpu=3_000)
    neighbour.pace = 0
    neighbour.usage = 0.0
    pacer = Pacer(core, core.colocation)
    for tick in range(20):
        figures(serving, 0.2)
        pacer.on_report(executor, tick * 0.6)
    assert neighbour.pace == 100
