"""Callers that use each connection until the host closes it."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random

from tests.job_builders import QUEUE

from soak.callers import CALLER_TIMEOUT_S, Callers, Job
from soak.deployment import CALLERS_PORT, version_prefix
from soak.processes import HostProcess
from soak.world import VERSION_STEP, World

CLOSING_SLACK_S = 0.4
"""Time after a request was sent during which the host may close its connection without a response:
twice the users' limit. If the host has not read the request, it may reset the connection at any
time."""

DISRUPTION_S = 3.0
"""Time after a kill or a pause of a host during which it may cut requests."""

MAX_WAIT_S = 10.0
"""Longest wait for a response, much longer than a host may take."""

RECONNECT_S = 0.1


@dataclass
class ConnectionStats:
    """Statistics of one run's persistent connections.

    Attributes:
        answered: Number of requests with a complete response.
        closed: Number of requests on a connection that was just being closed.
        violations: Requests that were cut or got no response, and decreasing configuration
            versions.
    """

    answered: int
    closed: int
    violations: list[str]


class PersistentCaller:
    """A caller with one connection directly to a host.

    Args:
        random: Source of pauses and requests.
        host: The host.
        world: World whose configuration versions are requested.
        callers: Callers whose jobs are requested.
        stats: Statistics to update.
        goes_on: Whether it goes on with a connection that the host has announced to close, until
            the connection ends. Such a request may remain unanswered.
    """

    def __init__(
        self,
        random: Random,
        host: HostProcess,
        world: World,
        callers: Callers,
        stats: ConnectionStats,
        *,
        goes_on: bool = False,
    ) -> None:
        self._random = random
        self._host = host
        self._world = world
        self._callers = callers
        self._version = 0
        self._stats = stats
        self._goes_on = goes_on
        self._closing = False

    async def run(self) -> None:
        """Connect and use the connection until it is closed, repeatedly, until cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(self._host.address, CALLERS_PORT)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(reader, writer)
            finally:
                writer.transport.abort()

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A connection belongs to one incarnation of the host.
        self._version = 0
        self._closing = False
        while not reader.at_eof():
            version = self._choose_version()
            sent = time.monotonic()
            head = b""
            job = None if version else self._choose_job()
            path = version_prefix(version) if version else QUEUE.prefix + (job.id if job else "")
            try:
                writer.write(self._request(path))
                async with asyncio.timeout(MAX_WAIT_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                    body = await reader.readexactly(_length(head))
            except asyncio.IncompleteReadError as error:
                self._check_cut(sent, response_began=bool(head or error.partial))
                return
            except OSError:
                self._check_cut(sent, response_began=bool(head), unread=not head)
                return
            except TimeoutError:
                self._check_silence(sent)
                return
            self._stats.answered += 1
            if version and b" 200 " in head[:20]:
                self._check_version(version)
            if job and b" 200 " in head[:20]:
                self._callers.note_state(job, self._host.name, body)
            self._closing = b"connection: close" in head.lower()
            if self._closing and not self._goes_on:
                return
            await asyncio.sleep(self._random.choice((0.0, 0.02, 0.1, 0.4)))

    def _choose_version(self) -> int:
        """Return one of the last versions to request, or mostly 0 to request jobs instead."""
        if self._random.random() < 0.6:
            return 0
        return max(0, self._world.version - VERSION_STEP * self._random.randrange(4))

    def _check_version(self, version: int) -> None:
        if version < self._version:
            line = f"CONFIG {self._host.name} went back from version {self._version} to {version}"
            self._stats.violations.append(line)
        self._version = max(self._version, version)

    def _choose_job(self) -> Job | None:
        """Return the job to request, or ``None`` to request the number of waiting jobs."""
        jobs = [job for job in self._callers.jobs[-50:] if job.accepted_at]
        with_id = jobs and self._random.random() < 0.8
        return self._random.choice(jobs) if with_id else None

    def _request(self, path: str) -> bytes:
        lines = (
            f"GET {path} HTTP/1.1",
            f"Host: {QUEUE.host}",
            f"Linkspan-Timeout-Ms: {int(CALLER_TIMEOUT_S * 1000)}",
        )
        return "\r\n".join((*lines, "", "")).encode()

    def _check_cut(self, sent: float, *, response_began: bool, unread: bool = False) -> None:
        elapsed_s = time.monotonic() - sent
        if self._host.disrupted_at > sent - DISRUPTION_S:
            return
        announced = self._closing and not response_began
        if unread or announced or (not response_began and elapsed_s <= CLOSING_SLACK_S):
            self._stats.closed += 1
            return
        part = "in its response" if response_began else "without a response"
        self._stats.violations.append(
            f"CUT a request to {self._host.name} {part} after {elapsed_s:.2f} s"
        )

    def _check_silence(self, sent: float) -> None:
        if self._host.disrupted_at < sent - DISRUPTION_S:
            line = f"SILENT {self._host.name} did not respond to a request for {MAX_WAIT_S:.0f} s"
            self._stats.violations.append(line)


def _length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0
