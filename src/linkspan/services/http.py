"""HTTP clients of the platform's services."""

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
        timeout_s: Time that an answer may take, beside any asked-for wait.
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
            LogUnavailable: No answer; the record may be there all the same.
        """
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            url = f"{self._base}/{stream}"
            async with self._session.post(url, data=body, timeout=timeout) as answer:
                answer.raise_for_status()
                return int(orjson.loads(await answer.read())["offset"])
        except _FAILURES as error:
            raise LogUnavailable(f"append to {stream}: {error!r}; read back") from error

    async def read(self, stream: str, start: int, *, wait_s: float = 0.0) -> LogPage:
        """Return records from ``start`` on, waiting up to ``wait_s`` for one.

        Raises:
            LogUnavailable: No answer.
            LogGap: ``start`` is past the log's retention.
        """
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + wait_s)
        params = {"from": str(start), "wait": str(wait_s)}
        try:
            url = f"{self._base}/{stream}"
            async with self._session.get(url, params=params, timeout=timeout) as answer:
                answer.raise_for_status()
                page = orjson.loads(await answer.read())
                return _page(page, start)
        except _FAILURES as error:
            raise LogUnavailable(f"read of {stream}: {error!r}; it is tried again") from error


def _page(page: dict[str, Any], start: int) -> LogPage:
    if page["first"] > start:
        raise LogGap(page["first"])
    entries = tuple(LogEntry(offset, b64decode(body)) for offset, body in page["entries"])
    return LogPage(entries, page["end"])


class HttpWorkers:
    """The platform's workers over HTTP.

    Args:
        session: Shared client session.
        timeout_s: Time that an exchange may take.
    """

    def __init__(self, session: aiohttp.ClientSession, *, timeout_s: float = 2.0) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    def __repr__(self) -> str:
        return f"HttpWorkers(timeout_s={self._timeout.total})"

    async def exchange(self, address: str, orders: ExchangeRequest) -> WorkerReport:
        """Hand a worker its orders and return its report.

        Raises:
            Unreachable: No answer; the orders may have been carried out.
        """
        url = f"http://{address}/exchange"
        body = orders_to_json(orders)
        try:
            async with self._session.post(url, data=body, timeout=self._timeout) as answer:
                answer.raise_for_status()
                return report_from_json(await answer.read())
        except _FAILURES as error:
            raise Unreachable(f"worker at {address}: {error!r}; it is asked again") from error


class HttpHosts:
    """The platform's host list over HTTP.

    Args:
        session: Shared client session.
        address: ``ip:port`` of the host list.
        timeout_s: Time that an answer may take.
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
        """Return the list as it stands.

        Raises:
            Unreachable: No answer.
        """
        try:
            async with self._session.get(self._url, timeout=self._timeout) as answer:
                answer.raise_for_status()
                rows = orjson.loads(await answer.read())
                return tuple(Host(**row) for row in rows)
        except (*_FAILURES, TypeError) as error:
            raise Unreachable(f"host list: {error!r}; the last one is kept") from error
