"""An answer, a fall, a start of before and its end, all while ends may be forgotten."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tests.hall_executors import HEARTBEAT_S
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual, world_time

AWAY_S = 0.005

FALLS_S = tuple(n / 100 for n in range(1, 20))
"""Times after an end at which its executor falls, and is back right after."""

ADDRESS = "east-0:1"


@dataclass
class OneLateStart(HallWorld):
    """A deployment in which orders arrive at a given time, where one is given."""

    arrives_at: float = 0.0

    def late_by(self) -> float:
        return max(self.arrives_at - world_time(), 0.0)


async def _played(fall_s: float) -> list[str]:
    world = OneLateStart(hosts_per_hall=1, executors_per_hall=1)
    world.late_to_next_life = True
    world.entry_after_s = HEARTBEAT_S
    await world.begin()
    first = world.new_job(step(1, estimate_s=0.5))
    assert await world.submit("east-host-0", first) == 200
    await asyncio.sleep(0.1)
    (run,) = world.executors[ADDRESS].running.values()
    falls_at = run.ends_at + fall_s
    world.arrives_at = falls_at + AWAY_S + 0.002
    second = world.new_job(step(1, estimate_s=0.02))
    assert await world.submit("east-host-0", second) == 200
    await asyncio.sleep(falls_at - world_time())
    world.trouble()
    world.restart_executor(ADDRESS, down_s=AWAY_S)
    await asyncio.sleep(0.1)
    world.arrives_at = 0.0
    await asyncio.sleep(20.0)
    return world.problems


def test_an_end_right_after_a_fall_is_not_forgotten_unread() -> None:
    """Guards against a look that has a next life forget the end of an earlier start: TWICE."""
    red = {fall_s: problems for fall_s in FALLS_S if (problems := run_virtual(_played(fall_s)))}
    assert red == {}
