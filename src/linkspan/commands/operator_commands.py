"""Commands of operators, which call a gateway's listener for operators."""

from __future__ import annotations

import os
import time
from collections.abc import Sequence
from typing import Any

import orjson

from linkspan.commands.gateway_client import GatewayClient
from linkspan.commands.output import format_table, print_response
from linkspan.errors import SettingsError


class OperatorCommands:
    """Commands that change and print the configuration, print the status and drain daemons."""

    def publish(
        self,
        *values: str,
        change_id: str = "",
        author: str = "",
        base: int | None = None,
        delete: str | Sequence[object] = "",
        gateway: str = "",
        token: str = "",
        json: bool = False,
    ) -> None:
        """Publish a change of the configuration.

        Args:
            values: New values, each as KEY=JSON.
            change_id: Your id of the change; submissions with the same id are one change.
            author: Author of the change.
            base: Version that the change is based on; by default the one in force.
            delete: Keys to remove, separated by commas.
            gateway: ip:port of a gateway's listener for operators.
            token: Token of operators.
            json: Print the full response as JSON.
        """
        client = GatewayClient(gateway, token)
        if base is None:
            base = client.call("GET", "/config")["version"]
        body = {
            "change_id": change_id or f"change-{os.getpid()}-{time.time_ns()}",
            "base": base,
            "author": author or os.environ.get("USER", "operator"),
            "values": dict(_parse_assignment(value) for value in values),
            "deleted": _parse_keys(delete),
        }
        response = client.call("POST", "/config/changes", body)
        print_response(response, json, lambda: _format_change(response))

    def config(self, gateway: str = "", token: str = "", json: bool = False) -> None:
        """Print the configuration in force.

        Args:
            gateway: ip:port of a gateway's listener for operators.
            token: Token of operators.
            json: Print as JSON.
        """
        response = GatewayClient(gateway, token).call("GET", "/config")
        rows = [[key, orjson.dumps(value).decode()] for key, value in response["document"].items()]
        print_response(
            response,
            json,
            lambda: [f"version {response['version']}", *format_table(["key", "value"], rows)],
        )

    def status(self, gateway: str = "", token: str = "", json: bool = False) -> None:
        """Print the hosts, configuration versions and services that a gateway knows.

        Args:
            gateway: ip:port of a gateway's listener for operators.
            token: Token of operators.
            json: Print as JSON.
        """
        response = GatewayClient(gateway, token).call("GET", "/status")
        print_response(response, json, lambda: _format_status(response))

    def drain(self, gateway: str = "", token: str = "") -> None:
        """Request a planned stop of a daemon.

        Args:
            gateway: ip:port of the daemon's listener for operators.
            token: Token of operators.
        """
        GatewayClient(gateway, token).call("POST", "/drain")
        print("draining")


def _parse_assignment(text: str) -> tuple[str, Any]:
    key, found, value = str(text).partition("=")
    if not found:
        raise SettingsError(f"{text!r}: write KEY=JSON")
    try:
        return key, orjson.loads(value)
    except orjson.JSONDecodeError:
        return key, value


def _parse_keys(given: str | Sequence[object]) -> list[str]:
    """Return the keys of a flag, which Fire turns into a sequence, a number or a boolean."""
    if isinstance(given, bool):
        raise SettingsError("--delete: write KEY,KEY")
    keys = given if isinstance(given, (tuple, list)) else str(given).split(",")
    return [str(key) for key in keys if key != ""]


def _format_change(response: Any) -> list[str]:
    return [f"in force as version {response['version']}", *response["warnings"]]


def _format_status(response: Any) -> list[str]:
    lines = [
        f"{response['name']} in {response['hall']}, configuration {response['config_version']}"
    ]
    rows = [
        [p["hall"], p["role"], p["name"], p["config_version"], p["heard_s_ago"]]
        for p in response["peers"]
    ]
    lines += format_table(["hall", "role", "host", "version", "last seen (s ago)"], rows)
    lines += [f"no response from {address}" for address in response["not_asked"]]
    for name, service in response["services"].items():
        lines.append(
            f"service {name}: {service['in_flight']} in flight, {service['queued']} queued"
        )
    return lines
