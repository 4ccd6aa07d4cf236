"""Base class of clients for services that use JSON over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, ClassVar

import aiohttp
import orjson

from linkspan.errors import Unreachable

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager


class JsonServiceClient:
    """Client of a JSON service at a fixed URL.

    Args:
        session: Shared client session.
        address: ``ip:port`` of the service.
        timeout_s: Maximum time for a response, ``None`` for the default of the service.
    """

    _NAME: ClassVar[str]
    """Name of the service in error messages."""

    _PATH: ClassVar[str]
    """Path of the service's endpoint."""

    _TIMEOUT_S: ClassVar[float]
    """Default maximum time for a response, in seconds."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, *, timeout_s: float | None = None
    ) -> None:
        self._session = session
        self._url = f"http://{address}{self._PATH}"
        self._timeout_s = self._TIMEOUT_S if timeout_s is None else timeout_s

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self._url!r})"

    async def _request_json(
        self, request: AbstractAsyncContextManager[aiohttp.ClientResponse]
    ) -> Any:
        """Send a request and return the decoded body of its response.

        Raises:
            Unreachable: The service did not respond, or did not respond with status 200.
        """
        try:
            async with asyncio.timeout(self._timeout_s), request as response:
                body = await response.read()
                if response.status != 200:
                    raise Unreachable(f"{self._NAME} answered {response.status}; try again later")
                return orjson.loads(body)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise Unreachable(f"{self._NAME}: {error!r}; the request will be retried") from error
