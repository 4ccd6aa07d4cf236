"""Checks that each request body of a caller is decoded as a valid job or refused.

An accepted job with invalid values, such as an infinite duration, would stop the owner of its hall.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings

from linkspan.errors import InvalidInput
from linkspan.jobs.spec import MAX_REPEATED_TASKS, MAX_TASKS
from linkspan.platform.jobs import job_from_wire
from tests.fuzz import builders
from tests.fuzz.builders import EXAMPLES, check, damaged_bytes


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.JOB))
def test_a_callers_body_is_a_job_or_refused(body: bytes) -> None:
    check(lambda b: job_from_wire("0a", "q", b), body, InvalidInput)


@pytest.mark.parametrize(
    "fields",
    [
        {"estimatedMs": "inf"},
        {"estimatedMs": "nan"},
        {"estimatedMs": 1e300},
        {"requirements": ["kind"]},
        {"cpu": 2**40},
        {"antiAffinity": -1},
    ],
)
def test_a_step_with_values_that_stop_an_owner_is_refused(fields: dict[str, object]) -> None:
    body = json.dumps({"steps": [{"count": 1, "cpu": 100, **fields}]}).encode()
    with pytest.raises(InvalidInput):
        job_from_wire("0a", "q", body)


def test_more_repetitions_than_an_owner_has_memory_for_are_refused() -> None:
    most = MAX_REPEATED_TASKS // 2
    body = {"steps": [{"count": 2}], "repeatCount": most, "intervalMs": 1}
    assert job_from_wire("0a", "q", json.dumps(body).encode()).repetitions == most
    with pytest.raises(InvalidInput, match=str(MAX_REPEATED_TASKS)):
        job_from_wire("0a", "q", json.dumps({**body, "repeatCount": most + 1}).encode())


def test_more_steps_than_a_job_may_have_tasks_are_refused_before_they_are_read() -> None:
    """Guards against half a second of work on a body of legal size that is refused anyway."""
    steps: list[object] = [{}] * MAX_TASKS + ["not a step"]
    with pytest.raises(InvalidInput, match=f"{MAX_TASKS} at most"):
        job_from_wire("0a", "q", json.dumps({"steps": steps}).encode())
