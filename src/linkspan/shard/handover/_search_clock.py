"""Times the searches for work that another hall could take."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.shard.handover.sought_room import SoughtRoom
    from linkspan.shard.handover.summary import HallSummary

SEARCH_INTERVAL_S = 0.3
"""Time between searches for work that another hall could take."""

MIN_SEARCH_INTERVAL_S = 0.1
"""The same where another hall tells of more room: each search sums up this hall first, which takes
milliseconds with hundreds of executors."""


class SearchClock:
    """Lets searches begin at intervals, and as soon as another hall tells of more room.

    Args:
        sought: Returns the room that standing tasks of this hall wait for.
    """

    def __init__(self, sought: Callable[[], tuple[SoughtRoom, ...]]) -> None:
        self._sought = sought
        self._roomy: dict[int, int] = {}
        self._news = asyncio.Event()

    def __repr__(self) -> str:
        return f"SearchClock({self._roomy!r})"

    def on_summary(self, shard: int, summary: HallSummary) -> None:
        """Begin the next search soon if more executors of a hall have cores for waiting tasks.

        Args:
            shard: The hall's shard.
            summary: Its last summary.
        """
        sought = self._sought()
        if not sought:
            self._roomy.clear()
            return
        least = min(room.milli_cpu for room in sought)
        roomy = sum(row[0] >= least for row in summary.free_by_executor)
        if roomy > self._roomy.get(shard, 0):
            self._news.set()
        self._roomy[shard] = roomy

    async def next_search(self) -> None:
        """Wait until the next search is due."""
        await asyncio.sleep(MIN_SEARCH_INTERVAL_S)
        with suppress(TimeoutError):
            async with asyncio.timeout(SEARCH_INTERVAL_S - MIN_SEARCH_INTERVAL_S):
                await self._news.wait()
        self._news.clear()
