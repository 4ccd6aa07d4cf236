"""What ``linkspan publish`` sends to a gateway.

Guards against keys that end the command with an exception, because Fire parses a flag's text.
"""

from __future__ import annotations

from typing import Any

import fire
import pytest

from linkspan.cli import Cli
from linkspan.commands.gateway_client import GatewayClient
from linkspan.errors import SettingsError


@pytest.fixture
def published(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return a list that receives the changes which the command sends."""
    changes: list[dict[str, Any]] = []

    def call(_client: GatewayClient, method: str, _path: str, body: Any = None) -> Any:
        if method == "POST":
            changes.append(body)
        return {"version": 4, "warnings": []}

    monkeypatch.setattr(GatewayClient, "call", call)
    return changes


def _publish(*flags: str) -> None:
    fire.Fire(Cli, command=["publish", "--gateway=127.0.0.1:1", *flags], name="linkspan")


@pytest.mark.parametrize(
    ("flags", "deleted"),
    [
        (["--delete", "x,y"], ["x", "y"]),
        (["--delete=x"], ["x"]),
        (["--delete=7,x"], ["7", "x"]),
        (["--delete=7"], ["7"]),
        (["--delete=quotas/maps,services/finder-api"], ["quotas/maps", "services/finder-api"]),
        (["--delete=quotas/maps,"], ["quotas/maps"]),
        (["--delete="], []),
        ([], []),
    ],
)
def test_publish_deletes_the_keys_of_its_flag(
    published: list[dict[str, Any]], flags: list[str], deleted: list[str]
) -> None:
    """Guards against an AttributeError where the keys are plain words, as in ``x,y``."""
    _publish(*flags)
    assert [change["deleted"] for change in published] == [deleted]


def test_publish_refuses_the_flag_without_keys(published: list[dict[str, Any]]) -> None:
    """Guards against an AttributeError where ``--delete`` has no value."""
    with pytest.raises(SettingsError):
        _publish("--delete")
    assert published == []
