"""Test doubles of the soak: faults that they must not cause themselves.

A fault of the store's or an executor's double looks like a fault of the hosts in a soak run.
"""

from __future__ import annotations

import asyncio

import aiohttp

from linkspan.errors import Unreachable
from linkspan.platform.store import StoreClient
from linkspan.shard.messages import StartOrder, TaskName
from linkspan.store.types import Partition, Record
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins.platform_http import StoreServer, serving
from tests.virtual_time import run_virtual

PARTITION = Partition("plain")


async def test_history_dropped_during_a_read_does_not_shift_its_records() -> None:
    server = StoreServer()
    async with serving(server.handle) as address, aiohttp.ClientSession() as session:
        client = StoreClient(session, address)
        await client.append(PARTITION, [Record(b"a")])
        reading = asyncio.create_task(client.read(PARTITION, 1, wait_s=1.0))
        await asyncio.sleep(0.1)
        await client.append(PARTITION, [Record(b"b")])
        server.store.forget(PARTITION)
        page = await reading
    assert [entry.offset for entry in page.entries] == [1]


def test_a_poll_of_a_crashed_incarnation_acknowledges_no_end_of_the_next_one() -> None:
    """Check that a poll of a crashed incarnation does not acknowledge ends of the next one.

    The poll once continued at the next incarnation, whose first ends were then discarded before
    an owner had read them (seed 5 of the soak on a busy machine).
    """

    async def scenario() -> list[int]:
        world = HallWorld(hosts_per_hall=0, executors_per_hall=1)
        await world.begin()
        link = world.link("host", 1)
        address, first = next(iter(world.executors.items()))
        incarnation = first.record.executor_id
        poll = asyncio.create_task(
            link.renew(address, incarnation, acknowledged=9, until_s=50.0, wait_s=2.0)
        )
        await asyncio.sleep(0.1)
        world.restart_executor(address, down_s=0.01)
        await asyncio.sleep(0.1)
        spec = world.new_job(step(estimate_s=0.5))
        world.specs[spec.job_id] = spec
        order = StartOrder(incarnation, TaskName(spec.job_id, 0, 0, 0), 1, spec.payload, "")
        await link.start(address, order, until_s=50.0)
        await asyncio.sleep(3.0)
        assert isinstance(poll.exception(), Unreachable)
        report = await link.renew(address, incarnation, acknowledged=0, until_s=None, wait_s=0.0)
        return [end.number for end in report.ended]

    assert run_virtual(scenario()) == [1]
