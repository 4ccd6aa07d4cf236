"""Callers that use each open connection until the host's process is gone."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random

from tests.hall_world import QUEUE

from soak.callers import PATIENCE_S, Callers
from soak.processes import HostProcess

CLOSING_SLACK_S = 1.0
"""A connection may end this long after a request was sent on it, unread: five times the
users' bound, since a busy machine may hold the request up in the socket."""

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
        cut: Requests cut, with what was seen.
    """

    answered: int
    closed: int
    cut: list[str]


class Keeper:
    """One caller with one connection, straight to a host.

    Args:
        random: Draws pauses and questions.
        host: The host.
        address: Its callers' address.
        callers: Whose jobs it asks for.
        tally: Where it counts.
    """

    def __init__(
        self, random: Random, host: HostProcess, address: str, callers: Callers, tally: Tally
    ) -> None:
        self._random = random
        self._host = host
        self._address = address
        self._callers = callers
        self._tally = tally

    async def run(self) -> None:
        """Connect, use the connection to its end, and again until cancelled."""
        ip, _, port = self._address.rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(reader, writer)
            finally:
                writer.transport.abort()

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while not reader.at_eof():
            sent = time.monotonic()
            head = b""
            try:
                writer.write(self._request())
                async with asyncio.timeout(WAIT_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                    await reader.readexactly(_length(head))
            except asyncio.IncompleteReadError as error:
                self._judge_cut(sent, bool(head or error.partial))
                return
            except OSError:
                self._judge_cut(sent, bool(head))
                return
            except TimeoutError:
                self._judge_silence(sent)
                return
            self._tally.answered += 1
            if b"connection: close" in head.lower():
                return
            await asyncio.sleep(self._random.choice((0.0, 0.02, 0.1, 0.4)))

    def _request(self) -> bytes:
        jobs = [job for job in self._callers.jobs[-50:] if job.accepted_at]
        path = self._random.choice(jobs).id if jobs and self._random.random() < 0.8 else ""
        lines = (
            f"GET {QUEUE.prefix}{path} HTTP/1.1",
            f"Host: {QUEUE.host}",
            f"Linkspan-Timeout-Ms: {int(PATIENCE_S * 1000)}",
        )
        return "\r\n".join((*lines, "", "")).encode()

    def _judge_cut(self, sent: float, began: bool) -> None:
        took = time.monotonic() - sent
        if self._host.harmed_at > sent - HARM_S:
            return
        if not began and took <= CLOSING_SLACK_S:
            self._tally.closed += 1
            return
        part = "in its answer" if began else "without an answer"
        self._tally.cut.append(f"CUT a request to {self._host.name} {part} after {took:.2f} s")

    def _judge_silence(self, sent: float) -> None:
        if self._host.harmed_at < sent - HARM_S:
            line = f"SILENT {self._host.name} held a question for {WAIT_S:.0f} s"
            self._tally.cut.append(line)


def _length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0
