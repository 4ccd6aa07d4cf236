"""Checks the precedence of flags, environment and defaults, and the errors of settings."""

from __future__ import annotations

import pytest

from linkspan.errors import SettingsError
from linkspan.settings import (
    GatewaySettings,
    SchedulerSettings,
    help_text,
    load_settings,
    loggable_settings,
)

REQUIRED = {"hall": "rennes-a", "log": "10.0.0.1:80", "hosts": "10.0.0.1:81"}


def test_flags_override_environment_and_environment_overrides_defaults() -> None:
    environment = {"LINKSPAN_LEASE_S": "20", "LINKSPAN_EXCHANGE_S": "5", "HOME": "/"}
    loaded = load_settings(SchedulerSettings, {**REQUIRED, "lease_s": 30}, environment)
    assert (loaded.lease_s, loaded.exchange_s, loaded.heartbeat_s) == (30.0, 5.0, 1.0)


def test_all_errors_are_reported_at_once_with_remedies() -> None:
    flags = {"hall": "h", "log": "somewhere", "lease_s": "x", "exchange_s": 0, "colour": 1}
    with pytest.raises(SettingsError) as caught:
        load_settings(SchedulerSettings, flags, {"LINKSPAN_COLOR": "red"})
    assert str(caught.value).splitlines() == [
        "--colour: no such setting; see --help",
        "LINKSPAN_COLOR: no such setting; unset it",
        "--log: 'somewhere' is not an address; give an IP number and port, like 10.0.0.7:7000",
        "--hosts: missing; give the platform's host list",
        "--lease_s: 'x' is not a number; give seconds",
        "--exchange_s: 0.0 is outside 0.05 to 600 seconds",
    ]


def test_host_names_as_addresses_and_unknown_words_are_refused() -> None:
    with pytest.raises(SettingsError, match="is not an address"):
        load_settings(GatewaySettings, {**REQUIRED, "listen": "localhost:80"}, {})
    with pytest.raises(SettingsError, match="give one of debug"):
        load_settings(GatewaySettings, {**REQUIRED, "log_level": "loud"}, {})


def test_the_operator_token_is_masked_in_logged_settings() -> None:
    loaded = load_settings(GatewaySettings, {**REQUIRED, "operator_token": "sesame"}, {})
    assert loggable_settings(loaded)["operator_token"] == "***"


def test_help_lists_every_setting_with_its_unit() -> None:
    text = help_text(SchedulerSettings)
    assert "--offline_renewal_s    7200.0         seconds" in text
    assert "--hall                 (required)     name" in text
