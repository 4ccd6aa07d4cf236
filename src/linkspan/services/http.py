"""HTTP clients of the platform's log, workers and host list."""

from __future__ import annotations

from base64 import b64decode
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson

from linkspan.errors import LogGap, LogUnavailable, Unreachable
from linkspan.services.ports import Host, LogEntry, LogPage
from linkspan.services.wire import orders_to_json, report_from_json

if TYPE_CHECKING:
    from linkspan.services.messages import ExchangeRequest, WorkerReport

_FAILURES = (aiohttp.ClientError, TimeoutError, OSError, KeyError, ValueError)


class HttpLog:
    """The platform's log over HTTP.

    Args:
        session: Shared client session.
        address: ``ip:port`` of the log service.
        timeout_s: Maximum time for a response, in addition to any requested wait.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: str, *, timeout_s: float = 2.0
    ) -> None:
        self._session = session
        self._base = f"http://{address}/streams"
        self._timeout_s = timeout_s

    def __repr__(self) -> str:
        return f"HttpLog({self._base!r})"

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record and return its offset.

        Raises:
            LogUnavailable: The log did not respond; the record may still have been written.
        """
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            url = f"{self._base}/{stream}"
            async with self._session.post(url, data=body, timeout=timeout) as response:
                response.raise_for_status()
                return int(orjson.loads(await response.read())["offset"])
        except _FAILURES as error:
            raise LogUnavailable(
                f"append to {stream} failed: {error!r}; read the stream to check for it"
            ) from error

    async def read(self, stream: str, start: int, *, wait_s: float = 0.0) -> LogPage:
        """Return the records from ``start`` on, waiting up to ``wait_s`` for the first one.

        Raises:
            LogUnavailable: The log did not respond.
            LogGap: The log no longer retains the record at ``start``.
        """
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + wait_s)
        params = {"from": str(start), "wait": str(wait_s)}
        try:
            url = f"{self._base}/{stream}"
            async with self._session.get(url, params=params, timeout=timeout) as response:
                response.raise_for_status()
                page = orjson.loads(await response.read())
                return _parse_page(page, start)
        except _FAILURES as error:
            raise LogUnavailable(
                f"read of {stream} failed: {error!r}; it will be retried"
            ) from error


def _parse_page(page: dict[str, Any], start: int) -> LogPage:
    if page["first"] > start:
        raise LogGap(page["first"])
    entries = tuple(LogEntry(offset, b64decode(body)) for offset, body in page["entries"])
    return LogPage(entries, page["end"])


class HttpWorkers:
    """The platform's workers over HTTP.

    Args:
        session: Shared client session.
        timeout_s: Maximum time for an exchange.
    """

    def __init__(self, session: aiohttp.ClientSession, *, timeout_s: float = 2.0) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    def __repr__(self) -> str:
        return f"HttpWorkers(timeout_s={self._timeout.total})"

    async def exchange(self, address: str, orders: ExchangeRequest) -> WorkerReport:
        """Send a worker its orders and return its report.

        Raises:
            Unreachable: The worker did not respond; it may still have executed the orders.
        """
        url = f"http://{address}/exchange"
        body = orders_to_json(orders)
        try:
            async with self._session.post(url, data=body, timeout=self._timeout) as response:
                response.raise_for_status()
                return report_from_json(await response.read())
        except _FAILURES as error:
            raise Unreachable(
                f"worker at {address}: {error!r}; the exchange will be retried"
            ) from error


class HttpHosts:
    """The platform's host list over HTTP.

    Args:
        session: Shared client session.
        address: ``ip:port`` of the host list.
        timeout_s: Maximum time for a response.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: str, *, timeout_s: float = 2.0
    ) -> None:
        self._session = session
        self._url = f"http://{address}/hosts"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    def __repr__(self) -> str:
        return f"HttpHosts({self._url!r})"

    async def hosts(self) -> tuple[Host, ...]:
        """Return the current host list.

        Raises:
            Unreachable: The host list did not respond.
        """
        try:
            async with self._session.get(self._url, timeout=self._timeout) as response:
                response.raise_for_status()
                rows = orjson.loads(await response.read())
                return tuple(Host(**row) for row in rows)
        except (*_FAILURES, TypeError) as error:
            raise Unreachable(f"host list: {error!r}; the last list stays in use") from error
