"""A new owner reads the state of the previous owner over connections that break off."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.errors import StoreUnanswered
from linkspan.store.types import KeyPage, Partition, Record
from tests import hall_world
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins.memory_store import MAX_PAGE_KEYS, StoreLink
from tests.virtual_time import run_virtual

PROGRESS = Partition("progress", 0, keyed=True)


class BreakingLink(StoreLink):
    """Breaks off at every second page of a snapshot of the progress keys."""

    pages = 0

    async def newest_records_page(
        self, partition: Partition, *, after: bytes | None = None
    ) -> KeyPage:
        page = await super().newest_records_page(partition, after=after)
        if partition == PROGRESS:
            self.pages += 1
            if self.pages % 2 == 0:
                raise StoreUnanswered("broken off")
        return page


def test_a_recovery_resumes_after_the_last_page_received(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a recovery that restarts with each failure.

    Such a recovery never ended where the snapshot had two pages or more.
    """
    monkeypatch.setattr(hall_world, "StoreLink", BreakingLink)

    async def play() -> HallWorld:
        world = HallWorld()
        for number in range(2 * MAX_PAGE_KEYS):
            key = f"{number:016x}.0".encode()
            world.store.apply(PROGRESS, [Record(b"[[0]]", key)], None, None)
        await world.begin()
        await asyncio.sleep(3.0)
        spec = world.new_job(step(1))
        await world.submit("east-host-0", spec)
        await world.wait_for("east-host-0", spec.job_id, "succeeded", limit_s=5.0)
        return world

    assert run_virtual(play()).problems == []
