"""Measures the CPU time and memory of schedulers in a hall of eight workers.

Run as ``python -m bench.scheduler``. Two schedulers and a gateway run with the product's
default intervals; CPU time and memory are those of the processes, as counted by the
kernel, over ten seconds per phase.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from tests.standins.fleet import Daemon, Fleet

from bench.gateway import cpu_seconds, memory_mb

HALL = "rennes-a"
PHASE_S = 10.0
DEFAULT_SETTINGS = {"heartbeat_s": 1, "peer_silence_s": 3, "hosts_poll_s": 1}
SCHEDULER_SETTINGS = {
    "lease_s": 15,
    "worker_silence_s": 10,
    "exchange_s": 4,
    "appends_per_s": 8,
    "offline_renewal_s": 7200,
}


class Phase(NamedTuple):
    """CPU use of each process in one phase, as a fraction of a core."""

    name: str
    leads: float
    follows: float
    gateway: float


async def _cpu_use(daemons: list[Daemon]) -> list[float]:
    before = [cpu_seconds(d.process.pid) for d in daemons]
    await asyncio.sleep(PHASE_S)
    after = [cpu_seconds(d.process.pid) for d in daemons]
    return [(b - a) / PHASE_S for a, b in zip(before, after, strict=True)]


async def measure() -> tuple[list[Phase], float, float]:
    """Return the phases, and the resident and unique memory of the leading scheduler in MB."""
    async with Fleet() as fleet:
        schedulers = {**DEFAULT_SETTINGS, **SCHEDULER_SETTINGS}
        await asyncio.gather(
            fleet.add_workers(HALL, 8, run_s=20.0),
            fleet.add_daemon("scheduler", HALL, "s1", **schedulers),
            fleet.add_daemon("scheduler", HALL, "s2", **schedulers),
            fleet.add_daemon("gateway", HALL, "g1", **DEFAULT_SETTINGS),
        )
        gateway = fleet.daemons["g1"]
        await fleet.publish(gateway, {f"halls/{HALL}": {"region": "breizh"}}, "bench")
        await fleet.ready(*fleet.daemons.values())
        leads = [
            (await fleet.get(fleet.daemons[n].operator, "/status"))["leads"] for n in ("s1", "s2")
        ]
        names = ("s1", "s2") if leads[0] else ("s2", "s1")
        daemons = [fleet.daemons[name] for name in names] + [gateway]
        phases = [Phase("nothing to do", *await _cpu_use(daemons))]
        size = {"milli_cpu": 2_000, "memory_mb": 4_000}
        for n in range(10):
            job = {
                "job_id": f"j{n}",
                "customer": "borne-breizh",
                "team": "routes",
                "kind": f"k{n}",
                "count": 100,
                "size": size,
            }
            status, answer = await fleet.call("POST", gateway.callers, "/jobs", job)
            assert status == 200, answer
        phases.append(Phase("128 running, 872 queued", *await _cpu_use(daemons)))
        return phases, *memory_mb(daemons[0].process.pid)


def main() -> None:
    """Print the measurements."""
    phases, resident, unique = asyncio.run(measure())
    print(f"{'phase':<26}{'leads':>8}{'follows':>9}{'gateway':>9}   parts of a core")
    for phase in phases:
        print(f"{phase.name:<26}{phase.leads:>8.1%}{phase.follows:>9.1%}{phase.gateway:>9.1%}")
    print(f"leading scheduler: {resident:.1f} MB resident, {unique:.1f} MB unique")


if __name__ == "__main__":
    main()
