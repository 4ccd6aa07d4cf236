"""Stand-in and host processes that the soak starts and ends."""

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
"""Maximum length of a line from a stand-in: the addresses of a few hundred hosts."""


def _environment(**more: str) -> dict[str, str]:
    path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    return {**os.environ, "PYTHONPATH": path, **more}


class StandIn:
    """A stand-in's process, which ends when its standard input is closed.

    Args:
        module: Module that the process runs.
        log: File for the standard error.
        session: Client session for commands.
    """

    def __init__(self, module: str, log: Path, session: aiohttp.ClientSession) -> None:
        self._module = module
        self._log = log
        self._session = session
        self.addresses: dict[str, str] = {}

    async def start(self, *arguments: str) -> None:
        """Start the process and read its addresses."""
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

    async def send_command(self, command: str, argument: Any = None) -> Any:
        """Run a command in the process and return its result."""
        url = f"http://{self.control}/{command}"
        async with self._session.post(url, json=argument) as response:
            response.raise_for_status()
            return await response.json()

    async def end(self) -> None:
        """End the process and wait for its exit."""
        assert self._process.stdin
        self._process.stdin.close()
        await self._process.wait()


class HostProcess:
    """A host daemon across all its incarnations.

    Args:
        name: The host's name.
        address: The host's loopback address.
        settings: The settings file.
        log: File for the output.

    Attributes:
        start_count: Number of incarnations started.
        disrupted_at: Steady time of the last signal that may interrupt requests in flight.
        unexpected_exits: Incarnations that ended without a request to end, or with an error.
    """

    def __init__(self, name: str, address: str, settings: Path, log: Path) -> None:
        self._settings = settings
        self._log = log
        self._process: Process | None = None
        self._pause_count = 0
        self._starting = False
        self.name = name
        self.address = address
        self.start_count = 0
        self.disrupted_at = float("-inf")
        self.unexpected_exits: list[str] = []
        self._end_requested = False
        self._watchers: set[asyncio.Task[None]] = set()

    @property
    def alive(self) -> bool:
        """Whether the process exists, running or paused."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Id of the newest incarnation's process, 0 before the first one."""
        return self._process.pid if self._process else 0

    async def start(self) -> None:
        """Start an incarnation if none runs."""
        if self.alive or self._starting:
            return
        self._starting = True
        self.start_count += 1
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
        self._end_requested = False
        self._handle = os.pidfd_open(self._process.pid)
        watcher = asyncio.create_task(self._watch(self._process, self._handle))
        self._watchers.add(watcher)
        watcher.add_done_callback(self._watchers.discard)

    async def _watch(self, process: Process, handle: int) -> None:
        code = await process.wait()
        os.close(handle)
        if not self._end_requested or code > 0:
            self.unexpected_exits.append(f"{self.name} ended by itself with exit code {code}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal; all signals except SIGTERM and SIGHUP may interrupt requests in flight."""
        if number not in (signal.SIGTERM, signal.SIGHUP):
            self.disrupted_at = time.monotonic()
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._end_requested = True
        if self.alive:
            # A descriptor always refers to this process, while its id may be reused.
            with suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._handle, number)

    async def kill(self) -> None:
        """Kill the process."""
        self.send(signal.SIGKILL)
        if self._process:
            await self._process.wait()

    async def stop(self, grace_s: float) -> bool:
        """Stop the host as planned and return whether it exited within the grace time."""
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
        """Pause the process for a time; pauses may overlap."""
        self._pause_count += 1
        self.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._pause_count -= 1
            if not self._pause_count:
                self.send(signal.SIGCONT)
