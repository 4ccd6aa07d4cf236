"""Processes that the soak starts, and ends by their ids."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from asyncio.subprocess import DEVNULL, PIPE, Process
from contextlib import suppress
from pathlib import Path
from typing import Any

import aiohttp

ROOT = Path(__file__).parent.parent
STDOUT_LIMIT_BYTES = 1 << 20
"""Longest line that a stand-in prints: the addresses of a few hundred hosts."""


def _environment(**more: str) -> dict[str, str]:
    path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    return {**os.environ, "PYTHONPATH": path, **more}


class StandIn:
    """A stand-in's process, which ends when its standard input is closed.

    Args:
        module: Module that it runs.
        log: Where its standard error goes.
        session: For commands.
    """

    def __init__(self, module: str, log: Path, session: aiohttp.ClientSession) -> None:
        self._module = module
        self._log = log
        self._session = session
        self.addresses: dict[str, str] = {}

    async def start(self, *arguments: str) -> None:
        """Start it and learn its addresses."""
        with self._log.open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self._module,
                *arguments,
                stdin=PIPE,
                stdout=PIPE,
                stderr=log,
                limit=STDOUT_LIMIT_BYTES,
                env=_environment(),
            )
        assert self._process.stdout
        self.addresses = json.loads(await self._process.stdout.readline())

    @property
    def control(self) -> str:
        """Address for commands."""
        return self.addresses["control"]

    async def tell(self, command: str, argument: Any = None) -> Any:
        """Run a command and return its answer."""
        url = f"http://{self.control}/{command}"
        async with self._session.post(url, json=argument) as answer:
            answer.raise_for_status()
            return await answer.json()

    async def end(self) -> None:
        """End it and wait."""
        assert self._process.stdin
        self._process.stdin.close()
        await self._process.wait()


class HostProcess:
    """A host of the product, over all its lives.

    Args:
        name: The host's name.
        address: Loopback address of its own.
        settings: The settings file.
        log: Where its output goes.

    Attributes:
        life: Number of lives begun.
        harmed_at: Steady time of the last signal that may break what is in flight.
        own_ends: Lives that ended without being told to, or with an error.
    """

    def __init__(self, name: str, address: str, settings: Path, log: Path) -> None:
        self._settings = settings
        self._log = log
        self._process: Process | None = None
        self._paused = 0
        self._starting = False
        self.name = name
        self.address = address
        self.life = 0
        self.harmed_at = float("-inf")
        self.own_ends: list[str] = []
        self._told_to_end = False
        self._watchers: set[asyncio.Task[None]] = set()

    @property
    def alive(self) -> bool:
        """Whether its process runs or is paused."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start a life, if none runs."""
        if self.alive or self._starting:
            return
        self._starting = True
        self.life += 1
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "linkspan.host",
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                env=_environment(LINKSPAN_BOOT=str(self._settings)),
            )
        self._starting = False
        self._told_to_end = False
        self._handle = os.pidfd_open(self._process.pid)
        watcher = asyncio.create_task(self._watch(self._process, self._handle))
        self._watchers.add(watcher)
        watcher.add_done_callback(self._watchers.discard)

    async def _watch(self, process: Process, handle: int) -> None:
        code = await process.wait()
        os.close(handle)
        if not self._told_to_end or code > 0:
            self.own_ends.append(f"{self.name} ended by itself with exit code {code}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal; all but SIGTERM and SIGHUP count as harm to what is in flight."""
        if number not in (signal.SIGTERM, signal.SIGHUP):
            self.harmed_at = time.monotonic()
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._told_to_end = True
        if self.alive:
            # A descriptor names this process for good; its id may be given to another.
            with suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._handle, number)

    async def kill(self) -> None:
        """End the life at once."""
        self.send(signal.SIGKILL)
        if self._process:
            await self._process.wait()

    async def stop(self, grace_s: float) -> bool:
        """Stop as planned; return whether the life ended within the grace time."""
        process = self._process
        if process is None or not self.alive:
            return True
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await process.wait()
        except TimeoutError:
            if process.returncode is None:
                self.send(signal.SIGKILL)
                await process.wait()
            return False
        return True

    async def pause(self, seconds: float) -> None:
        """Stop the process for a while; pauses may overlap."""
        self._paused += 1
        self.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._paused -= 1
            if not self._paused:
                self.send(signal.SIGCONT)
