"""Next owners and recorded starts that a next incarnation, which is cut off, may carry out."""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

SETTLED_AFTER_S = 25.0
DOWN_S = 2.5
CUT_OFF_S = 8.0
TASK_MILLI_CPU = 3_500


async def _play(killed_after_s: float, delay_s: float) -> list[str]:
    """Return the broken promises where a start arrives late at a next incarnation that is cut off.

    Args:
        killed_after_s: Seconds from the executor's crash until its owner is killed.
        delay_s: Seconds by which the start is late.
    """
    world = HallWorld(executors_per_hall=2)
    world.late_to_next_incarnation = True
    world.max_order_delay_s = delay_s
    await world.begin()
    await asyncio.sleep(SETTLED_AFTER_S)
    owner = world.owner()
    assert owner
    late = True
    world.late_by = lambda: delay_s if late else 0.0  # type: ignore[method-assign]
    spec = world.new_job(step(1, standing=True, cpu=TASK_MILLI_CPU))
    assert await world.submit(owner, spec) == 200
    await asyncio.sleep(0.2)
    late = False
    (placed,) = (f["runs"] for f in world.log.named("STEP_PLACED") if f["job"] == spec.job_id)
    executor_id = next(iter(placed.values())).split("@")[0]
    address = next(a for a, e in world.executors.items() if e.record.executor_id == executor_id)
    world.restart_executor(address, down_s=DOWN_S)
    killing = asyncio.get_running_loop().call_later(killed_after_s, world.kill_host, owner)
    await asyncio.sleep(0.9 * DOWN_S)
    cuts = {(name, address) for name, _ in world.host_names()}
    world.cuts |= cuts
    await asyncio.sleep(CUT_OFF_S)
    world.cuts -= cuts
    await asyncio.sleep(SETTLED_AFTER_S)
    killing.cancel()
    return world.problems


@pytest.mark.parametrize("delay_s", [4.5, 6.0])
@pytest.mark.parametrize("killed_after_s", [1.5, 2.1])
def test_a_next_owner_does_not_start_a_task_twice_whose_start_arrives_late(
    killed_after_s: float, delay_s: float
) -> None:
    """Guards against TWICE: one second of silence shows no next owner that nobody is there."""
    assert run_virtual(_play(killed_after_s, delay_s)) == []
