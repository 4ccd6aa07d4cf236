"""A small deployment on loopback: the store, the machine list, executors and host processes.

The stand-ins follow PROTOCOL.md and DEPLOY.md. Where a page is silent they behave like a sound
platform or executor. Everything that is sent, answered and run is written to a record.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import orjson
import yaml
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "pool"
HOST_NAME = "queue.example"
PREFIX = "/work/"

BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
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
    "requireFencing": True,
    "leaseMs": 3000,
    "thawMs": 300,
    "pace_ms": 100,
    "harm_ms": 4000,
}
"""Bounds of the small site pedalne-sched."""

OWNER_CLAIMED = 500
"""Number of the hosts' log event of a claim; only used to choose hosts, never to judge."""

MEMORY_MB = 300
"""Memory of a process on the small site's machines; one that goes over it is killed."""

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152


COMMAND = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["host"]["run"]


def now() -> float:
    return time.monotonic()


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begin = now()

    def __call__(self, text: str) -> None:
        self._file.write(f"{now() - self._begin:8.3f} {text}\n")
        self._file.flush()


def listen(ip: str, port: int = 0) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    sock.listen(1024)
    return sock


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that nobody listens at."""
    socks = [listen(ip) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


async def serve(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], ip: str, port: int = 0
) -> str:
    runner = web.ServerRunner(web.Server(handler, access_log=None, keepalive_timeout=600))
    await runner.setup()
    sock = listen(ip, port)
    await web.SockSite(runner, sock, backlog=1024).start()
    return "{}:{}".format(*sock.getsockname()[:2])


class Log:
    """One partition of a topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[bytes, int] = {}
        self.producers: dict[str, tuple[int, int, deque[tuple[int, dict[str, int]]]]] = {}
        self.grown = asyncio.Event()

    def append(self, bodies: list[bytes], keyed: bool) -> dict[str, int]:
        offset = len(self.records)
        for body in bodies:
            if keyed:
                self.newest[body[1 : 1 + body[0]]] = len(self.records)
            self.records.append(body)
        if bodies:
            self.grown.set()
            self.grown = asyncio.Event()
        return {"offset": offset, "end": len(self.records)}


class Store:
    """The platform's store; each host has a port of its own: single ones can be turned away.

    Attributes:
        away: How the calls of a host fail, by name of the host: ``busy`` (503) or ``silent``.
            Either way nothing is done.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.logs: dict[tuple[str, int], Log] = {}
        self.ports: dict[int, str] = {}
        self.away: dict[str, str] = {}
        self.too_large = 0
        self.addresses: dict[str, str] = {}

    async def open(self, names: list[str]) -> None:
        for name in names:
            address = await serve(self.handle, "127.0.0.1")
            self.ports[int(address.rpartition(":")[2])] = name
            self.addresses[name] = address

    def log(self, topic: str, part: int = 0) -> Log:
        return self.logs.setdefault((topic, part), Log())

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Write a record of the operator or of an executor."""
        body = bytes((len(key.encode()),)) + key.encode() + value
        return self.log(topic).append([body], True)["offset"]

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        assert request.transport
        host = self.ports[request.transport.get_extra_info("sockname")[1]]
        body = await request.read()
        if self.away.get(host) == "busy":
            return web.Response(status=503)
        if self.away.get(host) == "silent":
            await asyncio.sleep(600)
        name = request.path.rpartition("/")[2]
        query = request.query
        log = self.log(query["topic"], int(query["part"]))
        await asyncio.sleep(0.003)
        if name == "log-append":
            return self._append(host, log, query, body)
        if name == "log-read":
            return await self._read(host, log, query)
        if name == "log-newest":
            return self._newest(log, query)
        return web.Response(status=400)

    def _append(self, host: str, log: Log, query: Any, body: bytes) -> web.Response:
        keyed = query["topic"].startswith("keyed.")
        if query["topic"] == "keyed.servers":
            return web.Response(status=403)
        bodies, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            bodies.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        if len(body) > CALL_BYTES or any(len(each) > RECORD_BYTES for each in bodies):
            self.too_large += 1
            if self.too_large <= 20:
                sizes = max(map(len, bodies))
                self.record(
                    f"store: {host} appends to {query['topic']}: {len(body)} bytes, largest "
                    f"record {sizes}: over the limit, 400"
                )
            return web.json_response({"reason": "size"}, status=400)
        if "at" in query and int(query["at"]) != len(log.records):
            return web.json_response({"end": len(log.records)}, status=412)
        if "producer" not in query:
            return web.json_response(log.append(bodies, keyed))
        name, epoch, seq = query["producer"], int(query["epoch"]), int(query["callSeq"])
        seen, last, answers = log.producers.get(name, (-1, 0, deque(maxlen=5)))
        if epoch < seen:
            return web.json_response({"reason": "fenced", "epoch": seen}, status=409)
        if epoch == seen:
            for number, answer in answers:
                if number == seq:
                    return web.json_response(answer)
            if seq != last + 1:
                return web.json_response({"reason": "seq", "callSeq": last + 1}, status=409)
        else:
            answers = deque(maxlen=5)
        answer = log.append(bodies, keyed)
        answers.append((seq, answer))
        log.producers[name] = (epoch, seq, answers)
        return web.json_response(answer)

    async def _read(self, host: str, log: Log, query: Any) -> web.Response:
        start = int(query["from"])
        until = now() + int(query.get("waitMs", 0)) / 1000
        while len(log.records) <= start and now() < until:
            grown = log.grown
            try:
                await asyncio.wait_for(grown.wait(), until - now())
            except TimeoutError:
                break
        limit = 1024 * int(query.get("max_kb", 1024))
        parts, size = [struct.pack(">QQ", len(log.records), 0)], 16
        for body in log.records[start:]:
            size += len(body) + 4
            if size > limit and len(parts) > 1:
                break
            parts.append(struct.pack(">I", len(body)) + body)
        if self.away.get(host) == "silent":
            await asyncio.sleep(600)
        return web.Response(body=b"".join(parts))

    def _newest(self, log: Log, query: Any) -> web.Response:
        after = query.get("dependsOn", "").encode()
        keys = sorted(key for key in log.newest if key > after)
        rows, size = [], 0
        more = False
        for key in keys:
            offset = log.newest[key]
            value = log.records[offset][1 + len(key) :]
            if not value:
                continue
            if len(rows) == 500 or size > 1_000_000:
                more = True
                break
            size += len(value)
            rows.append(
                {
                    "privateKey": key.decode(),
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
            )
        return web.json_response({"items": rows, "more": more, "end": len(log.records)})


class Run:
    def __init__(self, task: str, number: int, begin: float) -> None:
        self.task, self.number, self.begin = task, number, begin
        self.stopping = False
        self.timer: asyncio.TimerHandle | None = None


class Executor:
    """One executor: leases, fences, room, runs and ends as PROTOCOL.md tells."""

    def __init__(self, world: World, number: int, zone: str) -> None:
        self.world = world
        self.number = number
        self.zone = zone
        self.id = f"i-{secrets.token_hex(4)}"
        self.token = 0
        self.until = 0.0
        self.running: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self.floor: dict[str, int] = {}
        self.count = 0
        self.changed = asyncio.Event()
        self.used = [0, 0]
        self.state = "ready"
        self.seq = 0
        self.gone = False
        self.born = {"born": int(time.time() * 1000)} if world.tells_born else {}

    @property
    def clock_ms(self) -> int:
        return int(now() * 1000)

    async def open(self) -> None:
        self.address = await serve(self.handle, "127.0.0.1")

    def beat(self) -> None:
        self.seq += 1
        entry = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.world.cpu, "memMb": self.world.mem_mb, "gpu": 0},
            "labels": ["a", f"r{self.number // 8}"],
            "clockMs": self.clock_ms,
            "callSeq": self.seq,
            **self.born,
        }
        self.world.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def lose(self) -> None:
        """Lose power for good: its runs die, it answers nothing, and its entry goes."""
        self.world.record(f"{self.id} is lost for good with {sorted(self.running)}")
        self.gone = True
        for run in self.running.values():
            if run.timer:
                run.timer.cancel()
        self.running.clear()
        self.used = [0, 0]
        loop = asyncio.get_running_loop()
        loop.call_later(4.5, self.world.store.put, "keyed.servers", self.id, b"")

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.gone:
            await asyncio.sleep(600)
        body = orjson.loads(await request.read() or b"{}")
        if request.headers.get("Linkspan-Target-Instance", self.id) != self.id:
            return web.json_response({}, status=421)
        token = body.get("fencingToken", 0)
        self.expire()
        if token < self.token:
            return self._answer(409, reason="fence")
        self.token = token
        name = request.path.rpartition("/")[2]
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            self._stop(body["task"], body["run"])
            return self._answer(200)
        if name == "hold":
            return await self._hold(body)
        if name == "pace":
            return self._answer(200)
        return web.Response(status=404)

    def _answer(self, status: int, **fields: Any) -> web.Response:
        data = orjson.dumps({"clockMs": self.clock_ms, **self.born, **fields})
        return web.Response(body=data, status=status, content_type="application/json")

    def _lease(self, body: dict[str, Any]) -> None:
        until = min(body["untilMs"] / 1000, now() + self.world.bounds["holdMaxMs"] / 1000)
        self.until = max(self.until, until)

    def _start(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        if body["untilMs"] / 1000 <= now():
            return self._answer(409, reason="late")
        self._lease(body)
        run = self.running.get(task)
        if run and run.number == number:
            return self._answer(200)
        if run or number <= self.floor.get(task, 0):
            return self._answer(409, reason="old")
        step = self.world.step_of(task, body["spec"])
        if step is None:
            self.world.broken(f"UNASKED {task} run {number} on {self.id}: no client sent it")
            return self._answer(400)
        cpu = 0 if step.get("fills") else step.get("cpu", 0)
        if (
            self.used[0] + cpu > self.world.cpu
            or self.used[1] + step.get("memMb", 0) > self.world.mem_mb
        ):
            return self._answer(409, reason="room")
        self.used[0] += cpu
        self.used[1] += step.get("memMb", 0)
        run = self.running[task] = Run(task, number, now())
        self.world.on_start(self, run)
        seconds, how = self.world.work(task)
        if seconds is not None:
            run.timer = asyncio.get_running_loop().call_later(seconds, self.end, run, how)
        return self._answer(200)

    def _stop(self, task: str, number: int) -> None:
        self.floor[task] = max(self.floor.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(0.3, self.end, run, "stopped")

    def end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer:
            run.timer.cancel()
        step = self.world.step_of(run.task, None) or {}
        self.used[0] -= 0 if step.get("fills") else step.get("cpu", 0)
        self.used[1] -= step.get("memMb", 0)
        self.floor[run.task] = max(self.floor.get(run.task, 0), run.number)
        self.count += 1
        self.ended.append([self.count, run.task, run.number, how, ""])
        self.world.on_end(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self) -> None:
        if self.running and now() >= self.until:
            for run in list(self.running.values()):
                self.end(run, "lapsed")

    def saved(self, _run: Run) -> str:
        """The checkpoint of a run; the tasks of the scripts save none."""
        return ""

    def _figure(self, run: Run) -> int:
        """The rough figure of a run: a calm tail of a task that serves, else the cpu in use."""
        step = self.world.step_of(run.task, None) or {}
        return max(step["target_ms"] // 4, 1) if "target_ms" in step else step.get("cpu", 0)

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        if "untilMs" in body:
            self._lease(body)
        seen = body.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        until = now() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ended and now() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), until - now())
            except TimeoutError:
                break
        if body.get("fencingToken", 0) < self.token:
            return self._answer(409, reason="fence")
        running = [
            [run.task, run.number, self.saved(run), 100, self._figure(run)]
            for run in self.running.values()
        ]
        return self._answer(200, running=running, ended=self.ended[:500])


class Host:
    """A host process, started by the command of the deploy file."""

    def __init__(self, world: World, number: int, zone: str) -> None:
        self.world, self.number, self.zone = world, number, zone
        self.name = f"edge-{zone}-{number}"
        self.ip = f"127.{1 + (os.getpid() >> 8) % 250}.{os.getpid() % 256}.{10 + number}"
        self.process: asyncio.subprocess.Process | None = None
        self.log = world.folder / f"{self.name}.log"

    @property
    def front(self) -> str:
        return f"{self.ip}:{self.front_port}"

    def write_settings(self, store: str) -> None:
        self.front_port, self.ready_port = free_ports(self.ip, 2)
        zones = {zone: "region" for zone in self.world.zones}
        fields = {
            "nodeName": self.name,
            "role": "host",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region",
            "zones": zones,
            "bindAddresses": {"front": self.front, "ready": f"{self.ip}:{self.ready_port}"},
            "internalPortRange": [7720, 7735],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.43,
                "cores": 1,
                "memoryMb": MEMORY_MB,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1500,
            "bounds": self.world.bounds,
            "commands": "invoke",
            "platform": {
                "address": store,
                "form": "log",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "parts": 24,
                "append_ms": 1.0,
                "record_bytes": RECORD_BYTES,
                "call_bytes": CALL_BYTES,
                "keep_s": 300,
                "part_mb": 200,
            },
            "cloudApi": {
                "address": self.world.cloud,
                "ratePerS": 60.0,
                "duties": [],
                "dutyPerS": 60.0,
            },
        }
        self.settings = self.world.folder / f"{self.name}.yaml"
        self.settings.write_text(yaml.safe_dump(fields))

    async def start(self) -> None:
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.world.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LINKSPAN_BOOT": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND.split(),
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        self.world.record(f"{self.name} gets {number.name}")
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """The resident memory of the process."""
        assert self.process
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(sizes[0]) / 1024 if sizes else 0.0

    async def keep_within_memory(self) -> None:
        """Kill the process when it goes over its memory, and start it again after a second."""
        while True:
            await asyncio.sleep(0.05)
            memory_mb = self.memory_mb()
            if memory_mb <= MEMORY_MB:
                continue
            self.world.kills.append((now(), self.name))
            self.world.record(f"{self.name} takes {memory_mb:.0f} of {MEMORY_MB} MB and is killed")
            await self.end()
            await asyncio.sleep(1.0)
            await self.start()
            self.world.record(f"{self.name} is started again")

    async def end(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def events(self) -> list[dict[str, Any]]:
        found = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{"):
                found.append(json.loads(line))
        return found


class World:
    """The whole deployment."""

    def __init__(
        self,
        folder: Path,
        record: Record,
        *,
        zones: list[str],
        hosts: int,
        executors: int,
        cpu: int = 32_000,
        mem_mb: int = 128_000,
        tells_born: bool = False,
    ) -> None:
        self.folder, self.record = folder, record
        self.zones, self.cpu, self.mem_mb = zones, cpu, mem_mb
        self.bounds = dict(BOUNDS)
        self.tells_born = tells_born
        self.store = Store(record)
        self.hosts = [
            Host(self, number, zone)
            for zone in zones
            for number in range(zones.index(zone) * hosts, zones.index(zone) * hosts + hosts)
        ]
        self.executors = [
            Executor(self, index, zones[index % len(zones)]) for index in range(executors)
        ]
        self.jobs: dict[str, dict[str, Any]] = {}
        self.work: Callable[[str], tuple[float | None, str]] = lambda _task: (1.0, "done")
        self.found: list[str] = []
        self.kills: list[tuple[float, str]] = []
        self.done: set[str] = set()
        self.unrecorded: set[str] = set()
        """Jobs whose single starts and ends are not recorded, as they have thousands."""
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.version = 0
        self.routes: list[dict[str, Any]] = []
        self._tasks: list[asyncio.Task[None]] = []

    def broken(self, text: str) -> None:
        self.record(f"BROKEN {text}")
        self.found.append(text)

    def step_of(self, task: str, spec: str | None) -> dict[str, Any] | None:
        job_id, _k, step, _index = task.split(".")
        job = self.jobs.get(job_id)
        if job is None or (spec is not None and spec != job.get("spec", "")):
            return None
        return job["steps"][int(step)]

    def on_start(self, executor: Executor, run: Run) -> None:
        self.starts.append((now(), run.task, run.number, executor.id))
        if run.task.split(".")[0] not in self.unrecorded:
            self.record(f"{executor.id} starts {run.task} run {run.number}")

    def on_end(self, executor: Executor, run: Run, how: str) -> None:
        self.ends.append((now(), run.task, run.number, how))
        if how == "done":
            self.done.add(run.task)
        if run.task.split(".")[0] not in self.unrecorded:
            self.record(f"{executor.id} ends {run.task} run {run.number}: {how}")

    def running(self, job_id: str) -> list[str]:
        return [
            run.task
            for executor in self.executors
            for run in executor.running.values()
            if run.task.startswith(job_id)
        ]

    def _idle_tasks(self, job_id: str) -> list[tuple[dict[str, Any], int]]:
        """Return the steps of a job whose turn has come, with their tasks that are not done.

        Of a job with times, those of the first time.
        """
        steps = self.jobs[job_id]["steps"]
        if time.time() < self.jobs[job_id].get("firstMs", 0) / 1000:
            return []

        def is_done(number: int) -> bool:
            ends = [f"{job_id}.0.{number}.{i}" in self.done for i in range(steps[number]["count"])]
            return any(ends) if steps[number].get("gangScheduled") else all(ends)

        found = []
        for number, step in enumerate(steps):
            if is_done(number) or not all(
                is_done(earlier) for earlier in step.get("dependsOn", [])
            ):
                continue
            names = (f"{job_id}.0.{number}.{index}" for index in range(step["count"]))
            found.append((step, sum(name not in self.done for name in names)))
        return found

    def _waits_beside_room(self, job_id: str) -> bool:
        """Whether a job has nothing running, though a turn has come and there is room twice over.

        Under half of the service's cores have to be in use, too.
        """
        if self.running(job_id) or 2 * sum(e.used[0] for e in self.executors) >= self.cpu * len(
            self.executors
        ):
            return False
        for step, tasks in self._idle_tasks(job_id):
            cpu = 0 if step.get("fills") else step.get("cpu", 0)
            slots = 0
            for executor in self.executors:
                if executor.gone:
                    continue
                fits = [(self.cpu - executor.used[0]) // cpu] if cpu else []
                fits += [(self.mem_mb - executor.used[1]) // step["memMb"]]
                fits += [step["antiAffinity"]] if "antiAffinity" in step else []
                slots += min(fits)
            if slots >= 2 * tasks:
                return True
        return False

    async def judge_lost(self, accepted: list[str], *, seconds: float = 4.0) -> None:
        """The rule LOST, finish_s after the end of the traffic.

        Each job has to be known; and none may have nothing running for 3 s while a task's turn has
        come and there is room for it twice over. The stand-ins are watched for longer.
        """
        await asyncio.sleep(self.bounds["finish_s"])
        waiting = set(accepted)
        until = now() + seconds
        while now() < until:
            waiting = {job_id for job_id in waiting if self._waits_beside_room(job_id)}
            await asyncio.sleep(0.1)
        used = sum(executor.used[0] for executor in self.executors)
        self.record(f"{used} of {self.cpu * len(self.executors)} thousandths of a core are in use")
        answers = await asyncio.gather(*(self._ask(job_id) for job_id in accepted))
        for job_id, (status, body) in zip(accepted, answers, strict=True):
            if status != 200:
                self.broken(f"LOST {job_id}: asked for at the end, the last answer is {status}")
            elif job_id in waiting:
                tasks = sum(count for _, count in self._idle_tasks(job_id))
                self.broken(
                    f"LOST {job_id}: shown as {body['state']}, none of it ran for {seconds:.0f} s "
                    f"though the turn of {tasks} tasks has come and there is room twice over"
                )

    async def _ask(self, job_id: str) -> tuple[int, Any]:
        """Ask for a job, as a client does: five times at most, within three seconds."""
        status, body, until = 0, None, now() + 3.0
        for number in range(5):
            host = self.hosts[number % len(self.hosts)]
            status, body = await self.call("GET", host, job_id, timeout_s=max(until - now(), 0.1))
            if status == 200 or now() >= until:
                break
            await asyncio.sleep(0.3)
        return status, body

    def configure(self, extra: list[dict[str, Any]] | None = None, **more: Any) -> int:
        """Publish a configuration with the queue of all jobs and extra routes."""
        self.version += 3
        base = {
            "name": "r-0",
            "hostname": HOST_NAME,
            "pathPrefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 1000,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 4,
            "stretch": 2.0,
            **more,
        }
        fields = {
            "version": self.version,
            "routes": [base, *(extra or [])],
            "services": [
                {
                    "name": SERVICE,
                    "healthPath": "/health",
                    "maxConnections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "admissionCheck": True,
                    "spare": False,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("keyed.op", "config", json.dumps(fields).encode())
        self.record(f"operator: version {self.version} acknowledged")
        return self.version

    async def _machines(self, _request: web.BaseRequest) -> web.Response:
        rows = [
            {
                "machine": f"m-{e.number}",
                "pool": SERVICE,
                "state": "down" if e.gone else "up",
                "zone": e.zone,
                "labels": ["a", f"r{e.number // 8}"],
                "id": "" if e.gone else e.id,
                "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0},
            }
            for e in self.executors
        ]
        return web.json_response({"machines": rows, "nextToken": None})

    async def _beats(self) -> None:
        while True:
            for executor in self.executors:
                if not executor.gone:
                    executor.beat()
            await asyncio.sleep(1.5)

    async def _leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            for executor in self.executors:
                executor.expire()

    async def __aenter__(self) -> World:
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        await self.store.open([host.name for host in self.hosts])
        self.cloud = await serve(self._machines, "127.0.0.1")
        for executor in self.executors:
            await executor.open()
            executor.beat()
        self.configure()
        self._tasks = [asyncio.create_task(self._beats()), asyncio.create_task(self._leases())]
        return self

    async def start_hosts(self, limit_s: float = 20.0) -> None:
        for host in self.hosts:
            if not hasattr(host, "settings"):
                host.write_settings(self.store.addresses[host.name])
        await asyncio.gather(*(host.start() for host in self.hosts))
        async with asyncio.timeout(limit_s):
            for host in self.hosts:
                while not await self.ready(host):
                    await asyncio.sleep(0.1)
            # Owners have claimed their halls, and every executor has been asked.
            while any(executor.token == 0 for executor in self.executors):
                await asyncio.sleep(0.1)
        for host in self.hosts:
            self._tasks.append(asyncio.create_task(host.keep_within_memory()))
        self.record("all hosts are ready and every hall has an owner")

    async def __aexit__(self, *_error: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            await host.end()
        await self.session.close()

    async def ready(self, host: Host) -> bool:
        url = f"http://{host.ip}:{host.ready_port}/api/readiness"
        try:
            async with asyncio.timeout(1), self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def owners(self) -> dict[int, str]:
        """Return the last host that claimed each hall, by the hosts' logs."""
        found: dict[int, tuple[int, str]] = {}
        for host in self.hosts:
            for event in host.events():
                if event.get("event") == OWNER_CLAIMED:
                    shard, token = event["shard"], event["token"]
                    if token > found.get(shard, (0, ""))[0]:
                        found[shard] = token, host.name
        return {shard: name for shard, (_, name) in found.items()}

    async def call(
        self,
        method: str,
        host: Host,
        path: str,
        body: Any = None,
        *,
        prefix: str = PREFIX,
        timeout_s: float = 3.0,
        address: str = "",
        quiet: bool = False,
    ) -> tuple[int, Any]:
        """One request of a client; the status is 0 without an answer in time."""
        headers = {"Host": HOST_NAME, "Linkspan-Timeout-Ms": str(int(timeout_s * 1000))}
        if body is not None:
            headers["Content-Type"] = "application/json"
        url = f"http://{address or host.front}{prefix}{path}"
        sent = now()
        status, text = 0, b""
        try:
            async with asyncio.timeout(timeout_s):
                data = None if body is None else json.dumps(body).encode()
                async with self.session.request(method, url, headers=headers, data=data) as answer:
                    status, text = answer.status, await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            text = repr(error).encode()
        if not quiet:
            self.record(
                f"client: {method} {prefix}{path} at {host.name} -> {status or 'no answer'} "
                f"{text[:80].decode(errors='replace')} after {(now() - sent) * 1000:.0f} ms"
            )
        try:
            return status, json.loads(text)
        except ValueError:
            return status, None

    def new_job(self, steps: list[dict[str, Any]], **more: Any) -> str:
        job_id = secrets.token_hex(8)
        self.jobs[job_id] = {"spec": f"job {job_id}", "steps": steps, **more}
        return job_id


def main(case: Callable[[World, bool], Awaitable[None]], folder: Path, **size: Any) -> None:
    """Run a case and exit with 1 if a rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"TROUBLE={int(trouble)}")

    async def play() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            world = World(Path(temporary), record, **size)
            try:
                async with asyncio.timeout(115), world:
                    await case(world, trouble)
            except Exception as error:
                record(f"could not run: {error!r}")
                print(f"could not run: {error!r}")
                for host in world.hosts:
                    if host.log.exists():
                        print(host.name, host.log.read_text()[-1500:], file=sys.stderr)
                return 2
            finally:
                if os.environ.get("KEEP_LOGS"):
                    for host in world.hosts:
                        if host.log.exists():
                            (Path(os.environ["KEEP_LOGS"]) / host.log.name).write_bytes(
                                host.log.read_bytes()
                            )
            return 1 if world.found else 0

    code = asyncio.run(play())
    record({0: "held", 1: "the rule was broken", 2: "could not run"}[code])
    print({0: "held", 1: "the rule was broken", 2: "could not run"}[code])
    sys.exit(code)
