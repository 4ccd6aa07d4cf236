"""A planned stop of a host process while callers with open connections are silent.

Guards against a host that waits for such callers until the platform kills it.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from asyncio.subprocess import PIPE, Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import yaml

from linkspan.events import Event
from tests.standins.fleet import ROOT
from tests.standins.platform_http import StoreServer, serving
from tests.standins.start_bound import within_start_bound

GRACE_S = 8.0
"""Time that the platform allows a process between SIGTERM and SIGKILL."""

REQUEST_HEAD = b"GET / HTTP/1.1\r\nHost: host.example\r\n"

SENT_BEFORE_SILENCE = {
    "nothing sent": b"",
    "half a head": REQUEST_HEAD,
    "answered and then silent": REQUEST_HEAD + b"\r\n",
}


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def _settings(folder: Path, store: str) -> tuple[Path, str]:
    front = _free_address()
    fields = {
        "nodeName": "host-0",
        "ip": "127.0.0.1",
        "zone": "east",
        "zones": {"east": "r"},
        "bindAddresses": {"front": front, "ready": _free_address()},
        "platform": {"address": store},
        "bounds": {"graceS": GRACE_S},
    }
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(fields))
    return path, front


@asynccontextmanager
async def _host(folder: Path) -> AsyncIterator[tuple[Process, str]]:
    async with serving(StoreServer().handle) as store:
        path, front = _settings(folder, store)
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "linkspan.host"),
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src"), "LINKSPAN_BOOT": str(path)},
            stdout=PIPE,
        )
        reading: asyncio.Task[None] | None = None
        try:
            await within_start_bound(process, _until_listening(process))
            reading = asyncio.create_task(_discard_output(process))
            yield process, front
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            if reading:
                await reading


async def _until_listening(process: Process) -> None:
    assert process.stdout is not None
    while line := await process.stdout.readline():
        if json.loads(line).get("event") == Event.LISTENING.number:
            return
    raise AssertionError("host ended before it listened")


async def _discard_output(process: Process) -> None:
    assert process.stdout is not None
    while await process.stdout.readline():
        pass


@pytest.mark.parametrize("sent", SENT_BEFORE_SILENCE.values(), ids=SENT_BEFORE_SILENCE)
async def test_silent_callers_do_not_delay_a_planned_stop(tmp_path: Path, sent: bytes) -> None:
    async with _host(tmp_path) as (process, front):
        host, _, port = front.rpartition(":")
        writers = []
        for _ in range(5):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(sent)
            writers.append(writer)
        await asyncio.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), GRACE_S) == 0
        for writer in writers:
            writer.close()
