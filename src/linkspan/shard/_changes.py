"""What there is to do: tells the loops of a tenure of changes in its core."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.core import ShardCore


class Changes:
    """Wakes the loops that plan and that write records.

    Args:
        core: The shard's state.

    Attributes:
        wake: Set when a plan may find something to do.
        dirty: Set when progress or the roster is to be written.
        starts: Set when starts wait for their record.
        advice: Set when tickets may be asked for.
        finish: Set when final records are to be written.
        roster: Ids of the executors that the durable roster names.
        withheld_count: How many ends had been held back when it was written.
    """

    def __init__(self, core: ShardCore) -> None:
        self._core = core
        self.wake = asyncio.Event()
        self.dirty = asyncio.Event()
        self.starts = asyncio.Event()
        self.finish = asyncio.Event()
        self.advice = asyncio.Event()
        self.roster: frozenset[str] = frozenset()
        self.withheld_count = 0
        self._stored = asyncio.Event()

    def __repr__(self) -> str:
        return f"Changes({self._core!r})"

    def notify(self) -> None:
        """Take in that the core may have changed."""
        self.wake.set()
        self.notify_writers()

    def notify_writers(self) -> None:
        """Wake the loops that write records, if there are any to write."""
        if self._core.write_urgent or self._core.dropped or self.roster_changed():
            self.dirty.set()
        if self._core.finished:
            self.finish.set()
        if self._core.advice.next_call(float("inf")):
            self.advice.set()

    def roster_changed(self) -> bool:
        """Whether the roster is to be written."""
        return (
            self.withheld_count != self._core.withheld_count
            or self.roster != self._core.executors.keys()
        )

    def stored(self) -> None:
        """Take in that records were written."""
        self._stored.set()
        self._stored = asyncio.Event()

    async def next_stored(self) -> None:
        """Wait until records were written the next time."""
        await self._stored.wait()
