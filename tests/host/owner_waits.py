"""Durations and wait loops that scenarios with several successive owners share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from linkspan.host.candidate import MAX_PAST_RECORDS
from linkspan.shard.ownership.owner_record import OwnerAct, OwnerRecord
from linkspan.shard.ownership.ownership import Owner
from linkspan.store.types import Partition
from tests.hall_world import HallWorld
from tests.job_builders import step

OWNERS = Partition("owners", 0)
"""Ownership records of the first hall."""

BEGUN_S = 3.0
"""Time after a submission by which its tasks run and their record is written."""

OUTLIVED_S = 25.0
"""Time in which all leases of a former owner certainly expire."""

LONG_S = 100.0
"""Duration of a task that outlasts a scenario."""

SUCCESSION_LIMIT_S = 5.0
"""Longest time until the next owner has claimed the shard, or has renewed a few times."""

_CHECK_INTERVAL_S = 0.01
"""Interval between checks of a condition."""


async def until(
    condition: Callable[[], bool], *, limit_s: float, check_interval_s: float = _CHECK_INTERVAL_S
) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: The condition did not hold within the limit.
    """
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(check_interval_s)


async def start_long_task(world: HallWorld) -> tuple[str, str]:
    """Begin a world and run a task that outlasts it.

    Returns:
        The owner, to which the task was submitted, and the other host.
    """
    await world.begin()
    first = world.owner()
    assert first
    second = next(name for name, _ in world.host_names() if name != first)
    assert await world.submit(first, world.new_job(step(1, estimate_s=LONG_S))) == 200
    await asyncio.sleep(BEGUN_S)
    return first, second


class Succession(NamedTuple):
    """Two owners of a shard in a row.

    Attributes:
        first: Host that owned the shard first and was killed.
        first_owner: Its tenure.
        second: Host that owns the shard now and runs a long task.
    """

    first: str
    first_owner: Owner
    second: str


async def kill_first_owner(world: HallWorld) -> Succession:
    """Kill the first owner of a begun world, and give its successor a long task.

    Args:
        world: The world.

    Raises:
        TimeoutError: No other host claimed the shard in time.
    """
    first = world.owner()
    assert first
    first_owner = world.hosts[first].host.candidates[0].view.owner
    assert first_owner and first_owner.token == 1
    second = next(name for name, _ in world.host_names() if name != first)
    world.kill_host(first)
    await until(lambda: world.owner() == second, limit_s=SUCCESSION_LIMIT_S)
    assert await world.submit(second, world.new_job(step(1, estimate_s=LONG_S))) == 200
    await asyncio.sleep(BEGUN_S)
    return Succession(first, first_owner, second)


def cut_off_owner(world: HallWorld, succession: Succession) -> None:
    """Partition the network: the owner and its task's executor on one side, the rest on the other.

    Args:
        world: The world.
        succession: The owners; the second one loses the store.
    """
    first, second = succession.first, succession.second
    for address, executor in world.executors.items():
        world.cuts.add((first if executor.running else second, address))
    world.store.silent.add(second)


def apply_late_renewal(world: HallWorld, succession: Succession) -> None:
    """Append a renewal by the first owner that the store applies long after its tenure."""
    owner = succession.first_owner
    record = OwnerRecord(OwnerAct.RENEW, succession.first, owner.incarnation, owner.token, 99)
    world.store.put(OWNERS, b"", record.encode())


async def wait_for_past_records(world: HallWorld, end: int) -> None:
    """Wait until an ownership record is the oldest one that a host reads when it starts.

    Args:
        world: The world.
        end: Offset after this record.

    Raises:
        TimeoutError: The owner did not write them in time.
    """
    await until(
        lambda: world.store.log(OWNERS).end == end + MAX_PAST_RECORDS - 1,
        limit_s=SUCCESSION_LIMIT_S,
    )
