"""Counts of waiting jobs, as callers receive them from hosts in virtual time."""

from __future__ import annotations

import json

from tests.hall_world import HallWorld


async def count_waiting(world: HallWorld, name: str) -> int:
    """Return the number of waiting jobs of the world's queue that a host answers with."""
    answer = await world.hosts[name].host.front.count(world.queue)
    assert answer.status == 200
    assert isinstance(answer.body, bytes)
    return int(json.loads(answer.body)["waiting"])
