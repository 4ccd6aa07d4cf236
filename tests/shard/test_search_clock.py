"""Tests when searches for room in other halls begin."""

from __future__ import annotations

import asyncio

from linkspan.shard.handover._search_clock import (
    MIN_SEARCH_INTERVAL_S,
    SEARCH_INTERVAL_S,
    SearchClock,
)
from linkspan.shard.handover.sought_room import SoughtRoom
from linkspan.shard.handover.summary import HallSummary
from tests.virtual_time import run_virtual, world_time

SOUGHT = (SoughtRoom("pool", "", 4_000, 1_000, 0),)
FULL = HallSummary(free_by_executor=((3_900, 32_000), (0, 32_000)))
ROOMY = HallSummary(free_by_executor=((4_000, 32_000), (0, 32_000)))
ROOMIER = HallSummary(free_by_executor=((4_000, 32_000), (4_000, 32_000)))


def _wait_s(
    *summaries: HallSummary, after_s: float, sought: tuple[SoughtRoom, ...] = SOUGHT
) -> float:
    """Return the time until the next search where a hall's summaries are read after a while."""

    async def play() -> float:
        clock = SearchClock(lambda: sought)
        loop = asyncio.get_running_loop()
        for summary in summaries[:-1]:
            clock.on_summary(1, summary)
            await clock.next_search()
        began = world_time()
        loop.call_later(after_s, clock.on_summary, 1, summaries[-1])
        await clock.next_search()
        return round(world_time() - began, 3)

    return run_virtual(play())


# Guards against searches that begin by the clock alone, long after the news of room.
def test_a_summary_with_more_room_begins_a_search() -> None:
    assert _wait_s(ROOMY, after_s=0.15) == 0.15
    assert _wait_s(FULL, ROOMY, after_s=0.15) == 0.15
    assert _wait_s(ROOMY, ROOMIER, after_s=0.15) == 0.15


# Guards against searches in quick succession in a hall with hundreds of executors.
def test_searches_keep_their_least_interval() -> None:
    assert _wait_s(ROOMY, after_s=0.01) == MIN_SEARCH_INTERVAL_S


# Guards against searches that find nothing new.
def test_other_summaries_begin_no_search() -> None:
    assert _wait_s(FULL, after_s=0.15) == SEARCH_INTERVAL_S
    assert _wait_s(ROOMY, ROOMY, after_s=0.15) == SEARCH_INTERVAL_S
    assert _wait_s(ROOMY, after_s=0.15, sought=()) == SEARCH_INTERVAL_S
