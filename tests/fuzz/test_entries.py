"""Records of the operator and of executors: sound, or passed over."""

from __future__ import annotations

from hypothesis import given, settings

from linkspan.errors import RecordError
from linkspan.platform.records import configuration_from_wire, executor_from_wire
from tests.fuzz import builders
from tests.fuzz.builders import EXAMPLES, check, damaged_bytes


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.CONFIGURATION))
def test_a_configuration_is_decoded_or_passed_over(value: bytes) -> None:
    check(configuration_from_wire, value, RecordError)


@settings(max_examples=EXAMPLES)
@given(damaged_bytes(builders.EXECUTOR))
def test_an_executors_entry_is_decoded_or_passed_over(value: bytes) -> None:
    check(lambda v: executor_from_wire("e1", v), value, RecordError)
