"""A crowd of callers outside the limits, and an ordinary caller beside it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence

from soak.deployment import CALLERS_PORT

from linkspan.jobs.spec import JobSpec
from tests.hostile.framing import KINDS, Target
from tests.job_builders import QUEUE, job_body, step

CROWD = 300
"""Connections of a crowd."""

HOLD_S = 2.0
"""Time for which a crowd stays open after its start, in seconds."""

ORDINARY_WAIT_S = 20.0
"""Time after which an ordinary caller gives up, in seconds."""

RETRIES = 20
RETRY_S = 0.5
"""How often an ordinary caller comes again after a refusal, and after which time, in seconds."""


class Crowd:
    """Connections to one host, each of one of some kinds.

    Args:
        address: Address of the host.
        kinds: Kinds, which the connections take in turn.
        size: Number of connections.
    """

    def __init__(self, address: str, kinds: Sequence[str], size: int = CROWD) -> None:
        self._address = address
        self._kinds = kinds
        self._size = size
        self._writers: list[asyncio.StreamWriter] = []

    async def play(self) -> None:
        """Connect and send, and leave all connections open for a time that does not vary."""
        tasks = [asyncio.create_task(self._send(number)) for number in range(self._size)]
        await asyncio.sleep(HOLD_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()

    async def _send(self, number: int) -> None:
        sender = KINDS[self._kinds[number % len(self._kinds)]]
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(self._address, CALLERS_PORT)
            self._writers.append(writer)
            for piece in sender(Target(f"{number:016x}")):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)


async def ask(address: str, request: bytes) -> tuple[int, bytes]:
    """Send one request on a connection of its own; return status and body of the response.

    The status is 0 if there was no response.
    """
    try:
        async with asyncio.timeout(ORDINARY_WAIT_S):
            reader, writer = await asyncio.open_connection(address, CALLERS_PORT)
            try:
                writer.write(request)
                head = await reader.readuntil(b"\r\n\r\n")
                return int(head.split()[1]), await reader.read(_length(head))
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""


def _length(head: bytes) -> int:
    lines = head.lower().split(b"\r\n")
    return next((int(line.split()[1]) for line in lines if line.startswith(b"content-length")), 0)


async def submit_ordinary_job(address: str, number: int = 0xABCDEF) -> int:
    """Submit a small job, again after refusals as the pages say; return the last status."""
    spec = JobSpec(f"{number:016x}", QUEUE.name, "payload", (step(1),))
    body = job_body(spec)
    request = Target(spec.job_id).head(f"Content-Length: {len(body)}") + body
    status = 0
    for _ in range(RETRIES):
        status, _ = await ask(address, request)
        if status not in (0, 429, 503):
            break
        await asyncio.sleep(RETRY_S)
    return status


async def count_waiting(address: str) -> int:
    """Ask for the number of waiting jobs; return the status."""
    status, _ = await ask(address, Target("").head(method="GET"))
    return status
