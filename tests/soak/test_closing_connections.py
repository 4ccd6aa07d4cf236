"""Callers that go on with a connection that a host has announced to close.

Guards against a check that takes a request on such a connection for a cut one, and against one
that overlooks a response that is cut there.
"""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from soak.persistent_callers import CLOSING_SLACK_S, ConnectionStats, PersistentCaller

CLOSING = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
OPEN = CLOSING.replace(b"close", b"keep-alive")


async def _use(responses: list[bytes], *, goes_on: bool) -> ConnectionStats:
    """Let a caller use a connection with some responses, where an empty one stands for none."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for response in responses:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
        await asyncio.sleep(CLOSING_SLACK_S + 0.1)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host: Any = SimpleNamespace(name="host-0", disrupted_at=float("-inf"))
    world: Any = SimpleNamespace(version=3)
    callers: Any = SimpleNamespace(jobs=[])
    stats = ConnectionStats(0, 0, [])
    caller = PersistentCaller(Random(0), host, world, callers, stats, goes_on=goes_on)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    await caller._use(reader, writer)
    writer.close()
    server.close()
    await asyncio.sleep(CLOSING_SLACK_S + 0.2)
    return stats


@pytest.mark.parametrize(
    ("responses", "goes_on", "counts", "broken"),
    [
        ([OPEN, CLOSING], False, (2, 0), []),
        ([OPEN, CLOSING, b""], True, (2, 1), []),
        ([OPEN, OPEN, b""], True, (2, 0), ["CUT"]),
        ([OPEN, CLOSING, CLOSING[:20]], True, (2, 0), ["CUT"]),
    ],
)
async def test_only_a_request_after_an_announced_close_may_remain_unanswered(
    responses: list[bytes], goes_on: bool, counts: tuple[int, int], broken: list[str]
) -> None:
    stats = await _use(responses, goes_on=goes_on)
    assert (stats.answered, stats.closed) == counts
    assert [line.split()[0] for line in stats.violations] == broken
