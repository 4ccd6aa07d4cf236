"""Checks that each job record is decoded as valid or skipped, and that no key breaks a catalog."""

from __future__ import annotations

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.errors import RecordError
from linkspan.jobs.catalog import JobCatalog
from linkspan.jobs.record_codec import decode
from tests.fuzz import builders
from tests.fuzz.builders import EXAMPLES, check, damaged_bytes


@settings(max_examples=EXAMPLES)
@given(
    st.sampled_from(builders.JOB_RECORDS).flatmap(
        lambda row: st.tuples(st.just(row[0]), damaged_bytes(row[1]))
    )
)
def test_a_job_record_is_decoded_or_passed_over(row: tuple[str, bytes]) -> None:
    key, value = row
    check(lambda v: decode(key.encode(), v), value, RecordError)


@settings(max_examples=EXAMPLES)
@given(
    st.binary(max_size=12)
    | st.sampled_from(
        [b"l:a:x", b"r:a", b"m", b"l:a:\xff", b"z:a", b"s", b":", b"", b"l:a:9999999999999999999"]
    )
)
def test_a_dropped_key_of_any_form_changes_nothing_else(key: bytes) -> None:
    catalog = JobCatalog()
    for number, (name, value) in enumerate(builders.JOB_RECORDS[:4]):
        catalog.apply(number, decode(name.encode(), json.dumps(value).encode()))
    try:
        catalog.apply(9, decode(key, b""))
    except RecordError:
        return
    assert catalog.get("5c0e7a21d94b36f8")
