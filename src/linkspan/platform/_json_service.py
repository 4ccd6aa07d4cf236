"""A service that speaks JSON over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, ClassVar

import aiohttp
import orjson

from linkspan.errors import Unreachable

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager


class JsonService:
    """What the clients of such services share.

    Args:
        session: Shared client session.
        address: ``ip:port`` of the service.
        timeout_s: Time that an answer may take, ``None`` for what the service is given.
    """

    _NAME: ClassVar[str]
    """What errors call the service."""

    _PATH: ClassVar[str]
    """Where it answers."""

    _TIMEOUT_S: ClassVar[float]
    """Time for an answer, in seconds."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, *, timeout_s: float | None = None
    ) -> None:
        self._session = session
        self._url = f"http://{address}{self._PATH}"
        self._timeout_s = self._TIMEOUT_S if timeout_s is None else timeout_s

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self._url!r})"

    async def _answer(self, request: AbstractAsyncContextManager[aiohttp.ClientResponse]) -> Any:
        """Make a request and return its decoded answer.

        Raises:
            Unreachable: No answer, or a refusal.
        """
        try:
            async with asyncio.timeout(self._timeout_s), request as answer:
                body = await answer.read()
                if answer.status != 200:
                    raise Unreachable(f"{self._NAME} answered {answer.status}; ask later")
                return orjson.loads(body)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise Unreachable(f"{self._NAME}: {error!r}; it is asked again") from error
