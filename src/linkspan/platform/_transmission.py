"""Tells whether any part of an HTTP request can have left this process."""

from __future__ import annotations

from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Iterator

    from aiohttp.client_reqrep import ClientRequest
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace


@dataclass(slots=True)
class Transmission:
    """Progress of the request of one call, as a :class:`RecordingConnector` records it.

    Attributes:
        needs_connection: Whether the connector was asked for a connection.
        has_connection: Whether it provided one, so that bytes may have been sent.
    """

    needs_connection: bool = False
    has_connection: bool = False

    def failed_unsent(self, error: Exception) -> bool:
        """Return whether the request failed with an error before any byte was sent.

        The address was invalid, no connection could be established, or none became free in time.
        """
        if self.has_connection:
            # The error may belong to a redirection.
            return False
        if isinstance(error, (aiohttp.ClientConnectorError, aiohttp.InvalidURL)):
            return True
        return self.needs_connection


_current: ContextVar[Transmission | None] = ContextVar("transmission", default=None)


@contextmanager
def recorded_transmission() -> Iterator[Transmission]:
    """Record the transmission of the one request that is made in this context."""
    transmission = Transmission()
    token = _current.set(transmission)
    try:
        yield transmission
    finally:
        _current.reset(token)


class RecordingConnector(aiohttp.TCPConnector):
    """Connector that records whether a request got a connection.

    The client's own tracing tells the same and takes more processor time for each call.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Provide a connection for a request, and record that; see the base class."""
        transmission = _current.get()
        if transmission is None:
            return await super().connect(req, traces, timeout)
        transmission.needs_connection = True
        connection = await super().connect(req, traces, timeout)
        transmission.has_connection = True
        return connection
