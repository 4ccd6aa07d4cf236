"""Interfaces of the platform's log, workers and host list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from linkspan.services.messages import ExchangeRequest, WorkerReport


class LogEntry(NamedTuple):
    """A record of a log stream and its offset."""

    offset: int
    body: bytes


class LogPage(NamedTuple):
    """The result of a read.

    Attributes:
        entries: Records from the requested offset on.
        end: First offset that was not yet written when the log responded.
    """

    entries: tuple[LogEntry, ...]
    end: int


class LogPort(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record and return its offset.

        Raises:
            LogUnavailable: The log did not respond; the record may still have been written.
        """

    async def read(self, stream: str, start: int, *, wait_s: float = 0.0) -> LogPage:
        """Return the records from ``start`` on, waiting up to ``wait_s`` for the first one.

        Raises:
            LogUnavailable: The log did not respond.
            LogGap: The log no longer retains the record at ``start``.
        """


class WorkerPort(Protocol):
    """The platform's workers."""

    async def exchange(self, address: str, orders: ExchangeRequest) -> WorkerReport:
        """Send a worker its orders and return its report.

        Raises:
            Unreachable: The worker did not respond; it may still have executed the orders.
        """


@dataclass(frozen=True, slots=True)
class Host:
    """An entry of the platform's host list, which may be out of date.

    Attributes:
        name: The host's name.
        hall: Its hall.
        role: ``worker``, ``executor``, ``gateway`` or ``scheduler``.
        address: ``ip:port`` that it listens on.
        leaving: Whether the host is draining and gets no new work.
        service: For executors, the service that the executor serves.
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
        """Return the current host list.

        Raises:
            Unreachable: The host list did not respond.
        """
