"""Calls of the command line to the HTTP interface of a gateway."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import orjson

from linkspan.errors import OutcomeUnknown, Refused, SettingsError, Unreachable

_TIMEOUT_S = 15.0
"""Limits the time of a call, in seconds."""


class GatewayClient:
    """Client of the HTTP interface of a gateway.

    Args:
        gateway: ip:port of the gateway's listener; empty uses the one in LINKSPAN_GATEWAY.
        token: Token of operators; empty uses the one in LINKSPAN_OPERATOR_TOKEN.

    Raises:
        SettingsError: No gateway is given.
    """

    def __init__(self, gateway: str, token: str = "") -> None:
        self._gateway = gateway or os.environ.get("LINKSPAN_GATEWAY", "")
        self._token = token or os.environ.get("LINKSPAN_OPERATOR_TOKEN", "")
        if not self._gateway:
            raise SettingsError("--gateway: missing; give a gateway's ip:port")

    def __repr__(self) -> str:
        return f"GatewayClient({self._gateway!r})"

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Call the gateway and return its decoded response.

        Args:
            method: HTTP method.
            path: Path of the request.
            body: Body as bytes, or a value to encode as JSON.

        Raises:
            SettingsError: The gateway found the request invalid.
            Refused: The gateway refused the request.
            OutcomeUnknown: The request may have been carried out.
            Unreachable: The gateway did not answer, or cannot serve now.
        """
        return asyncio.run(self._call(method, path, body))

    async def _call(self, method: str, path: str, body: Any) -> Any:
        import aiohttp

        data = body if isinstance(body, (bytes, type(None))) else orjson.dumps(body)
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        url = f"http://{self._gateway}{path}"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.request(method, url, data=data) as response,
            ):
                return _check_response(response.status, orjson.loads(await response.read()))
        except aiohttp.ClientConnectorError as error:
            raise Unreachable(f"{self._gateway}: {error}; try another gateway") from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            if method == "GET":
                raise Unreachable(f"{self._gateway}: {error!r}; try again") from error
            text = (
                f"no response from {self._gateway}; query it before you repeat it with the same id"
            )
            raise OutcomeUnknown(text) from error


def _check_response(status: int, response: Any) -> Any:
    text = response.get("message") or response.get("reason") or orjson.dumps(response).decode()
    if status == 202:
        raise OutcomeUnknown(text)
    if status in (400, 413, 422):
        raise SettingsError(text)
    if status == 503:
        raise Unreachable(text)
    if status >= 400:
        conflicts = response.get("conflicts")
        raise Refused(f"{text} (changed meanwhile: {', '.join(conflicts)})" if conflicts else text)
    return response
