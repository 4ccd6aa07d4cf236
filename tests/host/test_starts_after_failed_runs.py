"""A run fails while another start of it is on its way, and its executor restarts under its id.

The task then runs again elsewhere. The start that is still on its way reaches the next incarnation,
which knows neither the run's end nor a token.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from linkspan.shard.messages import TaskName
from tests.hall_executors import HEARTBEAT_S
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

ARRIVES_AFTER_S = 8.0
"""Time after which the first start arrives; the second one is answered after a second."""

DOWN_S = 0.01
"""Time between the crash and the restart of the executor."""


@dataclass
class FirstStartLate(HallWorld):
    """A deployment in which the first start arrives late and the first run fails.

    Attributes:
        sent_at: Time of the first start, ``None`` before it.
    """

    sent_at: float | None = None

    def late_by(self) -> float:
        if self.sent_at is not None:
            return 0.0
        self.sent_at = asyncio.get_running_loop().time()
        return ARRIVES_AFTER_S

    def fails(self, task: TaskName, run: int) -> bool:
        return run == 1


async def _played(back_before_s: float) -> HallWorld:
    """Play a restart that ends a given time before the start arrives."""
    world = FirstStartLate(
        executors_per_hall=2, late_to_next_incarnation=True, entry_after_s=HEARTBEAT_S
    )
    await world.begin()
    await asyncio.sleep(1.0)
    spec = world.new_job(step(1, cpu=2_000, estimate_s=1.0))
    assert await world.submit("east-host-0", spec) == 200
    await asyncio.sleep(0.5)
    assert world.sent_at is not None
    (name,) = world.log.named("STEP_PLACED")[0]["runs"].values()
    (first,) = (e for e in world.executors.values() if e.incarnation_name == name)
    down_at = world.sent_at + ARRIVES_AFTER_S - back_before_s - DOWN_S
    await asyncio.sleep(down_at - asyncio.get_running_loop().time())
    world.record_fault()
    world.restart_executor(first.record.address, down_s=DOWN_S)
    await asyncio.sleep(20.0)
    assert await world.state("east-host-0", spec.job_id) == "succeeded"
    return world


@pytest.mark.parametrize("back_before_s", [0.2, 0.4])
def test_a_start_of_a_failed_run_that_arrives_late_does_not_run_the_task_again(
    back_before_s: float,
) -> None:
    """Guards against a task that runs again after its end as done was acknowledged."""
    world = run_virtual(_played(back_before_s), limit_s=200.0)
    assert len(world.log.named("RUN_FAILED")) == 1
    assert world.problems == []
