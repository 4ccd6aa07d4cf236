"""Checks that each settings file is decoded as valid settings or refused at startup."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.errors import SettingsError
from linkspan.platform.settings import read_settings
from tests.fuzz import builders
from tests.fuzz.builders import EXAMPLES, damaged_bytes, unsound_fields

_PATHS: list[Path] = []


@pytest.fixture(autouse=True, scope="module")
def settings_path(tmp_path_factory: pytest.TempPathFactory) -> None:
    """Provide the path of the settings file for all tests of the module."""
    _PATHS.append(tmp_path_factory.mktemp("settings") / "settings.yaml")


@settings(max_examples=EXAMPLES)
@given(
    damaged_bytes(builders.SETTINGS)
    | st.sampled_from(
        [
            b"{nodeName: 2001-13-45}",
            b"limits: {memoryMb: .inf}",
            b"bounds: {drainMs: .nan}",
            b"a: &a [*a]",
            b"!!python/object:os.system x",
            b"%YAML 9.9\n---\n{}",
            b"- 1\n- 2\n",
            b"? [1]\n: 2\n",
            b"<<: 5\n",
            b"!!int x",
            b"!!binary \xff",
        ]
    )
)
def test_settings_are_read_or_refused(value: bytes) -> None:
    path = _PATHS[0]
    path.write_bytes(value)
    try:
        settings = read_settings(path)
    except SettingsError:
        return
    assert unsound_fields(settings) == ""
    assert settings.shard >= 0
    assert min(settings.bounds.max_lease_s, settings.memory_mb) > 0


@pytest.mark.parametrize("ports", [None, "9000-9010", {"from": 9000}, [9000], [1, 2, 3]])
def test_an_unused_malformed_port_range_does_not_prevent_startup(ports: object) -> None:
    path = _PATHS[0]
    path.write_text(json.dumps({**builders.SETTINGS, "internalPortRange": ports}))
    assert read_settings(path).peer_ports == (0, 0)
