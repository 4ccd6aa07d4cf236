"""Starts that wait for their record while the end of their job is decided, in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from tests.hall_world import HallWorld
from tests.job_builders import QUEUE, step
from tests.virtual_time import run_virtual, world_time

QUEUE_OF_TWO = replace(QUEUE, max_attempts=2)

MAX_ORDER_S = 0.01
"""Time for which an order that was sent before may be on its way."""


@pytest.mark.parametrize("seed", range(12))
def test_no_start_is_sent_once_the_end_of_its_job_is_decided(seed: int) -> None:
    """Guards against a start without a record, as the wait for it ended with its job."""

    async def play() -> list[str]:
        world = HallWorld(hosts_per_hall=1, executors_per_hall=6, failing_share=0.6, seed=seed)
        world.queue = QUEUE_OF_TWO
        await world.begin()
        world.store.lost_answer_share = 0.3
        decided: dict[str, float] = {}
        late: list[str] = []
        judge_start = world.judge_start

        def judge(executor, order) -> None:  # type: ignore[no-untyped-def]
            for at, kind, fields in world.log.lines:
                if kind == "JOB_DECIDED":
                    decided.setdefault(fields["job"], at)
            since_s = world_time() - decided.get(order.task.job_id, world_time())
            if since_s > MAX_ORDER_S:
                late.append(f"{order.task} run {order.run}, {since_s:.3f} s after the decision")
            judge_start(executor, order)

        world.judge_start = judge  # type: ignore[method-assign]
        for _ in range(20):
            spec = world.new_job(step(3, cpu=1_000, estimate_s=0.8))
            await world.submit("east-host-0", spec, patience_s=1.0)
            await asyncio.sleep(0.4)
        await asyncio.sleep(20.0)
        return late

    assert run_virtual(play()) == []
