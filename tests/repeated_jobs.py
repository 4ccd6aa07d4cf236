"""Builders of jobs that run many times."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec, Schedule, StepSpec
from tests.job_builders import QUEUE, step
from tests.virtual_time import EPOCH

WEEK_MINUTES = 7 * 24 * 60


def repeated(spec: JobSpec, count: int, *, after_s: float, interval_s: float) -> JobSpec:
    """Return a job of a world in virtual time that runs many times, first in some seconds."""
    first_s = EPOCH + asyncio.get_running_loop().time() + after_s
    return replace(spec, schedule=Schedule(count, first_s, interval_s))


def repeated_job(
    number: int, count: int, *steps: StepSpec, first_s: float = 0.0, interval_s: float = 60.0
) -> Submitted:
    """Return the submission of a job that runs many times."""
    schedule = Schedule(count, first_s, interval_s)
    spec = JobSpec(f"{number:016x}", QUEUE.name, "text", steps or (step(1),), schedule)
    return Submitted(spec, 0, 0.0, "host")
