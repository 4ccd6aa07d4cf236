"""Measures latency, throughput, CPU time and memory of a gateway on loopback.

Run as ``python -m bench.gateway``. Direct calls and calls through the gateway alternate
in the same run; CPU time is that of the gateway process, as counted by the kernel.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import time
from typing import NamedTuple

from tests.standins.fleet import Fleet

HALL, SERVICE = "rennes-a", "finder-api"
PAIRS = 400
LOAD = 3_000
CLIENTS = 16


class GatewayCost(NamedTuple):
    """Measurements of one run."""

    direct_ms: float
    through_ms: float
    direct_p99_ms: float
    through_p99_ms: float
    requests_s: float
    core_ms: float
    idle_share: float
    resident_mb: float
    unique_mb: float


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid: int) -> tuple[float, float]:
    """Return the resident and the unique memory of a process, in MB."""
    with open(f"/proc/{pid}/smaps_rollup") as file:
        sizes = {line.split(":")[0]: line.split() for line in file}
    unique = int(sizes["Private_Clean"][1]) + int(sizes["Private_Dirty"][1])
    return int(sizes["Rss"][1]) / 1_024, unique / 1_024


async def measure() -> GatewayCost:
    """Start a small fleet and measure its gateway."""
    async with Fleet() as fleet:
        await fleet.add_executors(HALL, SERVICE, 3, service_s=0.0)
        gateway = await fleet.add_daemon("gateway", HALL, "g1", heartbeat_s=1)
        config = {"customer": "borne-breizh", "deadline_ms": 5_000, "slots": 64}
        await fleet.publish(gateway, {f"services/{SERVICE}": config}, "bench")
        await fleet.ready(gateway)
        pid = gateway.process.pid
        started = cpu_seconds(pid)
        await asyncio.sleep(4.0)
        idle = (cpu_seconds(pid) - started) / 4.0
        direct, through = await _measure_pairs(fleet, gateway.callers)
        cpu_before, started_at = cpu_seconds(pid), time.perf_counter()
        requests_per_client = LOAD // CLIENTS
        await asyncio.gather(
            *(_run_client(fleet, gateway.callers, requests_per_client) for _ in range(CLIENTS))
        )
        duration_s, cpu_s = time.perf_counter() - started_at, cpu_seconds(pid) - cpu_before
        resident, unique = memory_mb(pid)
        count = requests_per_client * CLIENTS
        return GatewayCost(
            statistics.median(direct) * 1e3,
            statistics.median(through) * 1e3,
            sorted(direct)[int(0.99 * PAIRS)] * 1e3,
            sorted(through)[int(0.99 * PAIRS)] * 1e3,
            count / duration_s,
            cpu_s / count * 1e3,
            idle,
            resident,
            unique,
        )


async def _measure_pairs(fleet: Fleet, gateway: str) -> tuple[list[float], list[float]]:
    executor = next(iter(fleet.executors.values()))
    direct, through = [], []
    for _ in range(PAIRS):
        for address, path, times in (
            (executor, "/x?q=1", direct),
            (gateway, f"/services/{SERVICE}/x?q=1", through),
        ):
            started = time.perf_counter()
            status, _ = await fleet.call("GET", address, path)
            assert status == 200
            times.append(time.perf_counter() - started)
    return direct, through


async def _run_client(fleet: Fleet, gateway: str, count: int) -> None:
    for _ in range(count):
        status, _ = await fleet.call("GET", gateway, f"/services/{SERVICE}/x?q=1")
        assert status == 200


def main() -> None:
    """Print the figures."""
    cost = asyncio.run(measure())
    print(f"direct call        median {cost.direct_ms:.2f} ms, p99 {cost.direct_p99_ms:.2f} ms")
    print(f"through a gateway  median {cost.through_ms:.2f} ms, p99 {cost.through_p99_ms:.2f} ms")
    print(f"one gateway        {cost.requests_s:.0f} requests/s with {CLIENTS} clients")
    print(f"                   {cost.core_ms:.2f} ms of a core a request", end="")
    print(f", so {1e3 / cost.core_ms:.0f}/s a core")
    print(f"idle               {cost.idle_share:.1%} of a core")
    print(f"memory             {cost.resident_mb:.1f} MB resident, {cost.unique_mb:.1f} MB unique")


if __name__ == "__main__":
    main()
