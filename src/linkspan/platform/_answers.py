"""Reads the answer of a service that speaks JSON over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson

from linkspan.errors import Unreachable

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager


async def read_answer(
    request: AbstractAsyncContextManager[aiohttp.ClientResponse], *, service: str, timeout_s: float
) -> Any:
    """Make a request and return its decoded answer.

    Args:
        request: The request.
        service: What to call the service in errors.
        timeout_s: Time that the answer may take.

    Raises:
        Unreachable: No answer, or a refusal.
    """
    try:
        async with asyncio.timeout(timeout_s), request as answer:
            body = await answer.read()
            if answer.status != 200:
                raise Unreachable(f"{service} answered {answer.status}; ask later")
            return orjson.loads(body)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise Unreachable(f"{service}: {error!r}; it is asked again") from error
