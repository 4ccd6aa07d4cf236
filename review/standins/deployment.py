"""A small deployment on loopback: hosts by the deploy file, store, executors, machine list."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, TextIO

from standins.executors import Executor, Step
from standins.http import Answer, Request, Response, Server, call, json_response
from standins.store import Store

ROOT = Path(__file__).resolve().parents[2]

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": 6000,
    "stop_ms": 900,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "far_x": 3,
    "save_s": 0.5,
    "restore_ms": 250,
    "notice_ms": 4500,
    "move_s": 1.5,
    "upkeep_s": 2,
    "requireFencing": True,
    "leaseMs": 3000,
    "thawMs": 300,
    "pace_ms": 100,
    "harm_ms": 4000,
}
"""The bounds of the site pedalne-sched."""

ZONES = ("recife-a", "recife-b", "recife-c")
SERVICE = "balcao"
CALLER_HOST = "caller.example"
HEARTBEAT_S = 1.5
CLIENT_TIMEOUT_S = 3.0
READY_LIMIT_S = 25.0
ENTRY_SILENCE_S = 3 * HEARTBEAT_S
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def free_port(ip: str) -> int:
    """Return a free port at a loopback address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


class Host:
    """One process of the system, started with the deploy file's command."""

    def __init__(self, name: str, settings: Path, log: Path, front: str, ready: str) -> None:
        self.name = name
        self.front = front
        self.ready = ready
        self.log = log
        self._settings = settings
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LINKSPAN_BOOT": str(self._settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["host"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process: as planned, then by force."""
        if self.process is None or self.process.returncode is not None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(BOUNDS["graceS"]):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """Hosts and stand-ins of one run.

    Args:
        record: File that gets a line for everything that was sent, answered and run.
        zones: Zones of the deployment.
        hosts: Number of hosts in each zone.
        executors: Number of executors in each zone.
    """

    def __init__(
        self,
        record: TextIO,
        *,
        zones: tuple[str, ...] = ZONES,
        hosts: int = 1,
        executors: int = 8,
        cpu: int = 32_000,
        memory_mb: int = 128_000,
        guards: bool = True,
        same_ids: bool = False,
    ) -> None:
        self._record = record
        self._zones = zones
        self._host_count = hosts
        self._executor_count = executors
        self._room = {"cpu": cpu, "memory_mb": memory_mb, "guards": guards}
        self._random = random.Random()
        self._folder = Path(tempfile.mkdtemp(prefix="linkspan-review-"))
        self._same_ids = same_ids
        self.started_at = time.monotonic()
        self.store = Store()
        self.executors: list[Executor] = []
        self.hosts: list[Host] = []
        self.jobs: dict[str, list[Step]] = {}
        self.quiet_jobs: set[str] = set()
        self.starts: dict[str, list[tuple[float, Executor, int]]] = {}
        self.done: dict[str, float] = {}
        self.queue: dict[str, Any] = {
            "name": "r-merge",
            "hostname": CALLER_HOST,
            "pathPrefix": "/jobs/",
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 1000,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 4,
            "stretch": 2.0,
        }
        self.version = 0
        self._renewed = 0

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{self.now:8.3f} {text}\n")

    async def open(self) -> None:
        """Start everything, and wait until every host calls itself ready."""
        store = await self.store.open()
        machines = await Server(self._machines).open()
        self.configure()
        for zone in self._zones:
            for number in range(self._executor_count):
                await self._add_executor(f"i-{zone[-1]}{number:07x}", zone)
        network = f"127.{self._random.randint(2, 250)}.{self._random.randint(1, 250)}"
        for zone in self._zones:
            for number in range(self._host_count):
                ip = f"{network}.{len(self.hosts) + 1}"
                self.hosts.append(
                    self._new_host(f"edge-{zone}-{number + 1}", zone, ip, store, machines)
                )
        await asyncio.gather(*(host.start() for host in self.hosts))
        async with asyncio.timeout(READY_LIMIT_S):
            while not all(await asyncio.gather(*(self._is_ready(h) for h in self.hosts))):
                await asyncio.sleep(0.2)
        # Until each hall has an owner that has read the executors.
        await asyncio.sleep(3.0)
        self.note("every host is ready")

    def configure(self, **changes: Any) -> None:
        """Write a configuration as the operator."""
        self.version += 3
        self.queue |= changes
        service = {
            "name": SERVICE,
            "healthPath": "/health",
            "maxConnections": 64,
            "protocol": "h1",
            "tls": False,
            "admissionCheck": self._room["guards"],
            "spare": False,
        }
        fields = {
            "version": self.version,
            "routes": [self.queue],
            "services": [service],
            "limits": LIMITS,
        }
        self.store.put("keyed.op", "config", json.dumps(fields).encode())

    async def crash(self, executor: Executor, down_s: float) -> None:
        """Crash an executor; its entry goes after three heartbeats, a new one comes there."""
        self.note(f"{executor.name}: crashes")
        executor.crash()
        began = time.monotonic()
        await asyncio.sleep(min(down_s, ENTRY_SILENCE_S))
        if down_s >= ENTRY_SILENCE_S:
            self.store.put("keyed.servers", executor.name, b"")
        await asyncio.sleep(max(began + down_s - time.monotonic(), 0.0))
        self.executors.remove(executor)
        self._renewed += 1
        name = f"i-{executor.zone[-1]}{self._renewed + 0x8000:07x}"
        await self._add_executor(name, executor.zone, address=executor.address)
        self.note(f"{name}: comes in the place of {executor.name}")
        await asyncio.sleep(max(began + ENTRY_SILENCE_S - time.monotonic(), 0.0))
        self.store.put("keyed.servers", executor.name, b"")

    def lose(self, executor: Executor) -> None:
        """Lose an executor for good; its entry goes after three heartbeats, its machine at once."""
        self.note(f"{executor.name}: is lost for good")
        executor.crash()
        loop = asyncio.get_running_loop()
        loop.call_later(ENTRY_SILENCE_S, self.store.put, "keyed.servers", executor.name, b"")

    async def restart(self, executor: Executor, down_s: float) -> Executor:
        """Crash an executor, which says nothing for a while and then starts under its id."""
        self.note(f"{executor.name}: crashes, dark")
        executor.crash(dark=True)
        await asyncio.sleep(down_s)
        executor.leave_address()
        self.executors.remove(executor)
        self.note(f"{executor.name}: starts again under its id")
        return await self._add_executor(executor.name, executor.zone, address=executor.address)

    async def _add_executor(self, name: str, zone: str, *, address: str = "") -> Executor:
        executor = Executor(
            name,
            zone,
            SERVICE,
            self.store,
            self._step_of,
            self._on_event,
            BOUNDS["holdMaxMs"] / 1000,
            HEARTBEAT_S,
            address=address,
            born_ms=int(time.time() * 1000) if self._same_ids else None,
            **self._room,
        )
        await executor.open()
        self.executors.append(executor)
        return executor

    def _new_host(self, name: str, zone: str, ip: str, store: str, machines: str) -> Host:
        front, ready = f"{ip}:{free_port(ip)}", f"{ip}:{free_port(ip)}"
        settings = {
            "nodeName": name,
            "role": "host",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": zone,
            "region": "recife",
            "zones": dict.fromkeys(self._zones, "recife"),
            "bindAddresses": {"front": front, "ready": ready},
            "internalPortRange": [7720, 7735],
            "seeds": [],
            "bootstrap": True,
            "faultCounted": False,
            "limits": {"cpuShare": 0.43, "cores": 1, "memoryMb": 300, "maxFds": 4100},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "commands": "invoke",
            "platform": {
                "address": store,
                "form": "log",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "parts": 24,
                "append_ms": 1.0,
                "part_mb_per_s": 20.0,
                "read_mb_per_s": 80.0,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "keep_s": 300,
                "part_mb": 200,
                "ttl_min_ms": 1000,
            },
            "cloudApi": {"address": machines, "ratePerS": 60.0, "duties": [], "dutyPerS": 60.0},
        }
        path = self._folder / f"{name}.yaml"
        path.write_text(json.dumps(settings))
        return Host(name, path, self._folder / f"{name}.log", front, ready)

    async def _is_ready(self, host: Host) -> bool:
        answer = await call(host.ready, "GET", "/api/readiness", timeout_s=1.0)
        return answer.status == 200

    async def _machines(self, request: Request) -> Response:
        rows = [
            {
                "machine": f"m-{executor.address.rpartition(':')[2]}",
                "pool": SERVICE,
                "state": "up" if executor.alive else "down",
                "zone": executor.zone,
                "labels": ["a", f"{executor.zone}-1"],
                "capacity": {"cpu": executor.cpu, "memMb": executor.memory_mb, "gpu": 0},
                "id": executor.name if executor.alive else "",
            }
            for executor in self.executors
        ]
        return json_response({"machines": rows, "nextToken": None})

    def _step_of(self, task: str) -> Step | None:
        job_id, _repetition, step, _index = task.split(".")
        steps = self.jobs.get(job_id)
        return steps[int(step)] if steps else None

    def _on_event(self, word: str, executor: Executor, task: str, run: int) -> None:
        if word == "start":
            self.starts.setdefault(task, []).append((time.monotonic(), executor, run))
        if word == "done":
            self.done.setdefault(task, time.monotonic())
        if task.partition(".")[0] not in self.quiet_jobs or word in ("unasked", "over"):
            self.note(f"{executor.name}: {word} {task} run {run}")

    def new_job_id(self) -> str:
        """Return an id as clients pick it."""
        return f"{self._random.getrandbits(64):016x}"

    async def request(self, host: Host, method: str, job_id: str, body: bytes = b"") -> Answer:
        """Send one request of a client to one host, and record it."""
        headers = {
            "Host": CALLER_HOST,
            "Content-Type": "application/json",
            "Linkspan-Timeout-Ms": str(int(CLIENT_TIMEOUT_S * 1000)),
        }
        path = self.queue["pathPrefix"] + job_id
        at = self.now
        answer = await call(
            host.front, method, path, headers=headers, body=body, timeout_s=CLIENT_TIMEOUT_S
        )
        got = answer.body[:60].decode(errors="replace") if answer.status else answer.error
        self.note(
            f"{host.name}: {method} {path} ({len(body)} bytes, sent at {at:.3f}) -> "
            f"{answer.status} {got}"
        )
        return answer

    async def close(self) -> None:
        """End all processes that were started; keep their logs if ``KEEP_LOGS`` is set."""
        await asyncio.gather(*(host.end() for host in self.hosts))
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self._folder, ignore_errors=True)
