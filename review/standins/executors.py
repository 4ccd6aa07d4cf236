"""Executors, as PROTOCOL.md describes them: fencing tokens, leases, ends kept until seen."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standins.http import Request, Response, Server, json_response
from standins.store import Store

LISTED_ENDS = 500
MAX_WAIT_S = 2.0
STOP_S = 0.3
EXPIRY_CHECK_S = 0.05


@dataclass
class Run:
    """A run that an executor has begun."""

    task: str
    run: int
    began: float
    checkpoint: str = ""
    stopping: bool = False


@dataclass
class End:
    """An end that an executor keeps until it was taken note of."""

    number: int
    task: str
    run: int
    how: str
    at: float
    listed_at: float | None = None


@dataclass(frozen=True)
class Step:
    """What an executor has to know of a step: room, and how long a task works.

    ``work_s`` is infinite for tasks that last; ``failing_runs`` fail by their own fault.
    """

    cpu: int
    memory_mb: int
    work_s: float
    failing_runs: tuple[int, ...] = ()


@dataclass
class Executor:
    """One executor.

    Attributes:
        steps: Returns the step of a task's name; ``None`` if no client sent it.
        on_event: Called with what happens: a word, this executor, the task, the run.
        busy: Whether it answers 503 to each start, having done nothing.
        born_ms: Unix millisecond of its start, which it tells if it may start again under its id.
        take_late: Decides whether a start gets no answer; the case has it carried out later.
    """

    name: str
    zone: str
    service: str
    store: Store
    steps: Callable[[str], Step | None]
    on_event: Callable[[str, Executor, str, int], None]
    hold_max_s: float
    heartbeat_s: float
    cpu: int = 32_000
    memory_mb: int = 128_000
    guards: bool = True
    address: str = ""
    token: int = 0
    until_s: float = 0.0
    numbered: int = 0
    last_seen: int = 0
    running: dict[str, Run] = field(default_factory=dict)
    ended: list[End] = field(default_factory=list)
    noted: list[tuple[End, float]] = field(default_factory=list)
    highest: dict[str, int] = field(default_factory=dict)
    calls: int = 0
    used_cpu: int = 0
    used_mb: int = 0
    alive: bool = True
    busy: bool = False
    born_ms: int | None = None
    take_late: Callable[[Executor, dict[str, Any]], bool] = lambda _executor, _body: False
    _server: Server | None = None
    _born: float = field(default_factory=time.monotonic)
    _ended_event: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def clock_s(self) -> float:
        """The executor's steady clock."""
        return time.monotonic() - self._born + 100.0

    async def open(self) -> None:
        """Listen, at the former address if there is one, and write an entry every heartbeat."""
        self._server = Server(self.handle)
        ip, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        self.address = await self._server.open(ip, int(port))
        for loop in (self._heartbeats(), self._expire()):
            self._tasks.add(asyncio.get_running_loop().create_task(loop))

    def crash(self, *, dark: bool = False) -> None:
        """End at once: its port resets, or says nothing, and all that runs here is gone."""
        self.alive = False
        for task in self._tasks:
            task.cancel()
        if self._server:
            if dark:
                self._server.go_dark()
            else:
                self._server.crash()
        for run in self.running.values():
            self.on_event("gone with its executor", self, run.task, run.run)
        self.running.clear()

    def leave_address(self) -> None:
        """Free the address of a dark executor for the next one there."""
        if self._server:
            self._server.stop_listening()

    async def _heartbeats(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpu": 0},
                "labels": ["a", f"{self.zone}-1"],
                "clockMs": int(self.clock_s * 1000),
                "callSeq": sequence,
            }
            if self.born_ms is not None:
                entry["born"] = self.born_ms
            self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(self.heartbeat_s)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            self._lapse()

    def _lapse(self) -> None:
        if self.clock_s >= self.until_s:
            for run in list(self.running.values()):
                self._end(run, "lapsed")

    async def handle(self, request: Request) -> Response | None:
        """Carry out one call."""
        self.calls += 1
        if request.headers.get("linkspan-target-instance", self.name) != self.name:
            return json_response({}, 421)
        body = request.json()
        token = body.get("fencingToken", 0)
        if token < self.token:
            return self._answer({"reason": "fence"}, 409)
        self.token = token
        self._lapse()
        name = request.path.rpartition("/")[2]
        if self.busy and name == "run-start":
            return self._answer({}, 503)
        if name == "run-start":
            return None if self.take_late(self, body) else self.start(body)
        if name == "run-stop":
            return self._stop(body)
        if name == "hold":
            return await self._hold(body)
        return self._answer({})

    def _answer(self, fields: dict[str, Any], status: int = 200) -> Response:
        return json_response({"clockMs": int(self.clock_s * 1000), **fields}, status)

    def _extend(self, until_ms: int | None) -> None:
        if until_ms is not None:
            limit = self.clock_s + self.hold_max_s
            self.until_s = max(self.until_s, min(until_ms / 1000, limit))

    def start(self, body: dict[str, Any]) -> Response:
        """Carry out a start, now or late, unless a higher fencing token was seen."""
        if body.get("fencingToken", 0) < self.token:
            return self._answer({"reason": "fence"}, 409)
        self.token = body.get("fencingToken", 0)
        task, run = body["task"], body["run"]
        step = self.steps(task)
        if step is None:
            self.on_event("unasked", self, task, run)
            return self._answer({}, 400)
        self._extend(body["untilMs"])
        if body["untilMs"] / 1000 <= self.clock_s:
            return self._answer({"reason": "late"}, 409)
        present = self.running.get(task)
        if present and present.run == run:
            return self._answer({})
        if present or run <= self.highest.get(task, 0):
            return self._answer({"reason": "old"}, 409)
        over = self.used_cpu + step.cpu > self.cpu or self.used_mb + step.memory_mb > self.memory_mb
        if over and self.guards:
            return self._answer({"reason": "room"}, 409)
        if over:
            self.on_event("over", self, task, run)
        begun = self.running[task] = Run(
            task, run, time.monotonic(), checkpoint=body.get("checkpoint", "")
        )
        self.used_cpu += step.cpu
        self.used_mb += step.memory_mb
        self.on_event("start", self, task, run)
        if step.work_s != float("inf"):
            asyncio.get_running_loop().call_later(step.work_s, self._done, begun)
        return self._answer({})

    def _done(self, run: Run) -> None:
        if not run.stopping:
            step = self.steps(run.task)
            self._end(run, "failed" if step and run.run in step.failing_runs else "done")

    def _stop(self, body: dict[str, Any]) -> Response:
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run.run == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        return self._answer({})

    def _end(self, run: Run, how: str) -> None:
        if not self.alive or self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        step = self.steps(run.task)
        assert step
        self.used_cpu -= step.cpu
        self.used_mb -= step.memory_mb
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.numbered += 1
        self.ended.append(End(self.numbered, run.task, run.run, how, time.monotonic()))
        self.on_event(how, self, run.task, run.run)
        self._ended_event.set()
        self._ended_event = asyncio.Event()

    async def _hold(self, body: dict[str, Any]) -> Response:
        self._extend(body.get("untilMs"))
        self._note(body.get("lastSeen", 0))
        wait_s = min(body.get("waitMs", 0) / 1000, MAX_WAIT_S)
        if wait_s and not self.ended:
            try:
                async with asyncio.timeout(wait_s):
                    await self._ended_event.wait()
            except TimeoutError:
                pass
            if body.get("fencingToken", 0) < self.token:
                return self._answer({"reason": "fence"}, 409)
        listed = self.ended[:LISTED_ENDS]
        for end in listed:
            end.listed_at = end.listed_at or time.monotonic()
        fields: dict[str, Any] = {
            "running": [[r.task, r.run, r.checkpoint, 100] for r in self.running.values()],
            "ended": [[e.number, e.task, e.run, e.how, ""] for e in listed],
        }
        if self.born_ms is not None:
            fields["born"] = self.born_ms
        return self._answer(fields)

    def _note(self, last_seen: int) -> None:
        """Forget the ends that were taken note of."""
        self.last_seen = max(self.last_seen, last_seen)
        kept = []
        for end in self.ended:
            if end.number <= self.last_seen:
                self.noted.append((end, time.monotonic()))
            else:
                kept.append(end)
        self.ended = kept
