"""An owner sends a start once its record is durable, or after a time limit without the store."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.shard.recovery.progress import ROSTER_KEY
from linkspan.store.types import Partition
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins import memory_store
from tests.virtual_time import run_virtual

SLOW_S = 0.4
"""Latency of a slow store."""


async def _on_record_at_start(answer_s: float, monkeypatch: pytest.MonkeyPatch) -> list[bool]:
    """Return, for each start, whether its job was on record when its executor received it."""
    world = HallWorld(hosts_per_hall=1)
    await world.begin()
    monkeypatch.setattr(memory_store, "ANSWER_S", answer_s)
    recorded: list[bool] = []
    judge_start = world.judge_start

    def record_and_judge(executor, order) -> None:  # type: ignore[no-untyped-def]
        log = world.store.log(Partition("progress", 0, keyed=True))
        keys = {entry.key for entry in log.entries if entry.key != ROSTER_KEY}
        recorded.append(f"{order.task.job_id}.0".encode() in keys)
        judge_start(executor, order)

    monkeypatch.setattr(world, "judge_start", record_and_judge)
    for _ in range(6):
        spec = world.new_job(step(2, estimate_s=0.5))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(0.1)
    await asyncio.sleep(10.0)
    return recorded


@pytest.mark.parametrize("answer_s", [0.004, SLOW_S])
def test_a_start_goes_out_after_its_record(
    answer_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start that the next owner does not know of, while the store is slow."""
    recorded = run_virtual(_on_record_at_start(answer_s, monkeypatch))
    assert len(recorded) == 12
    assert all(recorded)


def test_work_starts_while_the_store_is_down() -> None:
    """Guards against halls that start nothing for as long as the store does not answer."""

    async def play() -> int:
        world = HallWorld(hosts_per_hall=1)
        await world.begin()
        spec = world.new_job(step(1, estimate_s=1.0), step(4, depends_on=(0,), estimate_s=1.0))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(0.5)
        world.store.silent.add("east-host-0")
        await asyncio.sleep(4.0)
        return sum(map(len, world.starts.values()))

    assert run_virtual(play()) == 5
