"""A task that crashes its executors before they answer its start is given up, too."""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld
from tests.host.crashing_day import MAX_GIVE_UP_S, crashing_world, states, submit_crashing
from tests.job_builders import step
from tests.virtual_time import run_virtual


async def _played(after_s: float, **fields: object) -> tuple[HallWorld, list[str]]:
    world = await crashing_world(**fields)
    spec = await submit_crashing(world, step(estimate_s=30.0), after_s=after_s)
    await asyncio.sleep(MAX_GIVE_UP_S)
    return world, await states(world, [spec])


@pytest.mark.parametrize("resets", [True, False])
@pytest.mark.parametrize("lists_machines", [True, False])
@pytest.mark.parametrize("after_s", [0.0001, 0.001])
def test_a_task_whose_starts_are_never_answered_is_given_up(
    after_s: float, *, resets: bool, lists_machines: bool
) -> None:
    """Guards against endless starts of a task that crashes its executor before the answer.

    A crash under an unconfirmed run did not count against its task, however many executors had
    crashed under the task before.
    """
    world, job_states = run_virtual(_played(after_s, resets=resets, lists_machines=lists_machines))
    assert world.problems == []
    assert job_states == ["failed"]
