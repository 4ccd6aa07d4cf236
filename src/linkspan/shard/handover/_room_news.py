"""Publishes the summary of this hall at once when it has room that other halls seek."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.shard.planning._isolation import executors_for_new_work

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from linkspan.shard.core import ShardCore
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.planning.task_need import TaskNeed

ROOM_CHECK_INTERVAL_S = 0.1
"""Interval between checks for room that other halls seek, in seconds."""

MIN_NEWS_INTERVAL_S = 0.2
"""Minimum time between two summaries for such room, in seconds: executors that are freed together
are told of together."""


class RoomNews:
    """Compares the room of this hall with what standing tasks of other halls wait for.

    The cost of a check is linear in the hall's executors, and there is none while no hall seeks
    room.

    Args:
        core: The shard's state.
        summaries: Returns the last summaries of the other halls.
        publish: Publishes this hall's summary at once.
    """

    def __init__(
        self,
        core: ShardCore,
        summaries: Callable[[], dict[int, HallSummary]],
        publish: Callable[[], None],
    ) -> None:
        self._core = core
        self._summaries = summaries
        self._publish = publish
        self._slots: dict[TaskNeed, int] = {}
        self._published_at = float("-inf")

    def __repr__(self) -> str:
        return f"RoomNews({self._slots!r})"

    async def publish_loop(self) -> None:
        """Publish the summary whenever there is more of the room that other halls seek."""
        while True:
            await asyncio.sleep(ROOM_CHECK_INTERVAL_S)
            self.check(steady())

    def check(self, now: float) -> None:
        """Publish the summary if there is more of the room that other halls seek.

        Args:
            now: Steady time.
        """
        if now - self._published_at < MIN_NEWS_INTERVAL_S:
            return
        before = self._slots
        self._slots = self._count_slots(now)
        if any(count > before.get(need, 0) for need, count in self._slots.items()):
            self._published_at = now
            self._publish()

    def _count_slots(self, now: float) -> dict[TaskNeed, int]:
        """Return for how many tasks of each need that other halls have there is room."""
        needs = sought_needs(self._summaries().values())
        if not needs or not self._core.starts_standing_tasks:
            return {}
        least = min(need.demand.milli_cpu for need in needs)
        executors = executors_for_new_work(self._core, now)
        roomy = [executor for executor in executors if executor.free_cpu >= least]
        return {need: sum(map(need.slots, roomy)) for need in needs}


def sought_needs(summaries: Iterable[HallSummary]) -> set[TaskNeed]:
    """Return the needs of the standing tasks that wait in halls."""
    return {sought.need for summary in summaries for sought in summary.sought}
