"""A small deployment on loopback: hosts as processes, and stand-ins of the platform around them.

The hosts are started with the command of the deploy file. The store, the executors, the operator
and the clients live in this process; each executor and the store have sockets of their own, and
speak what PROTOCOL.md says. Where it is silent they behave like sound ones. Everything that was
sent, answered and run is written to the record.
"""

from __future__ import annotations

import asyncio
import base64
import ctypes
import json
import os
import random
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections import defaultdict
from pathlib import Path

import aiohttp
import yaml
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

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
    "holdMaxMs": 10000,
    "stop_ms": 900,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "far_x": 1.5,
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
}  # those of sites/bbl-finder.toml


RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
"""Limits of the store on one record and on one call."""


def free_port(ip: str = "127.0.0.1") -> int:
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run, with the seconds since the beginning."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self._began

    def __call__(self, text: str) -> None:
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()


class _Filter(ctypes.Structure):
    _fields_ = [
        ("code", ctypes.c_uint16),
        ("jt", ctypes.c_uint8),
        ("jf", ctypes.c_uint8),
        ("k", ctypes.c_uint32),
    ]


def deafen(sock: socket.socket) -> None:
    """Let a socket of this process drop all that arrives, keep-alive probes too.

    An ordinary socket option: a filter that keeps no byte. The peer gets no acknowledgement, no
    data and no reset any more, as on a connection that has gone silent on the way.
    """
    drop_all = _Filter(0x06, 0, 0, 0)
    program = struct.pack("HP", 1, ctypes.addressof(drop_all))
    sock.setsockopt(socket.SOL_SOCKET, 26, program)  # SO_ATTACH_FILTER


class HttpServer:
    """An HTTP server whose open connections can be made silent."""

    def __init__(self, ip: str = "127.0.0.1") -> None:
        self.ip = ip
        self.transports: set[asyncio.Transport] = set()
        self.silent: set[asyncio.Transport] = set()
        self._server: asyncio.AbstractServer | None = None

    async def open(self) -> None:
        self._web = web.Server(self._serve, keepalive_timeout=3600)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._web, self.ip, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def close(self) -> None:
        if self._server:
            self._server.close()

    def silence_all(self) -> int:
        """Make all connections that are open now silent for good; new ones work."""
        count = 0
        for transport in list(self.transports):
            sock = transport.get_extra_info("socket")
            if transport in self.silent or sock is None or sock.fileno() < 0:
                continue
            deafen(sock)
            self.silent.add(transport)
            count += 1
        return count

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        if transport is not None:
            self.transports.add(transport)
        answer = await self.handle(request)
        if answer is None or transport in self.silent:
            await asyncio.sleep(3600)
        return answer

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse | None:
        raise NotImplementedError


class Partition:
    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes, float]] = []  # key, body, time
        self.first = 0
        self.newest: dict[bytes, tuple[bytes, int]] = {}
        self.producers: dict[str, list] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class Store(HttpServer):
    """The platform's metadata store, as a log."""

    def __init__(self, keep_s: float = 300.0) -> None:
        super().__init__()
        self.parts: dict[tuple[str, int], Partition] = defaultdict(Partition)
        self.keep_s = keep_s
        self.delay_s = 0.004
        self.hook = None  # async (request, name, topic, part) -> a response, "lost" or None

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator or an executor does."""
        body = b"" if value is None else json.dumps(value).encode()
        self._append(self.parts[f"keyed.{topic}", 0], True, [self._framed(key.encode(), body)])

    @staticmethod
    def _framed(key: bytes, value: bytes) -> bytes:
        return bytes((len(key),)) + key + value

    def _append(self, part: Partition, keyed: bool, bodies: list[bytes]) -> int:
        offset = part.end
        for body in bodies:
            key = body[1 : 1 + body[0]] if keyed else b""
            if keyed:
                value = body[1 + body[0] :]
                if value:
                    part.newest[key] = (value, part.end)
                else:
                    part.newest.pop(key, None)
            part.records.append((key, body, time.monotonic()))
        if bodies:
            part.changed.set()
            part.changed = asyncio.Event()
        return offset

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse | None:
        name = request.path.rpartition("/")[2]
        query = request.query
        topic, number = query.get("topic", ""), int(query.get("part", 0))
        body = await request.read()
        await asyncio.sleep(self.delay_s)
        if self.hook:
            found = await self.hook(request, name, topic, number)
            if found is not None:
                if found == "lost":
                    self._call(name, topic, number, query, body)
                    return None
                return found
        if name == "log-read":
            return await self._read(topic, number, query)
        status, fields = self._call(name, topic, number, query, body)
        return web.json_response(fields, status=status)

    def _call(self, name: str, topic: str, number: int, query, body: bytes):
        part = self.parts[topic, number]
        if name == "log-append":
            return self._log_append(part, topic.startswith("keyed."), query, body)
        if name == "log-newest":
            return self._log_newest(part, query)
        if name == "log-trim":
            return 200, {}
        return 400, {}

    def _log_append(self, part: Partition, keyed: bool, query, body: bytes):
        bodies, at = [], 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            bodies.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        if len(body) > CALL_BYTES or any(len(each) > RECORD_BYTES for each in bodies):
            return 413, {}  # all or nothing
        producer = query.get("producer")
        if producer:
            epoch, seq = int(query["epoch"]), int(query["callSeq"])
            known = part.producers.get(producer)
            if known and epoch < known[0]:
                return 409, {"reason": "fenced", "epoch": known[0]}
            if known and epoch == known[0]:
                if seq in known[2]:
                    return 200, known[2][seq]
                if seq != known[1] + 1:
                    return 409, {"reason": "seq", "callSeq": known[1] + 1}
        if "at" in query and int(query["at"]) != part.end:
            return 412, {"end": part.end}
        offset = self._append(part, keyed, bodies)
        answer = {"offset": offset, "end": part.end}
        if producer:
            if not known or epoch > known[0]:
                part.producers[producer] = [epoch, seq, {seq: answer}]
            else:
                known[1] = seq
                known[2][seq] = answer
                for old in sorted(known[2])[:-5]:
                    del known[2][old]
        return 200, answer

    def _log_newest(self, part: Partition, query):
        after = query.get("dependsOn", "").encode()
        keys = sorted(key for key in part.newest if key > after)
        items, size = [], 0
        for key in keys[:500]:
            value, offset = part.newest[key]
            size += len(value)
            if items and size > 1 << 20:
                break
            items.append(
                {
                    "privateKey": key.decode(),
                    "offset": offset,
                    "value": base64.b64encode(value).decode(),
                }
            )
        return 200, {"items": items, "more": len(items) < len(keys), "end": part.end}

    async def _read(self, topic: str, number: int, query) -> web.Response:
        part = self.parts[topic, number]
        start = int(query["from"])
        wait_until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        limit = 1024 * int(query.get("max_kb", 1024))
        self._expire(part)
        while start >= part.end and time.monotonic() < wait_until:
            changed = part.changed
            try:
                await asyncio.wait_for(changed.wait(), wait_until - time.monotonic())
            except TimeoutError:
                break
        if start < part.first:
            return web.json_response({"first": part.first}, status=410)
        out = struct.pack(">QQ", part.end, part.first)
        for _, body, _ in part.records[start - part.first :]:
            if len(out) + len(body) + 4 > limit and len(out) > 16:
                break
            out += struct.pack(">I", len(body)) + body
        return web.Response(body=out)

    def _expire(self, part: Partition) -> None:
        limit = time.monotonic() - self.keep_s
        drop = 0
        while drop < len(part.records) and part.records[drop][2] < limit:
            drop += 1
        if drop:
            del part.records[:drop]
            part.first += drop


class Run:
    def __init__(self, task: str, run: int, began: float) -> None:
        self.task, self.run, self.began = task, run, began
        self.stopping = False
        self.saved = ""
        self.timer: asyncio.TimerHandle | None = None


class Executor(HttpServer):
    """One machine of executors: a life at an address, and after a crash another life there."""

    def __init__(self, world: World, hall: str, rack: str, cpu: int, kind: str = "a") -> None:
        super().__init__()
        self.world, self.hall, self.rack, self.cpu, self.kind = world, hall, rack, cpu, kind
        self.slow = 1.0 - 0.02 * world.random.random()
        self.up = False
        self.late_share = 0.0
        self.draining_ms = 0
        self.fails_all = False

    def begin_life(self) -> None:
        self.id = f"i-{secrets.token_hex(5)}"
        self.born = time.monotonic()
        self.token = 0
        self.until = 0.0
        self.running: dict[str, Run] = {}
        self.below: dict[str, int] = {}
        self.ended: list[list] = []
        self.number = 0
        self.seen = 0
        self.seq = 0
        self.changed = asyncio.Event()
        self.up = True
        self.draining_ms = 0
        self.world.record(f"executor {self.id} begins at {self.address} in {self.hall}")
        self.register()

    def register(self) -> None:
        self.seq += 1
        entry = {
            "service": self.world.service,
            "address": self.address,
            "zone": self.hall,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining_ms else "ready",
            "coldRemainingMs": 0,
            "callSeq": self.seq,
            "labels": [self.kind, self.rack],
            "capacity": {"cpu": self.cpu, "memMb": 125_000, "gpu": 0},
        }
        if self.draining_ms:
            entry["remainingMs"] = self.draining_ms
        self.world.store.put("servers", self.id, entry)

    @property
    def clock(self) -> float:
        return (time.monotonic() - self.born) * self.slow + 1000.0

    def crash(self) -> None:
        """End this life without a word: nothing answers until the next one begins."""
        self.up = False
        life = self.id
        self.world.record(f"executor {life} crashes with {sorted(self.running)}")
        for run in list(self.running.values()):
            if run.timer:
                run.timer.cancel()
            self.world.note_lost(self, run)
        self.running = {}
        for transport in list(self.transports):
            transport.abort()
        self.transports.clear()
        loop = asyncio.get_running_loop()
        # The entry goes after three heartbeats of silence.
        loop.call_later(4.5, self.world.store.put, "servers", life, None)

    async def back_after(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self.begin_life()

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.up and self.running and self.clock >= self.until:
                for run in list(self.running.values()):
                    self.finish(run, "lapsed")

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse | None:
        body = await request.read()
        if not self.up:
            if request.transport:
                request.transport.abort()
            return None
        life = self.id
        if request.headers.get("Linkspan-Target-Instance") not in (None, life):
            return web.json_response({"clockMs": self.clock * 1000 // 1}, status=421)
        call = json.loads(body or b"{}")
        name = request.path.rpartition("/")[2]
        if name in ("run-start", "run-stop") and self.world.random.random() < self.late_share:
            delay = self.world.random.uniform(2.0, 12.0)
            asyncio.get_running_loop().call_later(delay, self._late, life, name, call)
            return None
        await asyncio.sleep(0.001)
        status, fields = getattr(self, "_" + name.replace("-", "_"))(call)
        if name == "hold" and status == 200 and call.get("waitMs"):
            until = time.monotonic() + min(call["waitMs"], 2000) / 1000
            while self.up and self.id == life and not self.ended and time.monotonic() < until:
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), until - time.monotonic())
                except TimeoutError:
                    break
            if not self.up or self.id != life:
                return None
            status, fields = self._hold({**call, "untilMs": 0})
        return web.json_response({"clockMs": int(self.clock * 1000), **fields}, status=status)

    def _late(self, life: str, name: str, call: dict) -> None:
        if self.up and self.id == life:
            status, fields = getattr(self, "_" + name.replace("-", "_"))(call, late=True)
            self.world.record(
                f"{life} carries out late: {name} {call['task']}/{call['run']} "
                f"-> {status} {fields.get('reason', '')}"
            )

    def _fence(self, call: dict) -> bool:
        token = call.get("fencingToken", 0)
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend(self, call: dict) -> None:
        until = call.get("untilMs", 0) / 1000
        self.until = max(self.until, min(until, self.clock + BOUNDS["holdMaxMs"] / 1000))

    def _run_start(self, call: dict, *, late: bool = False):
        if not self._fence(call):
            return 409, {"reason": "fence"}
        task, number = call["task"], call["run"]
        present = self.running.get(task)
        if call["untilMs"] / 1000 <= self.clock:
            return 409, {"reason": "late"}
        self._extend(call)
        if present and present.run == number:
            return 200, {}
        if present or number <= self.below.get(task, 0):
            return 409, {"reason": "old"}
        step = self.world.step_of(task)
        if step is not None and self.world.guards and step["cpu"] > self.free_cpu():
            return 409, {"reason": "room"}
        self.world.judge_start(self, call, late)
        run = Run(task, number, time.monotonic())
        run.saved = call.get("checkpoint", "")
        self.running[task] = run
        self.world.begin_run(self, run)
        return 200, {}

    def _run_stop(self, call: dict, *, late: bool = False):
        if not self._fence(call):
            return 409, {"reason": "fence"}
        task, number = call["task"], call["run"]
        self.below[task] = max(self.below.get(task, 0), number)
        run = self.running.get(task)
        if run and run.run == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(0.3, self.finish, run, "stopped")
        return 200, {}

    def _pace(self, call: dict):
        return (200, {}) if self._fence(call) else (409, {"reason": "fence"})

    def _hold(self, call: dict):
        if not self._fence(call):
            return 409, {"reason": "fence"}
        self._extend(call)
        seen = call.get("lastSeen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.world.note_seen(self, end)
        self.ended = [end for end in self.ended if end[0] > seen]
        running = [[r.task, r.run, r.saved, self.world.percent(r)] for r in self.running.values()]
        return 200, {"running": running, "ended": self.ended[:500]}

    def free_cpu(self) -> int:
        used = (self.world.step_of(r.task) for r in self.running.values())
        return self.cpu - sum(step["cpu"] for step in used if step)

    def finish(self, run: Run, how: str) -> None:
        if not self.up or self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer:
            run.timer.cancel()
        self.below[run.task] = max(self.below.get(run.task, 0), run.run)
        self.number += 1
        self.ended.append([self.number, run.task, run.run, how, ""])
        self.world.note_end(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()


class Host:
    """A host process, started with the command of the deploy file."""

    def __init__(self, world: World, name: str, hall: str, ip: str) -> None:
        self.world, self.name, self.hall, self.ip = world, name, hall, ip
        self.front = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self) -> None:
        self.starts += 1
        settings = {
            "nodeName": self.name,
            "role": "host",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": self.hall,
            "region": "r",
            "zones": {hall: "r" for hall in self.world.halls},
            "bindAddresses": {"front": self.front, "ready": self.ready},
            "internalPortRange": [7720, 7735],
            "seeds": [],
            "bootstrap": self.starts == 1,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1500,
            "bounds": BOUNDS,
            "commands": "invoke",
            "platform": {
                "address": self.world.store.address,
                "form": "log",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "record_bytes": RECORD_BYTES,
                "call_bytes": CALL_BYTES,
                "keep_s": 300,
                "ttl_min_ms": 1000,
            },
        }
        if self.world.advice:
            settings["advice"] = self.world.advice
        if self.world.cloud:
            settings["cloudApi"] = {
                "address": self.world.cloud,
                "ratePerS": 60.0,
                "duties": [],
                "dutyPerS": 60.0,
            }
        path = self.world.folder / f"{self.name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["host"]["run"].split(" ")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "LINKSPAN_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self.world.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.world.record(f"host {self.name} starts, process {self.process.pid}")

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def send(self, number: int) -> None:
        if self.alive:
            self.world.record(f"host {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.send(signal.SIGKILL)
        await self.process.wait()


class World:
    """The deployment. Subclasses say what each run does and what is judged."""

    def __init__(
        self,
        folder: Path,
        *,
        halls: int = 2,
        hosts: int = 2,
        executors: int = 4,
        cpu: int = 32_000,
        seed: int = 1,
        guards: bool = True,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.random = random.Random(seed)
        self.halls = [f"hall-{letter}" for letter in "abc"[:halls]]
        self.service = "pool"
        self.guards = guards
        self.advice = self.cloud = ""
        self.store = Store()
        self.executors = [
            Executor(self, hall, f"rack-{hall}", cpu)
            for hall in self.halls
            for _ in range(executors)
        ]
        base = random.SystemRandom().randrange(1, 250)
        ips = [f"127.{base}.{n // 200}.{n % 200 + 1}" for n in range(halls * hosts)]
        self.hosts = [
            Host(self, f"host-{hall}-{n}", hall, ips.pop())
            for hall in self.halls
            for n in range(hosts)
        ]
        self.jobs: dict[str, dict] = {}
        self.starts: defaultdict[str, list] = defaultdict(list)
        self.ends: defaultdict[str, list] = defaultdict(list)
        self.lost: defaultdict[str, list] = defaultdict(list)
        self.seen: defaultdict[str, list] = defaultdict(list)
        self.broken: list[str] = []
        self.version = 3
        self.routes = {"batch": ("/batch/", {})}
        self._tasks: list[asyncio.Task] = []

    # The operator.

    def publish(self) -> None:
        routes = [
            {
                "name": name,
                "hostname": "host.example",
                "pathPrefix": prefix,
                "service": self.service,
                "priority": 0,
                "maxAttempts": 3,
                "stretch": 2.0,
                "targetLatencyMs": 1000,
                "timeoutMs": 3000,
                **more,
            }
            for name, (prefix, more) in self.routes.items()
        ]
        services = [{"name": self.service, "admissionCheck": self.guards}]
        self.store.put(
            "op",
            "config",
            {"version": self.version, "routes": routes, "services": services, "limits": {}},
        )
        self.record(f"configuration {self.version} acknowledged: {sorted(self.routes)}")

    # Beginning and end.

    async def begin(self, settle_s: float = 60.0) -> None:
        await self.store.open()
        for executor in self.executors:
            await executor.open()
            executor.begin_life()
            self._tasks.append(asyncio.create_task(executor.beat()))
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.publish()
        for host in self.hosts:
            await host.start()
        limit = time.monotonic() + settle_s
        while not all([await self._is_ready(host) for host in self.hosts]):
            if time.monotonic() > limit:
                raise CannotRun("the hosts are not ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def _is_ready(self, host: Host) -> bool:
        try:
            async with asyncio.timeout(0.5):
                async with self.session.get(f"http://{host.ready}/api/readiness") as response:
                    return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def end(self) -> None:
        for host in self.hosts:
            if host.alive:
                host.process.kill()
                await host.process.wait()
        for task in self._tasks:
            task.cancel()
        if hasattr(self, "session"):
            await self.session.close()
        for server in [self.store, *self.executors]:
            await server.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Clients.

    async def call(
        self,
        method: str,
        host: Host,
        path: str,
        *,
        body: object = None,
        timeout_s: float = 3.0,
        log: bool = True,
    ) -> tuple[int, dict]:
        data = None if body is None else json.dumps(body).encode()
        headers = {
            "Host": "host.example",
            "Content-Type": "application/json",
            "Linkspan-Timeout-Ms": str(int(timeout_s * 1000)),
        }
        sent = self.record.now
        status, fields = 0, {}
        try:
            async with asyncio.timeout(timeout_s):
                async with self.session.request(
                    method, f"http://{host.front}{path}", data=data, headers=headers
                ) as response:
                    status = response.status
                    raw = await response.read()
                    fields = json.loads(raw) if raw.startswith(b"{") else {}
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            fields = {"error": repr(error)}
        if log:
            self.record(f"{method} {path} sent {sent:.3f} to {host.name}: {status} {fields}")
        return status, fields

    async def submit(
        self,
        job_id: str,
        job: dict,
        *,
        tries: int = 5,
        prefix: str = "/batch/",
        hosts: list[Host] | None = None,
    ) -> bool:
        """Hand a job in as clients do, at other hosts after a failure."""
        self.jobs[job_id] = job
        for _ in range(tries):
            host = self.random.choice(hosts or self.hosts)
            status, _ = await self.call("POST", host, prefix + job_id, body=job)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    def new_id(self) -> str:
        return f"{self.random.getrandbits(64):016x}"

    # What executors ask and tell.

    def step_of(self, task: str) -> dict | None:
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        return job["steps"][int(step)] if job else None

    def judge_start(self, executor: Executor, call: dict, late: bool) -> None:
        """Judge a start that an executor is about to carry out."""

    def begin_run(self, executor: Executor, run: Run) -> None:
        self.starts[run.task].append((self.record.now, executor.id, run.run))
        self.record(f"{executor.id} starts {run.task}/{run.run}")
        step = self.step_of(run.task)
        if step is None or step.get("indefinite"):
            return
        loop = asyncio.get_running_loop()
        how = "failed" if executor.fails_all else "done"
        seconds = 0.05 if executor.fails_all else step["estimatedMs"] / 1000
        run.timer = loop.call_later(seconds, executor.finish, run, how)

    def percent(self, run: Run) -> int:
        step = self.step_of(run.task)
        age = time.monotonic() - run.began
        if step is None:
            return 0
        if step.get("indefinite"):
            return 100 if age > 0.3 else 0
        return min(99, int(100 * age * 1000 / step["estimatedMs"]))

    def note_end(self, executor: Executor, run: Run, how: str) -> None:
        self.ends[run.task].append((self.record.now, executor.id, run.run, how))
        self.record(f"{executor.id} ends {run.task}/{run.run} {how}")

    def note_lost(self, executor: Executor, run: Run) -> None:
        self.lost[run.task].append((self.record.now, executor.id, run.run))

    def note_seen(self, executor: Executor, end: list) -> None:
        self.seen[end[1]].append((self.record.now, executor.id, end[2], end[3]))

    def runs_now(self, job_id: str) -> list[str]:
        return [
            run.task
            for executor in self.executors
            if executor.up
            for run in executor.running.values()
            if run.task.startswith(job_id + ".")
        ]


class CannotRun(Exception):
    """The case could not run."""


def main(play) -> None:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    sys.exit(asyncio.run(_main(play)))


async def _main(play) -> int:
    try:
        async with asyncio.timeout(115):
            return await play()
    except Exception:  # an error of the script is no broken rule
        traceback.print_exc()
        return 2
