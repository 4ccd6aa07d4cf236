"""Checks the decoding of settings, records of the operator and request bodies of callers."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from linkspan.errors import InvalidInput, RecordError, SettingsError
from linkspan.jobs.spec import Demand, Schedule
from linkspan.platform.jobs import job_from_wire
from linkspan.platform.records import configuration_from_wire, executor_from_wire
from linkspan.platform.settings import read_settings
from tests.fuzz.builders import EXECUTOR

SETTINGS = {
    "nodeName": "edge-a-1",
    "ip": "10.1.0.13",
    "zone": "b",
    "zones": {"b": "r", "a": "r"},
    "bindAddresses": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167"},
    "platform": {"address": "10.200.1.7:8169"},
    "bounds": {"holdMaxMs": 6000, "drainMs": 3000, "far_x": 3, "thawMs": 200},
    "something": {"new": [1]},
}
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


def write(path: Path, fields: object) -> Path:
    path.write_text(yaml.safe_dump(fields))
    return path


def test_settings_are_decoded_and_unknown_fields_ignored(tmp_path: Path) -> None:
    settings = read_settings(write(tmp_path / "s.yaml", SETTINGS))
    assert (settings.name, settings.hall, settings.shard) == ("edge-a-1", "b", 1)
    assert settings.bounds.max_lease_s == 6.0
    assert settings.bounds.drain_s == 3.0
    assert settings.bounds.far_factor == 3.0
    assert settings.bounds.freeze_s == 0.2


@pytest.mark.parametrize("field", ["nodeName", "zone", "bindAddresses", "platform", "ip"])
def test_a_missing_setting_is_named_in_the_error(tmp_path: Path, field: str) -> None:
    fields = {key: value for key, value in SETTINGS.items() if key != field}
    with pytest.raises(SettingsError, match=field):
        read_settings(write(tmp_path / "s.yaml", fields))


def test_orders_by_heartbeat_are_refused_at_startup(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="invoke"):
        read_settings(write(tmp_path / "s.yaml", {**SETTINGS, "commands": "heartbeat"}))


def test_a_file_without_valid_yaml_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "s.yaml"
    path.write_bytes(b"\x00: [")
    with pytest.raises(SettingsError):
        read_settings(path)


def test_a_configuration_is_decoded() -> None:
    value = orjson.dumps(
        {
            "version": 7,
            "routes": [
                {
                    "name": "r",
                    "hostname": "Host.example",
                    "pathPrefix": "/p/",
                    "service": "s",
                    "maxAttempts": 4,
                    "stretch": 1.5,
                    "targetLatencyMs": 250,
                    "advice": {"decide_ms": 5, "each_ms": 1, "valid_ms": 3000},
                },
                {"name": "l", "hostname": "host.example", "pathPrefix": "/p/q/", "service": "s"},
            ],
            "services": [{"name": "s", "admissionCheck": True}],
        }
    )
    configuration = configuration_from_wire(value)
    queue = configuration.find("host.example", "/p/1")
    assert queue and queue.name == "r" and queue.target_s == 0.25
    assert queue.advice and queue.advice.valid_s == 3.0
    longer = configuration.find("host.example", "/p/q/1")
    assert longer and longer.name == "l"
    assert configuration.find("other.example", "/p/1") is None
    assert configuration.services["s"].guards_room


def test_an_executors_entry_is_decoded_and_unused_fields_ignored() -> None:
    fields = {
        "service": "pool",
        "address": "10.2.0.7:8200",
        "zone": "b",
        "version": "2.31",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 1500,
        "callSeq": 17,
        "capacity": {"cpu": 8000, "memMb": 32000, "gpu": 0},
        "labels": ["kind-a", "rack-1"],
    }
    ready = executor_from_wire("e1", orjson.dumps(fields))
    assert (ready.executor_id, ready.service, ready.address) == ("e1", "pool", "10.2.0.7:8200")
    assert (ready.hall, ready.capacity, ready.rack) == ("b", Demand(8000, 32000), "rack-1")
    assert (ready.draining, ready.remaining_s) == (False, 0.0)
    later = executor_from_wire("e1", orjson.dumps({**fields, "callSeq": 18, "coldRemainingMs": 0}))
    assert later == ready
    fields.update(state="draining", remainingMs=2500)
    leaving = executor_from_wire("e1", orjson.dumps(fields))
    assert (leaving.draining, leaving.remaining_s) == (True, 2.5)


def test_a_job_is_decoded() -> None:
    body = {
        "spec": "text",
        "steps": [
            {"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 900, "affinity": "r1-3"},
            {"count": 2, "dependsOn": [0], "indefinite": True, "antiAffinity": 1, "fills": True},
        ],
        "repeatCount": 3,
        "firstMs": 5000,
        "intervalMs": 2000,
    }
    spec = job_from_wire("00", "q", orjson.dumps(body))
    assert spec.steps[0].demand == Demand(500, 256, 0)
    assert spec.steps[0].data_rack == "r1-3"
    assert spec.steps[1].standing and spec.steps[1].best_effort
    assert spec.steps[1].disruption_budget == 0
    assert spec.schedule == Schedule(3, 5.0, 2.0)


@pytest.mark.parametrize(
    "steps",
    [[], [{"count": 0, "cpu": -1}], [{"dependsOn": [0]}], [{"count": 10**6}], "x", None],
)
def test_invalid_jobs_are_refused(steps: object) -> None:
    with pytest.raises(InvalidInput):
        job_from_wire("00", "q", orjson.dumps({"steps": steps}))


@given(json_values)
def test_any_body_is_decoded_or_refused(value: object) -> None:
    try:
        body = orjson.dumps(value)
    except (TypeError, orjson.JSONEncodeError):
        return
    for decode, error in (
        (lambda b: job_from_wire("00", "q", b), InvalidInput),
        (configuration_from_wire, RecordError),
        (lambda b: executor_from_wire("e", b), RecordError),
    ):
        try:
            decode(body)
        except error:
            continue


@given(st.binary(max_size=40))
def test_any_bytes_are_decoded_or_refused(body: bytes) -> None:
    with pytest.raises((InvalidInput, RecordError)):
        job_from_wire("00", "q", body)


def test_an_executor_past_its_remaining_time_is_still_draining() -> None:
    """Checks the entry of an executor that serves on after its announced time has passed."""
    fields = {**EXECUTOR, "state": "draining", "remainingMs": -40}
    leaving = executor_from_wire("e1", orjson.dumps(fields))
    assert (leaving.draining, leaving.remaining_s) == (True, 0.0)
