"""The tasks of a tenure: started while it lasts, ended with it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine


class Scope:
    """Starts work within a tenure and lets none join one that is ending."""

    def __init__(self) -> None:
        self._group: asyncio.TaskGroup | None = None
        self._ending = False

    def __repr__(self) -> str:
        return f"Scope(ending={self._ending})"

    def enter(self, group: asyncio.TaskGroup) -> None:
        """Have work run in a group from now on."""
        self._group = group

    def end(self) -> None:
        """Let no more work start."""
        self._ending = True

    def spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None] | None:
        """Run work within the tenure, unless the tenure is ending."""
        if self._group is None or self._ending:
            work.close()
            return None
        return self._group.create_task(self._guarded(work))

    async def _guarded(self, work: Coroutine[None, None, None]) -> None:
        try:
            await work
        except Exception:
            # The group cancels the rest; no more work may join it.
            self._ending = True
            raise
