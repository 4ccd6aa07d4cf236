"""Starts that follow failed runs while the store does not take their records, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from statistics import median

import orjson
import pytest

from linkspan.store.types import Partition
from tests.hall_world import HallWorld
from tests.job_builders import QUEUE, step
from tests.virtual_time import run_virtual

PROGRESS = Partition("progress", 0, keyed=True)
QUEUE_OF_TWO = replace(QUEUE, max_attempts=2)


def _recorded_failures(world: HallWorld, job_id: str) -> int:
    """Return the number of failed runs of a job's first task that the store holds."""
    key = f"{job_id}.0".encode()
    values = [entry.value for entry in world.store.log(PROGRESS).entries if entry.key == key]
    row = orjson.loads(values[-1])[0][0] if values else 0
    return int(row[1]) if isinstance(row, list) else 0


async def _wait_for_lines(world: HallWorld, kind: str, count: int) -> None:
    async with asyncio.timeout(60.0):
        while len(world.log.named(kind)) < count:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("outage_s", [0.2, 0.6, 2.0, 6.0])
@pytest.mark.parametrize("how", ["silent", "refusing"])
@pytest.mark.parametrize("gang", [False, True])
def test_a_failed_run_is_on_record_before_its_task_starts_again(
    how: str, outage_s: float, gang: bool
) -> None:
    """Guards against a next owner that does not know of a failure, and starts a task too often."""

    async def play() -> None:
        world = HallWorld(hosts_per_hall=1, failing_share=1.0)
        world.queue = QUEUE_OF_TWO
        await world.begin()
        tasks = 3 if gang else 1
        spec = world.new_job(step(tasks, cpu=2_000, estimate_s=1.0, gang=gang))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(0.5)
        assert Counter(map(len, world.starts.values())) == {1: tasks}
        getattr(world.store, how).add("east-host-0")
        await _wait_for_lines(world, "RUN_FAILED", tasks)
        until = asyncio.get_running_loop().time() + outage_s
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.01)
            assert Counter(map(len, world.starts.values())) == {1: tasks}
        world.store.calm()
        async with asyncio.timeout(3.0):
            while Counter(map(len, world.starts.values())) != {2: tasks}:
                await asyncio.sleep(0.001)
        assert _recorded_failures(world, spec.job_id) == 1
        await world.wait_for("east-host-0", spec.job_id, "failed")
        assert world.problems == []

    run_virtual(play())


def test_a_task_whose_failure_is_not_on_record_keeps_no_capacity_from_others() -> None:
    """Guards against a hall that stands still in an outage, as starts wait that can't be sent."""

    async def play() -> None:
        world = HallWorld(hosts_per_hall=1, executors_per_hall=1, failing_share=1.0)
        world.queue = QUEUE_OF_TWO
        await world.begin()
        first = world.new_job(step(1, cpu=8_000, estimate_s=1.0))
        second = world.new_job(step(1, cpu=8_000, estimate_s=1.0))
        for spec in (first, second):
            assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(0.5)
        world.store.refusing.add("east-host-0")
        await _wait_for_lines(world, "RUN_FAILED", 2)
        assert {task.job_id for task in world.starts} == {first.job_id, second.job_id}
        assert world.log.named("START_WITHHELD")

    run_virtual(play())


@pytest.mark.parametrize("seed", range(3))
def test_a_start_after_a_failed_run_does_not_come_later_while_the_store_is_well(seed: int) -> None:
    """Guards against two appends in place of one before each such start."""

    async def play() -> float:
        world = HallWorld(hosts_per_hall=1, failing_share=0.6, seed=seed)
        world.queue = replace(QUEUE, max_attempts=9)
        await world.begin()
        for _ in range(10):
            await world.submit("east-host-0", world.new_job(step(1, estimate_s=0.5)))
        await asyncio.sleep(15.0)
        failed = {
            (f["job"], f["run"]): at for at, kind, f in world.log.lines if kind == "RUN_FAILED"
        }
        delays = [
            at - failed[task.job_id, number + 1]
            for task, times in world.starts.items()
            for number, at in enumerate(times[1:])
        ]
        assert len(delays) > 5
        return median(delays)

    assert run_virtual(play()) < 0.06
