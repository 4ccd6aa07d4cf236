"""Starts stand-ins and daemons as processes, for the process tests."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from typing import Any

import aiohttp
import orjson

from tests.standins.start_bound import within_start_bound

ROOT = Path(__file__).resolve().parents[2]
QUICK = {
    "heartbeat_s": 0.2,
    "peer_silence_s": 1.0,
    "hosts_poll_s": 0.2,
}
QUICK_SCHEDULER = {
    "lease_s": 2.0,
    "worker_silence_s": 1.5,
    "exchange_s": 0.4,
    "offline_renewal_s": 60.0,
    "appends_per_s": 40,
}
QUICK_GATEWAY = {"drain_notice_s": 0.3}


class Daemon:
    """A daemon's process and the addresses in its log."""

    def __init__(self, name: str, process: Process, addresses: dict[str, str]) -> None:
        self.name = name
        self.process = process
        self.peer = addresses["peer"]
        self.operator = addresses["operator"]
        self.callers = addresses.get("callers", "")
        self.events: list[dict[str, Any]] = []

    def signal(self, number: int) -> None:
        """Send a signal to the daemon's process."""
        self.process.send_signal(number)

    def seen(self, event: int) -> list[dict[str, Any]]:
        """Return the log lines so far with an event number."""
        return [line for line in self.events if line.get("event") == event]


class Fleet:
    """A customer's halls on the loopback address, as an asynchronous context manager."""

    def __init__(self, customer: str = "", *, log_dir: Path | None = None) -> None:
        self.customer = customer
        self.daemons: dict[str, Daemon] = {}
        self.platform = ""
        self.witnesses: dict[str, str] = {}
        self.executors: dict[str, str] = {}
        self._processes: list[Process] = []
        self._readers: list[asyncio.Task[None]] = []
        self._log_dir = log_dir

    async def __aenter__(self) -> Fleet:
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=20))
        self.platform = await self._stand_in("platform")
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.session.close()
        for process in self._processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        await asyncio.gather(*(process.wait() for process in self._processes))
        for reader in self._readers:
            reader.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)

    async def _spawn(self, *arguments: str, **streams: Any) -> Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
            limit=2**20,
            **streams,
        )
        self._processes.append(process)
        return process

    async def _stand_in(self, *arguments: str) -> str:
        process = await self._spawn("-m", "tests.standins.serve", *arguments, stdout=PIPE)
        assert process.stdout is not None
        line = await within_start_bound(process, process.stdout.readline())
        return line.decode().strip()

    async def add_relay(self) -> str:
        """Start a relay to the platform, which ``cut_relay`` cuts, and return its address."""
        line = await self._stand_in("relay", self.platform)
        address, self._relay = line.split()
        return address

    async def cut_relay(self, cut: bool) -> None:
        """Cut the relay, or restore it."""
        await self.post(self._relay, "/cut", cut)

    async def add_workers(self, hall: str, count: int, *, run_s: float) -> None:
        """Start a hall's workers and add them to the platform's host list."""
        line = await self._stand_in("workers", hall, str(count), str(run_s))
        witness, _, addresses = line.partition(" ")
        self.witnesses[hall] = witness
        for name, address in orjson.loads(addresses).items():
            await self.list_host(name, hall, "worker", address)

    async def add_executors(self, hall: str, service: str, count: int, *, service_s: float) -> None:
        """Start a service's executors in a hall and add them to the platform's host list."""

        async def add(name: str) -> None:
            self.executors[name] = await self._stand_in("executor", str(service_s))
            await self.list_host(name, hall, "executor", self.executors[name], service=service)

        await asyncio.gather(*(add(f"{hall}-{service}-{n}") for n in range(count)))

    async def list_host(
        self,
        name: str,
        hall: str,
        role: str,
        address: str,
        *,
        service: str = "",
        leaving: bool = False,
    ) -> None:
        """Add a host to the platform's host list."""
        host = {"name": name, "hall": hall, "role": role, "address": address}
        await self.post(self.platform, "/hosts", {**host, "service": service, "leaving": leaving})

    async def add_daemon(self, role: str, hall: str, name: str, **settings: Any) -> Daemon:
        """Start a gateway or scheduler and add it to the platform's host list."""
        quick = QUICK_SCHEDULER if role == "scheduler" else QUICK_GATEWAY
        wanted = {
            "hall": hall,
            "name": name,
            "customer": self.customer,
            "log": self.platform,
            "hosts": self.platform,
            **QUICK,
            **quick,
            **settings,
        }
        flags = [f"--{key}={value}" for key, value in wanted.items() if value != ""]
        process = await self._spawn("-m", "linkspan.cli", role, *flags, stderr=PIPE)
        assert process.stderr is not None
        addresses = await within_start_bound(process, self._listening(process))
        daemon = self.daemons[name] = Daemon(name, process, addresses)
        self._readers.append(asyncio.create_task(self._read_events(daemon)))
        await self.list_host(name, hall, role, daemon.peer)
        return daemon

    async def _listening(self, process: Process) -> dict[str, str]:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            if line.startswith(b"{"):
                event: dict[str, str] = orjson.loads(line)
                if event.get("event") == 101:
                    return event
            else:
                print(line.decode(), end="", file=sys.stderr)
        raise RuntimeError("daemon ended before it listened")

    async def _read_events(self, daemon: Daemon) -> None:
        assert daemon.process.stderr is not None
        async for line in daemon.process.stderr:
            if line.startswith(b"{"):
                daemon.events.append(orjson.loads(line))
            else:
                print(daemon.name, line.decode(), end="", file=sys.stderr)

    # Requests

    async def call(
        self, method: str, address: str, path: str, body: Any = None, **more: Any
    ) -> tuple[int, Any]:
        """Send a request and return the status and the body, decoded if it is JSON."""
        data = body if isinstance(body, (bytes, type(None))) else orjson.dumps(body)
        url = f"http://{address}{path}"
        async with self.session.request(method, url, data=data, **more) as answer:
            raw = await answer.read()
            is_json = answer.content_type == "application/json"
            return answer.status, orjson.loads(raw) if is_json else raw.decode()

    async def post(self, address: str, path: str, body: Any) -> Any:
        """Send a POST request and return the body of the answer."""
        return (await self.call("POST", address, path, body))[1]

    async def get(self, address: str, path: str) -> Any:
        """Send a GET request and return the body of the answer."""
        return (await self.call("GET", address, path))[1]

    async def publish(self, gateway: Daemon, values: dict[str, Any], change_id: str) -> int:
        """Publish values on top of the current version, and return the new version."""
        base = (await self.get(gateway.operator, "/config"))["version"]
        change = {"change_id": change_id, "base": base, "author": "test", "values": values}
        answer = await self.post(gateway.operator, "/config/changes", change)
        assert answer.get("accepted"), answer
        return int(answer["version"])

    async def ready(self, *daemons: Daemon) -> None:
        """Wait until the daemons are ready."""
        for daemon in daemons:
            await self.until(lambda d=daemon: self._is_ready(d), f"{daemon.name} ready")

    async def _is_ready(self, daemon: Daemon) -> bool:
        return (await self.call("GET", daemon.operator, "/readyz"))[0] == 200

    async def until(self, condition: Any, what: str, *, timeout_s: float = 40.0) -> None:
        """Wait until a coroutine function returns a true value."""
        try:
            async with asyncio.timeout(timeout_s):
                while not await condition():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise AssertionError(f"not within {timeout_s} s: {what}") from None

    async def witness(self) -> dict[str, Any]:
        """Return the merged records and violations of all witnesses."""
        seen: dict[str, Any] = {"begun": {}, "completed": {}, "running": {}, "violations": []}
        for address in self.witnesses.values():
            part = await self.get(address, "/witness")
            for key in ("begun", "completed", "running"):
                for task, value in part[key].items():
                    if key != "begun" and task in seen[key]:
                        seen["violations"].append(f"{task}: {key} in two halls")
                    seen[key][task] = value
            seen["violations"] += part["violations"]
        return seen
