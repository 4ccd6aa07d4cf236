"""Callers that use each open connection until the host's process is gone."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random

from tests.job_builders import QUEUE

from soak.callers import PATIENCE_S, Callers
from soak.deployment import CALLERS_PORT, version_prefix
from soak.processes import HostProcess
from soak.world import VERSION_STEP, World

CLOSING_SLACK_S = 0.4
"""A connection that was closed may be found so this long after a request was sent on it:
twice the users' bound. What the host had not read is reset instead, however late."""

HARM_S = 3.0
"""Time after a kill or a pause in which a cut request is no planned stop's doing."""

WAIT_S = 10.0
"""Longest wait for an answer: by far more than the host itself may take."""

RECONNECT_S = 0.1


@dataclass
class Tally:
    """Counts of one run's open connections.

    Attributes:
        answered: Requests with whole answers.
        closed: Requests that met a connection that was just being closed.
        broken: Requests cut or held, and configurations that went back.
    """

    answered: int
    closed: int
    broken: list[str]


class Keeper:
    """One caller with one connection, straight to a host.

    Args:
        random: Draws pauses and questions.
        host: The host.
        world: Whose configurations it asks for.
        callers: Whose jobs it asks for.
        tally: Where it counts.
    """

    def __init__(
        self, random: Random, host: HostProcess, world: World, callers: Callers, tally: Tally
    ) -> None:
        self._random = random
        self._host = host
        self._world = world
        self._callers = callers
        self._version = 0
        self._tally = tally

    async def run(self) -> None:
        """Connect, use the connection to its end, and again until cancelled."""
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
        # One connection belongs to one life of the host.
        self._version = 0
        while not reader.at_eof():
            asked = self._draw_version()
            sent = time.monotonic()
            head = b""
            try:
                writer.write(self._request(version_prefix(asked) if asked else self._path()))
                async with asyncio.timeout(WAIT_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                    await reader.readexactly(_length(head))
            except asyncio.IncompleteReadError as error:
                self._judge_cut(sent, began=bool(head or error.partial))
                return
            except OSError:
                self._judge_cut(sent, began=bool(head), unread=not head)
                return
            except TimeoutError:
                self._judge_silence(sent)
                return
            self._tally.answered += 1
            if asked and b" 200 " in head[:20]:
                self._judge_version(asked)
            if b"connection: close" in head.lower():
                return
            await asyncio.sleep(self._random.choice((0.0, 0.02, 0.1, 0.4)))

    def _draw_version(self) -> int:
        """Return one of the last versions to ask for, or mostly 0 for a question on jobs."""
        if self._random.random() < 0.6:
            return 0
        return max(0, self._world.version - VERSION_STEP * self._random.randrange(4))

    def _judge_version(self, version: int) -> None:
        if version < self._version:
            line = f"CONFIG {self._host.name} went back from {self._version} to {version}"
            self._tally.broken.append(line)
        self._version = max(self._version, version)

    def _path(self) -> str:
        jobs = [job for job in self._callers.jobs[-50:] if job.accepted_at]
        named = jobs and self._random.random() < 0.8
        return QUEUE.prefix + (self._random.choice(jobs).id if named else "")

    def _request(self, path: str) -> bytes:
        lines = (
            f"GET {path} HTTP/1.1",
            f"Host: {QUEUE.host}",
            f"Linkspan-Timeout-Ms: {int(PATIENCE_S * 1000)}",
        )
        return "\r\n".join((*lines, "", "")).encode()

    def _judge_cut(self, sent: float, *, began: bool, unread: bool = False) -> None:
        took = time.monotonic() - sent
        if self._host.harmed_at > sent - HARM_S:
            return
        if unread or (not began and took <= CLOSING_SLACK_S):
            self._tally.closed += 1
            return
        part = "in its answer" if began else "without an answer"
        self._tally.broken.append(f"CUT a request to {self._host.name} {part} after {took:.2f} s")

    def _judge_silence(self, sent: float) -> None:
        if self._host.harmed_at < sent - HARM_S:
            line = f"SILENT {self._host.name} held a question for {WAIT_S:.0f} s"
            self._tally.broken.append(line)


def _length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0
