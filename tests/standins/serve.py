"""Runs a stand-in: ``python -m tests.standins.serve platform|workers|executor|relay``."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from base64 import b64encode
from dataclasses import fields

import orjson
from aiohttp import web

from linkspan.errors import LogGap, LogUnavailable
from linkspan.model.resources import Resources
from linkspan.model.worker import WorkerSpec
from linkspan.services.wire import orders_from_json, report_to_json
from tests.standins.fake_log import FakeLog, LogFaults
from tests.standins.fake_worker import FakeWorker, Witness


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(body=orjson.dumps(value), status=status, content_type="application/json")


def platform_app() -> web.Application:
    """Return the platform's log service, host list and fault switches."""
    log = FakeLog()
    hosts: dict[str, dict[str, object]] = {}

    async def append(request: web.Request) -> web.Response:
        await asyncio.sleep(log.faults.delay_s)
        try:
            return _json({"offset": log.append(request.match_info["stream"], await request.read())})
        except LogUnavailable:
            return _json({}, 503)

    async def read(request: web.Request) -> web.Response:
        stream, start = request.match_info["stream"], int(request.query["from"])
        until = time.monotonic() + float(request.query["wait"])
        while True:
            try:
                page = log.read(stream, start)
            except LogUnavailable:
                return _json({}, 503)
            except LogGap as gap:
                return _json({"first": gap.first, "entries": [], "end": 0})
            if page.entries or time.monotonic() >= until:
                entries = [[e.offset, b64encode(e.body).decode()] for e in page.entries]
                return _json({"first": log.first(stream), "entries": entries, "end": page.end})
            await asyncio.sleep(0.01)

    async def list_hosts(request: web.Request) -> web.Response:
        return _json(list(hosts.values()))

    async def put_host(request: web.Request) -> web.Response:
        host = orjson.loads(await request.read())
        hosts[host["name"]] = host
        return _json({})

    async def delete_host(request: web.Request) -> web.Response:
        hosts.pop(request.match_info["name"], None)
        return _json({})

    async def set_faults(request: web.Request) -> web.Response:
        wanted = orjson.loads(await request.read())
        log.retention = wanted.pop("retention", log.retention)
        log.faults = LogFaults(**{f.name: wanted.get(f.name, f.default) for f in fields(LogFaults)})
        return _json({})

    app = web.Application()
    app.router.add_post("/streams/{stream}", append)
    app.router.add_get("/streams/{stream}", read)
    app.router.add_get("/hosts", list_hosts)
    app.router.add_post("/hosts", put_host)
    app.router.add_delete("/hosts/{name}", delete_host)
    app.router.add_post("/faults", set_faults)
    return app


def worker_app(worker: FakeWorker, silent: set[str]) -> web.Application:
    """Return the server of one worker, which fails all calls while ``silent`` has its name."""

    async def exchange(request: web.Request) -> web.Response:
        orders = orders_from_json(await request.read())
        if worker.spec.name in silent:
            return _json({}, 503)
        return web.Response(body=report_to_json(worker.exchange(orders, time.monotonic())))

    app = web.Application()
    app.router.add_post("/exchange", exchange)
    return app


async def serve_workers(hall: str, count: int, run_s: float) -> None:
    """Serve the workers of a hall in one process, with one witness for all of them."""
    witness, silent = Witness(), set[str]()
    durations = random.Random(hall)
    workers = [
        FakeWorker(
            WorkerSpec(f"{hall}-w{n}", 1, Resources(32_000, 125_000), f"{hall}-rack{n // 8}"),
            witness,
            lambda start: 1e9 if "watch" in start.kind else run_s * durations.uniform(0.5, 1.5),
            offset=n * 1_000.0,
        )
        for n in range(count)
    ]
    addresses = {w.spec.name: await start_app(worker_app(w, silent)) for w in workers}

    async def report_witness(request: web.Request) -> web.Response:
        return _json(
            {
                "begun": witness.begun,
                "completed": witness.completed,
                "running": witness.running,
                "violations": witness.violations,
            }
        )

    async def silence(request: web.Request) -> web.Response:
        silent.clear()
        silent.update(orjson.loads(await request.read()))
        return _json({})

    app = web.Application()
    app.router.add_get("/witness", report_witness)
    app.router.add_post("/silence", silence)
    print(await start_app(app), orjson.dumps(addresses).decode(), flush=True)
    while True:
        await asyncio.sleep(0.02)
        for worker in workers:
            worker.tick(time.monotonic())


def executor_app(service_s: float) -> web.Application:
    """Return an executor that counts its requests and fails as their queries demand."""
    counts = {"requests": 0, "in_flight": 0, "most_in_flight": 0}
    keys: dict[str, int] = {}

    async def answer(request: web.Request) -> web.StreamResponse:
        counts["requests"] += 1
        counts["in_flight"] += 1
        counts["most_in_flight"] = max(counts["most_in_flight"], counts["in_flight"])
        key = request.headers.get("Idempotency-Key", "")
        keys[key] = keys.get(key, 0) + 1
        try:
            body = await request.read()
            return await behave(request, body, request.query.get("do", ""))
        finally:
            counts["in_flight"] -= 1

    async def behave(request: web.Request, body: bytes, do: str) -> web.StreamResponse:
        if do == "reset" and request.transport is not None:
            request.transport.abort()
        if do == "fail":
            return web.Response(status=503)
        if do in ("truncate", "feed"):
            reply = web.StreamResponse()
            if do == "truncate":
                reply.content_length = 1_000
            await reply.prepare(request)
            for _ in range(3):
                await reply.write(b"piece\n")
                await asyncio.sleep(0.01)
            if do == "truncate" and request.transport is not None:
                request.transport.abort()
            return reply
        if do == "echo":
            reply = web.Response(text=request.raw_path)
            reply.headers.extend([("Set-Cookie", "a=1"), ("Set-Cookie", "b=2")])
            reply.headers["Linkspan-Not-Sent"] = "yes"
            return reply
        await asyncio.sleep(float(request.query.get("sleep", service_s)))
        return web.Response(text=f"{request.query.get('q', '')}:{body.decode()}")

    async def stats(request: web.Request) -> web.Response:
        return _json({**counts, "keys": keys})

    app = web.Application()
    app.router.add_get("/_stats", stats)
    app.router.add_route("*", "/{tail:.*}", answer)
    return app


async def serve_relay(target: str) -> None:
    """Forward connections to a target, except while cut. A cut closes the open ones."""
    host, port = target.split(":")
    writers: set[asyncio.StreamWriter] = set()
    state = {"cut": False}

    async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        writer.close()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if state["cut"]:
            writer.close()
            return
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        writers.update((writer, far_writer))
        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
        writers.difference_update((writer, far_writer))

    async def cut(request: web.Request) -> web.Response:
        state["cut"] = orjson.loads(await request.read())
        for writer in list(writers):
            writer.close()
        return _json({})

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    app = web.Application()
    app.router.add_post("/cut", cut)
    bound = server.sockets[0].getsockname()
    print(f"{bound[0]}:{bound[1]}", await start_app(app), flush=True)
    await asyncio.Event().wait()


async def start_app(app: web.Application) -> str:
    """Serve on a free loopback port and return the address."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return f"127.0.0.1:{runner.addresses[0][1]}"


async def _main(kind: str, *rest: str) -> None:
    if kind == "workers":
        await serve_workers(rest[0], int(rest[1]), float(rest[2]))
    if kind == "relay":
        await serve_relay(rest[0])
    app = platform_app() if kind == "platform" else executor_app(float(rest[0]))
    print(await start_app(app), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:]))
