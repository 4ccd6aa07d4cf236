"""Builders of jobs, as specs and as the request bodies that callers send."""

from __future__ import annotations

import json
from typing import Any

from aiohttp import web

from linkspan.jobs.spec import Demand, JobSpec, Schedule, StepSpec
from linkspan.model.configuration import Queue

MAX_AWAY_S = 9.0
"""Longest time for which a standing task may not run although there is room for two of it: 6 s from
its last run, and 3 s more."""

QUEUE = Queue("batch", "host.example", "/batch/", "pool", max_attempts=3, target_s=1.0)


def state_of(answer: web.Response) -> str:
    assert isinstance(answer.body, bytes)
    if answer.status != 200:
        return str(answer.status)
    return str(json.loads(answer.body)["state"])


def job_body(spec: JobSpec) -> bytes:
    """Return the body that a caller sends for a job."""
    return json.dumps(
        {
            "spec": spec.payload,
            **_times(spec.schedule),
            "steps": [
                {
                    "count": s.count,
                    "cpu": s.demand.milli_cpu,
                    "memMb": s.demand.memory_mb,
                    "estimatedMs": s.estimate_s * 1000,
                    "dependsOn": list(s.depends_on),
                    "indefinite": s.standing,
                    "gangScheduled": s.gang,
                    "antiAffinity": s.max_per_executor,
                    "fills": s.best_effort,
                    "speculative": s.speculative,
                    "target_ms": s.latency_target_ms,
                    "image": s.image,
                }
                for s in spec.steps
            ],
        }
    ).encode()


def _times(schedule: Schedule | None) -> dict[str, int]:
    if schedule is None:
        return {}
    return {
        "repeatCount": schedule.count,
        "firstMs": int(schedule.first_s * 1000),
        "intervalMs": int(schedule.interval_s * 1000),
    }


def step(count: int = 1, *, cpu: int = 1_000, estimate_s: float = 1.0, **fields: Any) -> StepSpec:
    """Return a step with 100 MB of memory for each task."""
    return StepSpec(count=count, demand=Demand(cpu, 100), estimate_s=estimate_s, **fields)
