"""Measures the size and duration of a host's first read of the store over slow links.

Run as ``python -m bench.first_read``. Uses the real clients and followers, and a store on
loopback behind a link with limited bandwidth.
"""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass

import aiohttp
from tests.standins.platform_http import StoreServer, serving
from tests.standins.slow_link import SlowLink
from tests.standins.stored_jobs import fill_configuration, fill_executors, fill_jobs

from linkspan.events import EventLog
from linkspan.jobs.job_registry import JOBS, JobRegistry
from linkspan.platform.records import OPERATOR_FORMAT, executor_from_wire
from linkspan.platform.store import (
    CONFIG_RECORDS,
    EXECUTOR_RECORDS,
    StoreClient,
)
from linkspan.shard.operator.records import OperatorRecords
from linkspan.shard.registry import ExecutorRegistry

MAX_FIRST_READ_S = 30.0
"""Limits the time for the first read."""

PAGE_KEYS = 500
"""Number of keys per page of the platform's store."""

QUERYING_CALLERS = 20
"""Number of concurrent callers that query a job's state once per second."""

LINK_RATES_MBIT_S = (2.0, 5.0, 10.0, 100.0)


@dataclass(frozen=True)
class Size:
    """Number of records in a store."""

    live: int
    finished: int
    executors: int
    routes: int


SIZES = (
    Size(0, 0, 176, 40),
    Size(0, 0, 176, 1_160),
    Size(200, 0, 176, 1_160),
    Size(0, 2_000, 176, 1_160),
    Size(400, 2_000, 176, 1_160),
    Size(2_000, 2_000, 2_800, 1_160),
)


async def _first_read(address: str, callers: int) -> float | None:
    log = EventLog("bench")
    connector = aiohttp.TCPConnector(limit=0, limit_per_host=12)
    async with aiohttp.ClientSession(connector=connector, auto_decompress=False) as session:
        store = StoreClient(session, address)
        job_registry = JobRegistry(store, "bench", log)
        executor_registry = ExecutorRegistry(store, EXECUTOR_RECORDS, executor_from_wire, log)
        operator = OperatorRecords(store, OPERATOR_FORMAT, log)
        followers = [job_registry.follower, executor_registry.follower, operator.follower]
        follower_tasks = [asyncio.create_task(follower.run()) for follower in followers]
        started_at = time.monotonic()
        queries = [asyncio.create_task(_query_job(job_registry)) for _ in range(callers)]
        while not all(follower.ready for follower in followers):
            await asyncio.sleep(0.02)
            if time.monotonic() - started_at > MAX_FIRST_READ_S:
                break
        duration_s = time.monotonic() - started_at
        for task in (*follower_tasks, *queries):
            task.cancel()
        await asyncio.gather(*follower_tasks, *queries, return_exceptions=True)
    return duration_s if duration_s < MAX_FIRST_READ_S else None


async def _query_job(job_registry: JobRegistry) -> None:
    while True:
        await job_registry.look_up("0" * 16)
        await asyncio.sleep(1.0)


async def _measure(size: Size) -> None:
    server = StoreServer(page_keys=PAGE_KEYS)
    fill_jobs(server.store, live=size.live, finished=size.finished)
    fill_executors(server.store, size.executors)
    fill_configuration(server.store, size.routes)
    async with serving(server.handle) as target:
        amounts = [await _bytes_of(target, p) for p in (JOBS, EXECUTOR_RECORDS, CONFIG_RECORDS)]
        kb = ", ".join(f"{amount / 1000:.0f}" for amount in amounts)
        print(f"{size}: KB of jobs, executors, configuration {kb}", flush=True)
        for mbit_s in LINK_RATES_MBIT_S:
            for callers in (0, QUERYING_CALLERS):
                await _play(target, mbit_s, callers)


async def _play(target: str, mbit_s: float, callers: int) -> None:
    link = SlowLink(target, mbit_s * 1e6 / 8)
    async with link.serve() as address:
        duration_s = await _first_read(address, callers)
    shown = "never" if duration_s is None else f"{duration_s:.2f} s"
    print(
        f"  {mbit_s:g} Mbit/s, {callers} askers: {shown}, {link.passed / 1000:.0f} KB",
        flush=True,
    )


async def _bytes_of(target: str, partition: object) -> int:
    link = SlowLink(target, 1e12)
    async with link.serve() as address, aiohttp.ClientSession() as session:
        await StoreClient(session, address, timeout_s=10.0).newest_records(partition)  # type: ignore[arg-type]
        return link.passed


async def _main() -> None:
    for size in SIZES:
        await _measure(size)


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    asyncio.run(_main())
