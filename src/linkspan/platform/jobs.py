"""JSON bodies of callers' requests and of the responses to them."""

from __future__ import annotations

from typing import Any

import orjson

from linkspan._typed import parse_int, parse_list, parse_number, parse_object, parse_text
from linkspan.errors import InvalidInput
from linkspan.jobs.records import JobState
from linkspan.jobs.spec import JobSpec, Schedule, StepSpec, check_job, check_task_count
from linkspan.platform.records import demand_from_wire

TIMEOUT_HEADER = "Linkspan-Timeout-Ms"
"""Request header with the time for which the caller waits for a response, in milliseconds."""


def job_from_wire(job_id: str, queue: str, body: bytes) -> JobSpec:
    """Return the job that a caller's body describes.

    Raises:
        InvalidInput: The body does not describe a valid job.
    """
    try:
        fields = parse_object(orjson.loads(body))
        rows = parse_list(fields["steps"])
        # Each step has a task at least, so that too many are found before they are read.
        check_task_count(len(rows))
        spec = JobSpec(
            job_id=job_id,
            queue=queue,
            payload=parse_text(fields.get("spec") or ""),
            steps=tuple(_parse_step(parse_object(row)) for row in rows),
            schedule=_parse_schedule(fields),
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise InvalidInput("body", f"{error!r}", "send the documented fields") from error
    check_job(spec)
    return spec


def _parse_schedule(fields: dict[str, Any]) -> Schedule | None:
    count = parse_int(fields.get("repeatCount") or 0)
    if not count:
        return None
    first_s = parse_number(fields.get("firstMs") or 0) / 1000
    return Schedule(count, first_s, parse_number(fields.get("intervalMs") or 0) / 1000)


def _parse_step(row: dict[str, Any]) -> StepSpec:
    budget = row.get("may_miss")
    standing = bool(row.get("indefinite"))
    return StepSpec(
        count=parse_int(row.get("count") or 1),
        demand=demand_from_wire(row),
        estimate_s=parse_number(row.get("estimatedMs") or 0) / 1000,
        depends_on=tuple(parse_int(index) for index in parse_list(row.get("dependsOn"))),
        label=parse_text(row.get("requirements") or ""),
        data_rack=parse_text(row.get("affinity") or ""),
        max_per_executor=parse_int(row.get("antiAffinity") or 0),
        gang=bool(row.get("gangScheduled")),
        one_rack=bool(row.get("rackLocal")),
        speculative=bool(row.get("speculative")),
        standing=standing,
        # Callers omit a value of 0, which allows no task to be interrupted.
        disruption_budget=parse_int(budget or 0) if standing else None,
        best_effort=bool(row.get("fills")),
        image=parse_text(row.get("image") or ""),
        latency_target_ms=parse_number(row.get("target_ms") or 0),
        checkpoints=bool(row.get("checkpointing")),
    )


class JsonCallerFormat:
    """Decodes callers' requests and encodes the responses to them as JSON."""

    timeout_header = TIMEOUT_HEADER

    def __repr__(self) -> str:
        return "JsonCallerFormat()"

    def job(self, job_id: str, queue: str, body: bytes) -> JobSpec:
        """Return the job that a body describes.

        Raises:
            InvalidInput: The body does not describe a valid job.
        """
        return job_from_wire(job_id, queue, body)

    def state(self, state: JobState) -> bytes:
        """Return the response to a request for a job's state."""
        return orjson.dumps({"state": state.value})

    def waiting(self, count: int) -> bytes:
        """Return the response to a request for the number of a queue's waiting jobs."""
        return orjson.dumps({"waiting": count})
