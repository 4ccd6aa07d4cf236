"""Wake-up events for the loops of a tenure, set when the shard's state changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.core import ShardCore


class Changes:
    """Events that wake the loops which plan work and write records.

    Args:
        core: The shard's state.

    Attributes:
        wake: Set when planning may find work to place.
        dirty: Set when progress records or the roster must be written.
        starts: Set when start orders wait for their record to become durable.
        advice: Set when placement tickets may be requested.
        completed: Set when other shards have to hear of done tasks.
        finish: Set when final records must be written.
        roster: Names of the executors on the durable roster.
        withheld_count: Value of the core's counter of withheld ends when the roster was last
            written.
    """

    def __init__(self, core: ShardCore) -> None:
        self._core = core
        self.wake = asyncio.Event()
        self.dirty = asyncio.Event()
        self.starts = asyncio.Event()
        self.finish = asyncio.Event()
        self.advice = asyncio.Event()
        self.completed = asyncio.Event()
        self.roster: frozenset[str] = frozenset()
        self.withheld_count = 0
        self._stored = asyncio.Event()
        self._acknowledgement_ended = asyncio.Event()

    def __repr__(self) -> str:
        return f"Changes({self._core!r})"

    def notify(self) -> None:
        """Wake the planner, and the writers that have something to write."""
        self.wake.set()
        self.notify_writers()

    def notify_writers(self) -> None:
        """Wake the loops that write records or request tickets, where there is work for them."""
        if self._core.write_urgent or self._core.dropped or self.roster_changed():
            self.dirty.set()
        if self._core.finished:
            self.finish.set()
        if self._core.completed:
            self.completed.set()
        if self._core.advice.next_call(float("inf")):
            self.advice.set()

    def roster_changed(self) -> bool:
        """Return whether the roster differs from its durable copy."""
        return (
            self.withheld_count != self._core.withheld_count
            or self.roster != self._core.roster_names
        )

    def stored(self) -> None:
        """Wake all waiters of :meth:`next_stored` after a write."""
        self._stored.set()
        self._stored = asyncio.Event()

    async def next_stored(self) -> None:
        """Wait until the next write of records completes."""
        await self._stored.wait()

    def acknowledgement_ended(self) -> None:
        """Wake all waiters of :meth:`next_acknowledgement_ended` after an acknowledging poll."""
        self._acknowledgement_ended.set()
        self._acknowledgement_ended = asyncio.Event()

    async def next_acknowledgement_ended(self) -> None:
        """Wait until the next acknowledging poll of any executor ends."""
        await self._acknowledgement_ended.wait()
