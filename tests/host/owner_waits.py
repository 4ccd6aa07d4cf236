"""Times and waits that plays of owners in turn share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from linkspan.store.types import Partition

OWNERS = Partition("owners", 0)
"""Records of the ownership of the first hall."""

BEGUN_S = 3.0
"""Time after a submission by which its tasks run, and by which their record is written."""

OUTLIVED_S = 25.0
"""Time by which all leases of a former owner have surely ended."""

LONG_S = 100.0
"""Length of work that outlasts a play."""

_LOOK_S = 0.01
"""Time between looks at what is written, or what a host knows."""


async def until(happens: Callable[[], bool], *, limit_s: float, look_s: float = _LOOK_S) -> None:
    """Wait until something happens, for a limited time.

    Raises:
        TimeoutError: It did not happen in time.
    """
    async with asyncio.timeout(limit_s):
        while not happens():
            await asyncio.sleep(look_s)
