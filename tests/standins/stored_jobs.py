"""Fills a store with records of jobs, executors and a configuration."""

from __future__ import annotations

import json

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Begun, Finished, JobRecord, JobState, Submitted
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from linkspan.platform.store import CONFIG_KEY, CONFIG_RECORDS, EXECUTOR_RECORDS
from tests.standins.memory_store import MemoryStore

PAYLOAD_BYTES = 1_200
"""Mean payload size of a job on large deployments."""


def put_job(store: MemoryStore, record: JobRecord) -> None:
    """Write a job record as a host does."""
    key, value = encode(record)
    store.put(JOBS, key, value)


def live_job(number: int) -> JobSpec:
    """Return a job of two steps of ten tasks each."""
    steps = (
        StepSpec(10, Demand(4_000, 8_000), 0.6),
        StepSpec(10, Demand(4_000, 8_000), 0.6, depends_on=(0,)),
    )
    return JobSpec(f"{number:016x}", "nearby-search", "x" * PAYLOAD_BYTES, steps)


def fill_jobs(store: MemoryStore, *, live: int = 0, finished: int = 0) -> list[str]:
    """Write running and finished jobs, and return the ids of the running ones."""
    for number in range(finished):
        put_job(
            store,
            Finished(f"f{number:015x}", JobState.SUCCEEDED, 0, 1_800_000_000.125, "nearby-search"),
        )
    for number in range(live):
        spec = live_job(number)
        put_job(store, Submitted(spec, 0, 1_800_000_000.125, "life00000000"))
        put_job(store, Begun(spec.job_id))
    return [f"{number:016x}" for number in range(live)]


def fill_executors(store: MemoryStore, count: int) -> None:
    """Write the entries of executors."""
    for number in range(count):
        fields = {
            "service": "finder-api",
            "address": f"10.1.{number // 250}.{number % 250}:8160",
            "zone": "rennes-a",
            "version": "3.1.4",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "callSeq": 17,
            "machine": f"machine-{number:04d}",
            "capacity": {"cpu": 32_000, "memMb": 128_000, "gpu": 0},
            "labels": ["kind-a", f"r1-{number // 8}"],
        }
        store.put(EXECUTOR_RECORDS, b"executor-%08d" % number, json.dumps(fields).encode())


def fill_configuration(store: MemoryStore, routes: int) -> None:
    """Write a configuration with the given number of routes."""
    rows = [
        {
            "name": f"route-{number:05d}",
            "hostname": f"nony{number:05d}.example",
            "pathPrefix": f"/lohu{number:05d}/",
            "service": "finder-api",
            "priority": 1,
            "maxAttempts": 3,
            "stretch": 1.5,
            "targetLatencyMs": 300,
            "timeoutMs": 3000,
        }
        for number in range(routes)
    ]
    fields = {
        "version": 7,
        "routes": rows,
        "services": [{"name": "finder-api", "admissionCheck": True}],
        "limits": {"maxBodyBytes": 262_144},
    }
    store.put(CONFIG_RECORDS, CONFIG_KEY, json.dumps(fields).encode())
