"""Callers' bodies: a sound job, or a refusal that says why."""

from __future__ import annotations

from hypothesis import given, settings

from linkspan.errors import InvalidInput
from linkspan.platform.jobs import job_from_wire
from tests.fuzz import builders
from tests.fuzz.builders import EXAMPLES, check, damaged_bytes


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.JOB))
def test_a_callers_body_is_a_job_or_refused(body: bytes) -> None:
    check(lambda b: job_from_wire("0a", "q", b), body, InvalidInput)
