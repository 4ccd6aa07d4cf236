"""Durations and wait loops that scenarios with several successive owners share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from linkspan.store.types import Partition

OWNERS = Partition("owners", 0)
"""Ownership records of the first hall."""

BEGUN_S = 3.0
"""Time after a submission by which its tasks run and their record is written."""

OUTLIVED_S = 25.0
"""Time in which all leases of a former owner certainly expire."""

LONG_S = 100.0
"""Duration of a task that outlasts a scenario."""

_CHECK_INTERVAL_S = 0.01
"""Interval between checks of a condition."""


async def until(
    condition: Callable[[], bool], *, limit_s: float, check_interval_s: float = _CHECK_INTERVAL_S
) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: The condition did not hold within the limit.
    """
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(check_interval_s)
