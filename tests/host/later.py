"""Delayed calls that run even if the host process that is current now ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import Context
from typing import Any


def later(delay_s: float, call: Callable[..., Any], *args: Any) -> None:
    """Schedule a call after a delay, in an empty context that belongs to no host."""
    asyncio.get_running_loop().call_later(delay_s, call, *args, context=Context())
