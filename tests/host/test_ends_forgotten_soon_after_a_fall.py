"""Ends of a new incarnation are not discarded unread shortly after the executor crashed.

The previous incarnation answers a poll and the executor crashes. A start that was sent before the
crash reaches the next incarnation and ends there, while a poll may still acknowledge ends.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tests.hall_executors import HEARTBEAT_S
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual, world_time

DOWN_S = 0.005

CRASH_DELAYS_S = tuple(n / 100 for n in range(1, 20))
"""Delays between an end and the crash of its executor, which restarts right after."""

ADDRESS = "east-0:1"


@dataclass
class OneLateStart(HallWorld):
    """A deployment in which orders arrive at ``arrives_at`` if that time is in the future."""

    arrives_at: float = 0.0

    def late_by(self) -> float:
        return max(self.arrives_at - world_time(), 0.0)


async def _run_scenario(crash_delay_s: float) -> list[str]:
    world = OneLateStart(hosts_per_hall=1, executors_per_hall=1)
    world.late_to_next_incarnation = True
    world.entry_after_s = HEARTBEAT_S
    await world.begin()
    first = world.new_job(step(1, estimate_s=0.5))
    assert await world.submit("east-host-0", first) == 200
    await asyncio.sleep(0.1)
    (run,) = world.executors[ADDRESS].running.values()
    crashes_at = run.ends_at + crash_delay_s
    world.arrives_at = crashes_at + DOWN_S + 0.002
    second = world.new_job(step(1, estimate_s=0.02))
    assert await world.submit("east-host-0", second) == 200
    await asyncio.sleep(crashes_at - world_time())
    world.record_fault()
    world.restart_executor(ADDRESS, down_s=DOWN_S)
    await asyncio.sleep(0.1)
    world.arrives_at = 0.0
    await asyncio.sleep(20.0)
    return world.problems


def test_an_end_right_after_a_fall_is_not_forgotten_unread() -> None:
    """Guards against a poll by which the next incarnation discards an unreported end: TWICE."""
    failures = {
        crash_delay_s: problems
        for crash_delay_s in CRASH_DELAYS_S
        if (problems := run_virtual(_run_scenario(crash_delay_s)))
    }
    assert failures == {}
