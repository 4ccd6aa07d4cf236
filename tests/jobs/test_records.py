"""Checks that job records decode to what was encoded, and that readers agree in any order.

Hosts submit the same job at the same time and read records in different orders, for example from a
snapshot of the keys. All of them must find the same submission in force.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linkspan.errors import RecordError
from linkspan.jobs.catalog import JobCatalog
from linkspan.jobs.record_codec import decode, encode
from linkspan.jobs.records import (
    Begun,
    Cancelled,
    Delegated,
    Delegation,
    Finished,
    JobRecord,
    JobState,
    Moved,
    Returned,
    StartOrdered,
    Submitted,
    Tombstone,
)
from linkspan.jobs.spec import Demand, JobSpec, Schedule, StepSpec

steps = st.builds(
    StepSpec,
    count=st.integers(1, 9),
    demand=st.builds(Demand, st.integers(0, 9_999), st.integers(0, 9_999), st.integers(0, 4)),
    estimate_s=st.floats(0, 100),
    depends_on=st.lists(st.integers(0, 3), max_size=2).map(tuple),
    label=st.sampled_from(("", "a")),
    gang=st.booleans(),
    standing=st.booleans(),
    disruption_budget=st.none() | st.integers(0, 3),
    image=st.sampled_from(("", "i")),
)
specs = st.builds(
    JobSpec,
    job_id=st.sampled_from(("0a", "0b")),
    queue=st.just("q"),
    payload=st.text(max_size=20),
    steps=st.lists(steps, min_size=1, max_size=3).map(tuple),
    schedule=st.none() | st.builds(Schedule, st.integers(1, 5), st.floats(0, 9), st.floats(0, 9)),
)
delegations = st.lists(
    st.builds(Delegation, st.integers(0, 3), st.integers(0, 9), st.integers(1, 5)), max_size=3
).map(tuple)
ids = st.sampled_from(("0a", "0b"))
shards = st.integers(0, 11)
submissions = st.builds(Submitted, specs, shards, st.floats(0, 2e9), st.sampled_from(("h1", "h2")))
records = st.one_of(
    submissions,
    st.builds(Moved, ids, shards),
    st.builds(Delegated, ids, shards, delegations),
    st.builds(Returned, ids, shards, delegations),
    st.builds(Cancelled, ids),
    st.builds(StartOrdered, ids),
    st.builds(Begun, ids),
    st.builds(Finished, ids, st.sampled_from(JobState), shards, st.floats(0, 2e9), st.just("q")),
    st.builds(Tombstone, st.sampled_from("cbmf"), ids),
    st.builds(Tombstone, st.just("s"), ids, st.just("h1")),
)


@given(records)
def test_records_come_back(record: JobRecord) -> None:
    assert decode(*encode(record)) == record


@given(st.binary(max_size=12), st.binary(min_size=1, max_size=12))
def test_damaged_records_are_told_apart(key: bytes, value: bytes) -> None:
    try:
        decode(key, value)
    except RecordError:
        return


@given(st.lists(submissions, min_size=2, max_size=4))
def test_the_lowest_offset_decides_in_any_order(found: list[Submitted]) -> None:
    placed = list(enumerate(found))
    views = []
    for order in (placed, placed[::-1]):
        catalog = JobCatalog()
        for offset, record in order:
            catalog.apply(offset, record)
        views.append({j: (e.submitted, e.offset) for j in ("0a", "0b") if (e := catalog.get(j))})
    assert views[0] == views[1]


def test_a_job_waits_until_it_begins() -> None:
    catalog = JobCatalog()
    spec = JobSpec("0a", "q", "", (StepSpec(1),))
    catalog.apply(0, Submitted(spec, 0, 0.0, "h1"))
    assert catalog.waiting("q") == 1
    catalog.apply(1, Begun("0a"))
    assert catalog.waiting("q") == 0


def test_a_job_of_which_only_a_start_was_ordered_waits() -> None:
    """Guards against jobs that count as begun while executors refuse or lose all their starts."""
    catalog = JobCatalog()
    spec = JobSpec("0a", "q", "", (StepSpec(1),))
    catalog.apply(0, Submitted(spec, 0, 0.0, "h1"))
    catalog.apply(1, StartOrdered("0a"))
    entry = catalog.get("0a")
    assert entry and entry.state is JobState.QUEUED and entry.start_ordered
    assert catalog.waiting("q") == 1
    catalog.apply(2, Begun("0a"))
    catalog.apply(3, StartOrdered("0a"))
    assert entry.state is JobState.RUNNING
    assert catalog.waiting("q") == 0


def test_an_end_is_final_and_a_late_submission_changes_nothing() -> None:
    catalog = JobCatalog()
    spec = JobSpec("0a", "q", "", (StepSpec(1),))
    catalog.apply(0, Submitted(spec, 0, 0.0, "h1"))
    catalog.apply(1, Finished("0a", JobState.SUCCEEDED, 0, 0.0, "q"))
    catalog.apply(2, Tombstone("s", "0a", "h1"))
    catalog.apply(3, Submitted(spec, 1, 0.0, "h2"))
    entry = catalog.get("0a")
    assert entry and entry.state is JobState.SUCCEEDED
    assert catalog.waiting("q") == 0


def test_returned_delegations_are_closed() -> None:
    catalog = JobCatalog()
    spec = JobSpec("0a", "q", "", (StepSpec(2, standing=True),))
    catalog.apply(0, Submitted(spec, 0, 0.0, "h1"))
    catalog.apply(1, Delegated("0a", 1, (Delegation(0, 0, 1), Delegation(0, 1, 1))))
    catalog.apply(2, Returned("0a", 1, (Delegation(0, 1, 1),)))
    entry = catalog.get("0a")
    assert entry and entry.open_delegations(1) == (Delegation(0, 0, 1),)


@pytest.mark.parametrize("key", [b"", b"s", b"x:0a", b"f:0a", b"l:0a:x"])
def test_malformed_keys_are_refused(key: bytes) -> None:
    with pytest.raises(RecordError):
        decode(key, b"7")


def test_a_delegation_has_crash_fields_that_old_versions_omit() -> None:
    """Checks that a delegation may have crash fields after the three that old versions use."""
    delegated = Delegated(
        "0a", 1, (Delegation(0, 0, 1, crash_count=2, crash_score=6), Delegation(0, 1, 1))
    )
    key, value = encode(delegated)
    assert json.loads(value) == [[0, 0, 1, 2, 6], [0, 1, 1]]
    read = decode(key, value)
    assert isinstance(read, Delegated)
    assert [
        (delegation.crash_count, delegation.crash_score) for delegation in read.delegations
    ] == [(2, 6), (0, 0)]
    earlier = decode(key, b"[[0,0,1]]")
    assert isinstance(earlier, Delegated) and earlier.delegations == (Delegation(0, 0, 1),)
    assert earlier.delegations[0] == delegated.delegations[0], (
        "crash fields are not part of a delegation's identity"
    )
