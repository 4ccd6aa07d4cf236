"""The time limit on the start of a process, which other process tests rely on.

Guards against a process that spins or never prints its address and that the limit does not detect:
the tests would then wait for it.
"""

from __future__ import annotations

import asyncio
import sys
from asyncio.subprocess import PIPE

import pytest

from tests.standins.start_bound import SlowStart, within_start_bound

SPINNING = "while True: pass"
SLEEPING = "import time; time.sleep(60)"
LISTENING = "print('127.0.0.1:1', flush=True)"


async def _first_line(code: str, *, own_s: float, wall_s: float) -> bytes:
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", code, stdout=PIPE)
    assert process.stdout is not None
    try:
        line = process.stdout.readline()
        return await within_start_bound(process, line, own_s=own_s, wall_s=wall_s)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@pytest.mark.parametrize(
    ("code", "own_s", "wall_s"),
    [(SPINNING, 0.3, 60.0), (SLEEPING, 0.3, 60.0), (SLEEPING, 60.0, 0.3)],
)
async def test_a_start_over_its_limit_raises(code: str, own_s: float, wall_s: float) -> None:
    with pytest.raises(SlowStart):
        await _first_line(code, own_s=own_s, wall_s=wall_s)


async def test_a_start_within_its_limit_returns_its_line() -> None:
    assert await _first_line(LISTENING, own_s=5.0, wall_s=60.0) == b"127.0.0.1:1\n"
