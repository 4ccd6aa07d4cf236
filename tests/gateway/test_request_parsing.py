"""Parsing of what callers and operators send: jobs, configuration changes and request headers.

Any JSON is either accepted or refused with a typed error that names a remedy. Guards against
input that crashes a parser or that reaches the scheduler half parsed.
"""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.config.document import ServiceConfig
from linkspan.config.store import Change
from linkspan.config.validate import errors_in, validate
from linkspan.errors import InvalidInput, LinkspanError
from linkspan.gateway.job_request import parse_job
from linkspan.gateway.operators import parse_change
from linkspan.gateway.request_terms import RequestTerms, forwarded_headers, request_terms
from linkspan.model.job import JobSpec, Priority
from linkspan.model.resources import Resources

VALID_JOB = (
    b'{"job_id": "plans-17", "customer": "borne-breizh", "team": "routes", '
    b'"kind": "route-plan", "count": 40, "size": {"milli_cpu": 2000, "memory_mb": 4000}, '
    b'"priority": "urgent", "repeatable": false, "labels": {"tier": "noisy"}, '
    b'"selector": "rack in (a, b) and not gpu", "run_s": 600}'
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["job_id", "size", "count", "labels", "selector", "milli_cpu", "x"]),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)
KEYS = st.sampled_from(
    ["services/a", "quotas/t", "company/c", "placement/x", "routing/a", "labels/w", "halls/h", "no"]
)


def _json(value: object) -> bytes:
    import json

    return json.dumps(value).encode("utf-8", "surrogatepass")


def test_oversized_job_is_refused() -> None:
    body = VALID_JOB.replace(b'"noisy"', b'"' + b"x" * 20_000 + b'"')
    assert "fewer or shorter labels" in str(parse_job(body).error)


def test_valid_job_is_parsed_completely() -> None:
    assert parse_job(VALID_JOB).ok == JobSpec(
        "plans-17",
        "borne-breizh",
        "routes",
        "route-plan",
        40,
        Resources(2_000, 4_000),
        Priority.URGENT,
        False,
        {"tier": "noisy"},
        "rack in (a, b) and not gpu",
        600,
    )


@settings(derandomize=True, database=None)
@given(st.binary(max_size=60) | JSON.map(_json))
def test_any_body_is_a_job_or_a_typed_error(body: bytes) -> None:
    parsed = parse_job(body)
    assert parsed.is_error() and isinstance(parsed.error, LinkspanError)
    assert ";" in str(parsed.error) or "position" in str(parsed.error)


@settings(derandomize=True, database=None)
@given(st.binary(max_size=60) | JSON.map(_json))
def test_any_body_is_a_change_or_a_typed_error(body: bytes) -> None:
    try:
        assert isinstance(parse_change(body), Change)
    except InvalidInput as error:
        assert error.remedy


@settings(derandomize=True, database=None)
@given(st.dictionaries(KEYS, JSON, max_size=4))
def test_any_document_is_checked_without_a_crash(document: dict[str, object]) -> None:
    for finding in validate(document):
        assert finding.key in document and finding.text
    assert all(finding.is_error for finding in errors_in(document))


FINDINGS = [
    (
        "company/a",
        {"work": "tier=a and tier=b", "never_with": "x"},
        "conditions on label 'tier' conflict",
        False,
    ),
    ("company/a", {"work": "tier=", "never_with": "x"}, "at position 5", True),
    ("quotas/t", {"milli_cpu": 0}, "the team can run nothing", False),
    ("quotas/t", {"milli_cpu": -1}, "give a whole number from 0", True),
    ("services/a", {"customer": "c", "deadline_ms": 99_999}, "or raise max_deadline_ms", True),
    ("services/a", {"customer": "c", "replicas": 2}, "give milli_cpu and memory_mb", True),
    ("placement/c", "magic", "use one of", True),
    ("routing/a", "magic", "use one of", True),
    ("halls/h", {}, '{"region": NAME}', True),
    ("nothing/x", 1, "unknown section", True),
]


@pytest.mark.parametrize(("key", "value", "text", "is_error"), FINDINGS)
def test_validation_findings_name_the_remedy(
    key: str, value: object, text: str, is_error: bool
) -> None:
    (finding,) = validate({key: value})
    assert finding.key == key and text in finding.text and finding.is_error is is_error


SERVICE = ServiceConfig("finder-api", "borne-breizh", deadline_ms=800, max_deadline_ms=5_000)
TERMS = [
    ("GET", {}, RequestTerms(0.8, True, "", False)),
    ("POST", {}, RequestTerms(0.8, False, "", False)),
    ("POST", {"Linkspan-Repeatable": "yes"}, RequestTerms(0.8, True, "", False)),
    ("GET", {"Linkspan-Deadline-Ms": "50"}, RequestTerms(0.05, True, "", False)),
    ("GET", {"Linkspan-Stream": "yes"}, RequestTerms(0.8, True, "", True)),
    (
        "POST",
        {"Linkspan-Repeatable": "no", "Idempotency-Key": "k"},
        RequestTerms(0.8, False, "k", False),
    ),
]


@pytest.mark.parametrize(("method", "headers", "expected"), TERMS)
def test_request_terms_follow_method_and_headers(
    method: str, headers: dict[str, str], expected: RequestTerms
) -> None:
    assert request_terms(method, headers, SERVICE) == expected


@pytest.mark.parametrize("text", ["", "0", "-1", "1.5", "5001", "9" * 40, "\u0665"])
def test_malformed_deadline_is_refused(text: str) -> None:
    with pytest.raises(InvalidInput, match="Linkspan-Deadline-Ms"):
        request_terms("GET", {"Linkspan-Deadline-Ms": text}, SERVICE)


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    headers = {"Connection": "close, X-Own", "X-Own": "1", "TE": "x", "X-Other": "2"}
    assert forwarded_headers(headers) == {"X-Other": "2"}
