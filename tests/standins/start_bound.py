"""A limit on the time that a process takes to report that it listens."""

from __future__ import annotations

import asyncio
import time
from asyncio.subprocess import Process
from collections.abc import Awaitable
from pathlib import Path
from typing import TypeVar

T = TypeVar("T")

MAX_START_S = 30.0
"""Limit on the time until a process listens, excluding the time in which it was runnable but
had no CPU. A gateway uses 0.8 s of CPU time, or 2.6 s without cached byte code of its
libraries, and waits for nothing."""

MAX_START_WALL_S = 120.0
"""Limit on the wall-clock time until a process listens."""

CHECK_INTERVAL_S = 0.05
"""Interval between checks of the limits."""


class SlowStart(Exception):
    """Raised if a process exceeds the limit on its time to listen."""


async def within_start_bound(
    process: Process,
    listening: Awaitable[T],
    *,
    own_s: float = MAX_START_S,
    wall_s: float = MAX_START_WALL_S,
) -> T:
    """Return the report with which a process announces that it listens.

    Args:
        process: The process.
        listening: Awaitable of the report.
        own_s: Limit on the time excluding waits for a CPU.
        wall_s: Limit on the wall-clock time.

    Raises:
        SlowStart: The process exceeded one of the limits.
    """
    task = asyncio.ensure_future(listening)
    began = time.monotonic()
    while not task.done():
        await asyncio.wait([task], timeout=CHECK_INTERVAL_S)
        elapsed_s = time.monotonic() - began
        own_elapsed_s = elapsed_s - _cpu_wait_s(process.pid)
        if not task.done() and (own_elapsed_s > own_s or elapsed_s > wall_s):
            task.cancel()
            raise SlowStart(
                f"not listening after {elapsed_s:.1f} s, of these {own_elapsed_s:.1f} s its own"
            )
    return await task


def _cpu_wait_s(pid: int) -> float:
    """Return the seconds for which a process was runnable but had no CPU, 0 if unknown."""
    try:
        # Fields: nanoseconds on a CPU, nanoseconds of waiting for one, number of time slices.
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError):
        return 0.0
