"""An event loop whose time passes only when nothing is left to do."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest.mock import patch

T = TypeVar("T")

EPOCH = 1_700_000_000.0
"""Time of day at steady time 0."""


class _Selector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("nothing will ever happen again")
        self.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


def run_virtual(work: Coroutine[Any, Any, T], *, limit_s: float = 600.0) -> T:
    """Run a coroutine to its end in virtual time; the limit is virtual, too."""
    loop = VirtualLoop()

    async def bounded() -> T:
        async with asyncio.timeout(limit_s):
            return await work

    with (
        patch.object(time, "monotonic", loop.time),
        patch.object(time, "time", lambda: EPOCH + loop.time()),
    ):
        try:
            return loop.run_until_complete(bounded())
        finally:
            _cancel_all(loop)
            loop.close()


def _cancel_all(loop: VirtualLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
