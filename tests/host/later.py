"""Calls that come later, whatever becomes of the process that is served now."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import Context
from typing import Any


def later(delay_s: float, call: Callable[..., Any], *args: Any) -> None:
    """Call in some seconds; the call belongs to no host."""
    asyncio.get_running_loop().call_later(delay_s, call, *args, context=Context())
