"""Runs the background tasks of a tenure, which end with it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine


class TaskScope:
    """Starts background tasks of a tenure, and none once the tenure is ending."""

    def __init__(self) -> None:
        self._group: asyncio.TaskGroup | None = None
        self._ending = False

    def __repr__(self) -> str:
        return f"TaskScope(ending={self._ending})"

    def enter(self, group: asyncio.TaskGroup) -> None:
        """Run all further tasks in a task group."""
        self._group = group

    def end(self) -> None:
        """Allow no further tasks to start."""
        self._ending = True

    def spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None] | None:
        """Run a coroutine within the tenure, unless the tenure is ending."""
        if self._group is None or self._ending:
            work.close()
            return None
        return self._group.create_task(self._guarded(work))

    async def _guarded(self, work: Coroutine[None, None, None]) -> None:
        try:
            await work
        except Exception:
            # The group cancels the other tasks; no new task may join it.
            self._ending = True
            raise
