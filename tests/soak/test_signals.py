"""Signals that reach a host while it starts.

By default, SIGHUP ends a process. Guards against a reload signal that ends a host before the host
has set its handler.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from asyncio.subprocess import PIPE
from pathlib import Path

from soak.deployment import Plan, host_address, write_settings

START_LIMIT_S = 30.0
SIGINT_BIT = 1 << (signal.SIGINT - 1)
IMPORT_DELAY_S = 0.1
"""Delay from the interpreter's own start into the imports, which take some tenths of a second."""


async def _wait_for_interpreter(pid: int) -> None:
    while True:
        status = Path(f"/proc/{pid}/status").read_text()
        caught = next(line for line in status.splitlines() if line.startswith("SigCgt"))
        if int(caught.split()[1], 16) & SIGINT_BIT:
            return
        await asyncio.sleep(0.005)


async def test_a_starting_host_survives_a_reload_signal(tmp_path: Path) -> None:
    settings = tmp_path / "settings.yaml"
    plan = Plan(1, 0.0, hosts=1, executors=0, halls=1, jobs_per_s=0.0)
    write_settings(settings, plan, 0, host_address(0), "127.0.0.1:1")
    environment = {**os.environ, "LINKSPAN_BOOT": str(settings)}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "linkspan.host", stdout=PIPE, env=environment
    )
    assert process.stdout
    try:
        async with asyncio.timeout(START_LIMIT_S):
            await _wait_for_interpreter(process.pid)
            await asyncio.sleep(IMPORT_DELAY_S)
            process.send_signal(signal.SIGHUP)
            lines = [await process.stdout.readline(), await process.stdout.readline()]
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
    assert b'"listening"' in lines[1], f"the host ended with {process.returncode}"
