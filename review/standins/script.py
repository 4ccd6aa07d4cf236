"""The frame of a case's script: its record, its exit code, and the end of all its processes."""

from __future__ import annotations

import asyncio
import os
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.deployment import Deployment

RUN_LIMIT_S = 105.0

Case = Callable[[Deployment, bool], Awaitable[list[str]]]
"""Plays a case and returns the breaches that it saw. ``False``: without the disruption."""


def main(folder: Path, case: Case, **deployment: Any) -> int:
    """Play a case; 1 if a rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with (folder / "record.txt").open("w") as record:
        began = time.monotonic()
        try:
            broken = asyncio.run(_play(record, case, trouble, deployment))
        except BaseException:
            traceback.print_exc(file=record)
            traceback.print_exc()
            return 2
        verdict = "broken" if broken else "held"
        for line in (*broken, f"{verdict} (trouble: {trouble})"):
            record.write(f"verdict: {line}\n")
            print(line)
        print(f"{time.monotonic() - began:.0f} s", file=sys.stderr)
    return 1 if broken else 0


async def _play(record: Any, case: Case, trouble: bool, deployment: dict[str, Any]) -> list[str]:
    world = Deployment(record, **deployment)
    try:
        async with asyncio.timeout(RUN_LIMIT_S):
            await world.open()
            return await case(world, trouble)
    finally:
        await world.close()
