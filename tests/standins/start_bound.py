"""How long a process may take until it says that it listens."""

from __future__ import annotations

import asyncio
import time
from asyncio.subprocess import Process
from collections.abc import Awaitable
from pathlib import Path
from typing import TypeVar

T = TypeVar("T")

START_S = 30.0
"""Time in which a process must listen, without that in which it was ready to run and got
no processor. A gateway takes 0.8 s of processor time, 2.6 s where no byte code of its
libraries is kept, and waits for nothing."""

START_WALL_S = 120.0
"""Time after which one is given up on, whatever it waited for."""

LOOK_S = 0.05
"""Time between looks at it."""


class SlowStart(Exception):
    """A process took longer than it may until it listened."""


async def within_start_bound(
    process: Process,
    listening: Awaitable[T],
    *,
    own_s: float = START_S,
    wall_s: float = START_WALL_S,
) -> T:
    """Return what a process says when it listens.

    Args:
        process: The process.
        listening: What it says.
        own_s: Bound on its time, without that in which it was kept from running.
        wall_s: Bound on all of its time.

    Raises:
        SlowStart: It took longer.
    """
    task = asyncio.ensure_future(listening)
    began = time.monotonic()
    while not task.done():
        await asyncio.wait([task], timeout=LOOK_S)
        took = time.monotonic() - began
        own = took - _kept_waiting_s(process.pid)
        if not task.done() and (own > own_s or took > wall_s):
            task.cancel()
            raise SlowStart(f"not listening after {took:.1f} s, of these {own:.1f} s its own")
    return await task


def _kept_waiting_s(pid: int) -> float:
    """Return how long a process was ready to run and got no processor, 0 if unknown."""
    try:
        # Nanoseconds on a processor and kept waiting for one, and the number of turns.
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError):
        return 0.0
