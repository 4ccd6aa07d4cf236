"""The platform's services as the rest of the library sees them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from linkspan.services.messages import ExchangeRequest, WorkerReport


class LogEntry(NamedTuple):
    """A record of a log stream and its place."""

    offset: int
    body: bytes


class LogPage(NamedTuple):
    """A read's answer.

    Attributes:
        entries: Records from the asked offset on.
        end: First offset that was not yet written when the log answered.
    """

    entries: tuple[LogEntry, ...]
    end: int


class LogPort(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record and return its offset.

        Raises:
            LogUnavailable: No answer; the record may be there all the same.
        """

    async def read(self, stream: str, start: int, *, wait_s: float = 0.0) -> LogPage:
        """Return records from ``start`` on, waiting up to ``wait_s`` for one.

        Raises:
            LogUnavailable: No answer.
            LogGap: ``start`` is past the log's retention.
        """


class WorkerPort(Protocol):
    """The platform's workers."""

    async def exchange(self, address: str, orders: ExchangeRequest) -> WorkerReport:
        """Hand a worker its orders and return its report.

        Raises:
            Unreachable: No answer; the orders may have been carried out.
        """


@dataclass(frozen=True, slots=True)
class Host:
    """An entry of the platform's host list, which lags.

    Attributes:
        name: The host's name.
        hall: Its hall.
        role: ``worker``, ``executor``, ``gateway`` or ``scheduler``.
        address: ``ip:port`` where it serves.
        leaving: Whether it is to get no new work.
        service: For executors, the service that it serves.
    """

    name: str
    hall: str
    role: str
    address: str
    leaving: bool = False
    service: str = ""


class HostsPort(Protocol):
    """The platform's host list."""

    async def hosts(self) -> tuple[Host, ...]:
        """Return the list as it stands.

        Raises:
            Unreachable: No answer.
        """
