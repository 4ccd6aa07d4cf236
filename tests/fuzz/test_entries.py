"""Checks that each record of the operator or an executor is decoded as valid or skipped.

A record with a missing or mistyped field must not reach a plan: its owner would start tasks at a
wrong address or beyond a capacity.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings

from linkspan.errors import RecordError
from linkspan.platform.records import configuration_from_wire, executor_from_wire
from tests.fuzz import builders
from tests.fuzz.builders import EXAMPLES, MISSING, check, damaged_bytes, with_part


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.CONFIGURATION))
def test_a_configuration_is_decoded_or_passed_over(value: bytes) -> None:
    check(configuration_from_wire, value, RecordError)


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.EXECUTOR))
def test_an_executors_entry_is_decoded_or_passed_over(value: bytes) -> None:
    check(lambda v: executor_from_wire("e1", v), value, RecordError)


TEXTS = (("service",), ("address",), ("zone",), ("version",), ("state",))
COUNTS = (("slots",), ("coldRemainingMs",), ("callSeq",))
SIZES = (("capacity", "cpu"), ("capacity", "memMb"), ("capacity", "gpu"))
LISTS = (("labels",),)
OBJECTS = (("capacity",),)
MISTYPED: list[tuple[tuple[tuple[str, ...], ...], list[object]]] = [
    (TEXTS, [MISSING, None, "", 7, True, ["pool"], {}]),
    (COUNTS + SIZES, [MISSING, None, "7", True, -1, [7], {}]),
    (LISTS, [MISSING, None, "kind-a", 7, {}, ["kind-a", 7], [None]]),
    (OBJECTS, [MISSING, None, "8000", 7, [8000, 32000, 1]]),
    (SIZES, [10**9 + 1, 2**53, 2**70, 1e300]),
]
"""Paths of the required fields of an entry, and values that are not of their type."""


@pytest.mark.parametrize(
    ("path", "odd"),
    [(path, odd) for paths, values in MISTYPED for path in paths for odd in values],
    ids=repr,
)
def test_an_entry_with_a_missing_or_mistyped_field_is_refused(
    path: tuple[str, ...], odd: object
) -> None:
    entry = json.dumps(with_part(builders.EXECUTOR, path, odd)).encode()
    with pytest.raises(RecordError):
        executor_from_wire("e1", entry)


@pytest.mark.parametrize("state", ["retired", "", "READY", 7, None, ["ready"], {"ready": 1}])
def test_an_entry_with_an_unknown_state_is_refused(state: object) -> None:
    entry = json.dumps({**builders.EXECUTOR, "state": state}).encode()
    with pytest.raises(RecordError):
        executor_from_wire("e1", entry)


@pytest.mark.parametrize(
    "address",
    [
        *("", "10.2.0.7", "10.2.0.7:", ":8200", "10.2.0.7:port", "a b:1"),
        *(f"10.2.0.7:{port}" for port in (0, -1, "+1", "08200", 65_536, 70_000, "9" * 30)),
        *("10.2.0.7:٨٢٠٠", "10.2.0.7:8200:8201", "10.2.0.7:8200/x", "10.2.0.7 :8200"),
        *("some-host:8200", "u:p@10.2.0.7:8200", "10.2.0:8200", "10.2.0.256:8200"),
        *("0.0.0.0:8200", "224.0.0.1:8200", "::1:8200", "[10.2.0.7]:8200", "[fe80::1%x]:8200"),
    ],
)
def test_an_entry_without_a_valid_address_is_refused(address: str) -> None:
    entry = json.dumps({**builders.EXECUTOR, "address": address}).encode()
    with pytest.raises(RecordError):
        executor_from_wire("e1", entry)


@pytest.mark.parametrize("address", ["10.2.0.7:1", "10.2.0.7:65535", "[2001:db8::7]:8200"])
def test_an_ip_address_with_a_port_is_accepted(address: str) -> None:
    entry = json.dumps({**builders.EXECUTOR, "address": address}).encode()
    assert executor_from_wire("e1", entry).address == address


@pytest.mark.parametrize(
    "executor_id", ["", " ", "e 1", "e1\n", "e\r\nx: 1", "\x00", "é", "e" * 201]
)
def test_an_entry_under_an_id_that_no_header_can_hold_is_refused(executor_id: str) -> None:
    with pytest.raises(RecordError):
        executor_from_wire(executor_id, json.dumps(builders.EXECUTOR).encode())


def test_an_entry_with_fields_of_a_later_version_is_decoded() -> None:
    entry = json.dumps({**builders.EXECUTOR, "fieldOfLater": {"x": 1}}).encode()
    assert executor_from_wire("e1", entry).service == "pool"
