"""Size of a run, and the addresses, settings files and configurations of its hosts."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path

import yaml
from tests.job_builders import QUEUE

CALLERS_PORT = 8161
READINESS_PORT = 8167
"""Ports of each host. Each host has a separate loopback address, so that no outgoing connection can
occupy these ports."""

GRACE_S = 6.0
MAX_LEASE_S = 6.0
"""Limits on a planned stop and on leases, the shorter ones of the users' deployments."""


JOBS_PER_S = 4.0
"""Rate of submitted jobs. About 60 jobs run at a time, which leaves spare capacity on four
executors."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Size and seed of a run.

    Attributes:
        seed: Seed of all random choices.
        seconds: Time during which faults start.
        hosts: Number of hosts.
        executors: Number of executors.
        halls: Number of halls.
        jobs_per_s: Rate of submitted jobs.
        evacuates: Whether halls are evacuated beside the faults.
        loses_halls: Whether halls lose their executors beside the faults.
        overloads: Whether bursts come and executors turn slow beside the faults.
        refuses_starts: Whether executors refuse starts beside the faults.
        signals: Whether signals, restarts and configurations come in series of their own, and
            callers go on with connections that hosts are closing.
        odd_entries: Whether another writer overwrites the entries of executors.
        hostile_callers: Whether crowds of callers outside the limits come beside the faults.
        memory_mb: Memory of each host's machine, in megabytes.
        max_fds: File descriptors that each host may have open.
    """

    seed: int
    seconds: float
    hosts: int
    executors: int
    halls: int
    jobs_per_s: float
    evacuates: bool = False
    loses_halls: bool = False
    overloads: bool = False
    refuses_starts: bool = False
    signals: bool = False
    odd_entries: bool = False
    hostile_callers: bool = False
    memory_mb: int = 300
    max_fds: int = 4100

    @classmethod
    def of_seed(cls, seed: int, seconds: float) -> Plan:
        """Return a plan whose sizes depend on the seed."""
        halls = 2 + seed % 2
        hosts = halls * (2 + seed % 3 // 2)
        return cls(seed, seconds, hosts, halls * (2 + seed % 4), halls, JOBS_PER_S)

    @property
    def guards_room(self) -> bool:
        """Whether executors reject starts beyond their capacity; false for every third seed."""
        return self.seed % 3 != 0

    def hall(self, number: int) -> str:
        """Return the hall of a host or executor."""
        return f"hall-{number % self.halls}"


def host_address(number: int) -> str:
    """Return the loopback address of a host, which differs from those of other processes' runs."""
    process = os.getpid()
    return f"127.{1 + (process >> 8) % 250}.{process % 256}.{1 + number}"


def write_settings(path: Path, plan: Plan, number: int, address: str, store: str) -> None:
    """Write a host's settings file."""
    fields = {
        "nodeName": f"host-{number}",
        "ip": address,
        "zone": plan.hall(number),
        "zones": {plan.hall(hall): "region" for hall in range(plan.halls)},
        "bindAddresses": {
            "front": f"{address}:{CALLERS_PORT}",
            "ready": f"{address}:{READINESS_PORT}",
        },
        "limits": {"memoryMb": plan.memory_mb, "maxFds": plan.max_fds},
        "heartbeatMs": 1500,
        "bounds": {"holdMaxMs": int(MAX_LEASE_S * 1000), "graceS": GRACE_S},
        "commands": "invoke",
        "platform": {"address": store},
    }
    path.write_text(yaml.safe_dump(fields))


def version_prefix(version: int) -> str:
    """Return the path prefix of a queue that only this version of the configuration contains."""
    return f"/version-{version}/"


def configuration(
    version: int, extra_routes: int, *, guards_room: bool, limits: dict[str, int] | None = None
) -> str:
    """Return a configuration with the queue of all jobs, one of its version and extra ones.

    Args:
        version: Version of the configuration.
        extra_routes: Number of extra queues.
        guards_room: Whether executors reject starts beyond their capacity.
        limits: Limits on callers' requests by their name in the configuration, by default none.
    """
    names = [(QUEUE.name, QUEUE.prefix), (f"version-{version}", version_prefix(version))]
    names += [(f"extra-{n}", f"/extra-{n}/") for n in range(extra_routes)]
    routes = [
        {
            "name": name,
            "hostname": QUEUE.host,
            "pathPrefix": prefix,
            "service": QUEUE.service,
            "maxAttempts": QUEUE.max_attempts,
            "stretch": 2.0,
            "targetLatencyMs": 1000,
            "timeoutMs": 3000,
        }
        for name, prefix in names
    ]
    services = [{"name": QUEUE.service, "admissionCheck": guards_room}]
    fields = {"version": version, "routes": routes, "services": services, "limits": limits or {}}
    return json.dumps(fields)
