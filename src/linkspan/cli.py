"""The command line: starts daemons and sends requests of operators and callers to a gateway."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import Any

import fire
import orjson

from linkspan import __version__
from linkspan._log_commands import LogCommands
from linkspan.errors import LinkspanError, OutcomeUnknown, Refused, SettingsError, Unreachable
from linkspan.settings import (
    DaemonSettings,
    GatewaySettings,
    SchedulerSettings,
    help_text,
    load_settings,
    loggable_settings,
)

_CLIENT_TIMEOUT_S = 15.0


class Cli(LogCommands):
    """linkspan, a scheduler for services and batch work on the same hosts.

    Commands that call a gateway take --gateway IP:PORT (or LINKSPAN_GATEWAY): the
    address of its listener for callers for commands about jobs, of its listener for
    operators for all others.
    Exit codes: 0 success, 2 invalid input, 3 refused, 4 outcome unknown, 5 unreachable.
    """

    def version(self) -> None:
        """Print the version."""
        print(__version__)

    def gateway(self, check: bool = False, **settings: Any) -> None:
        if settings.get("help"):
            print(help_text(GatewaySettings))
            return
        from linkspan.gateway.daemon import GatewayDaemon

        loaded = _load(GatewaySettings, settings)
        _run(loaded, check, lambda: GatewayDaemon(loaded).serve())

    def scheduler(self, check: bool = False, **settings: Any) -> None:
        if settings.get("help"):
            print(help_text(SchedulerSettings))
            return
        from linkspan.scheduler.daemon import SchedulerDaemon

        loaded = _load(SchedulerSettings, settings)
        _run(loaded, check, lambda: SchedulerDaemon(loaded).serve())

    def host(self, settings: str = "", check: bool = False) -> None:
        """Run a host daemon on the users' platform.

        Args:
            settings: Path of the settings file; empty uses the path in LINKSPAN_BOOT.
            check: Print the settings and exit.
        """
        from linkspan.platform.settings import read_settings, settings_path

        path = Path(settings) if settings else settings_path()
        loaded = read_settings(path)
        if check:
            print(loaded)
            return
        from linkspan.host.daemon import HostDaemon

        asyncio.run(HostDaemon(loaded, path).serve())

    gateway.__doc__ = (
        f"Run a gateway. --check prints the settings and exits.\n\n{help_text(GatewaySettings)}"
    )
    scheduler.__doc__ = (
        f"Run a scheduler. --check prints the settings and exits.\n\n{help_text(SchedulerSettings)}"
    )

    def publish(
        self,
        *values: str,
        change_id: str = "",
        author: str = "",
        base: int | None = None,
        delete: str = "",
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
        client = _Client(gateway, token)
        if base is None:
            base = client.call("GET", "/config")["version"]
        body = {
            "change_id": change_id or f"change-{os.getpid()}-{time.time_ns()}",
            "base": base,
            "author": author or os.environ.get("USER", "operator"),
            "values": dict(_parse_assignment(value) for value in values),
            "deleted": [key for key in delete.split(",") if key],
        }
        response = client.call("POST", "/config/changes", body)
        _print_response(response, json, lambda: _format_change(response))

    def config(self, gateway: str = "", token: str = "", json: bool = False) -> None:
        """Print the configuration in force.

        Args:
            gateway: ip:port of a gateway's listener for operators.
            token: Token of operators.
            json: Print as JSON.
        """
        response = _Client(gateway, token).call("GET", "/config")
        rows = [[key, orjson.dumps(value).decode()] for key, value in response["document"].items()]
        _print_response(
            response,
            json,
            lambda: [f"version {response['version']}", *_format_table(["key", "value"], rows)],
        )

    def status(self, gateway: str = "", token: str = "", json: bool = False) -> None:
        """Print the hosts, configuration versions and services that a gateway knows.

        Args:
            gateway: ip:port of a gateway's listener for operators.
            token: Token of operators.
            json: Print as JSON.
        """
        response = _Client(gateway, token).call("GET", "/status")
        _print_response(response, json, lambda: _format_status(response))

    def drain(self, gateway: str = "", token: str = "") -> None:
        """Request a planned stop of a daemon.

        Args:
            gateway: ip:port of the daemon's listener for operators.
            token: Token of operators.
        """
        _Client(gateway, token).call("POST", "/drain")
        print("draining")

    def submit(self, file: str, gateway: str = "", json: bool = False) -> None:
        """Submit a job.

        Args:
            file: Path of the job's JSON file, - for standard input.
            gateway: ip:port of a gateway's listener for callers.
            json: Print the full response as JSON.
        """
        body = sys.stdin.buffer.read() if file == "-" else _read_file(file)
        response = _Client(gateway).call("POST", "/jobs", body)
        _print_response(response, json, lambda: [f"{response['job_id']}: {response['status']}"])

    def jobs(self, job_id: str, gateway: str = "", json: bool = False) -> None:
        """Print the state of a job.

        Args:
            job_id: Id of the job.
            gateway: ip:port of a gateway's listener for callers.
            json: Print as JSON.
        """
        response = _Client(gateway).call("GET", f"/jobs/{job_id}")
        rows = [[key, value] for key, value in (response.get("counts") or {}).items()]
        title = f"{job_id}: {response.get('state', response['status'])}"
        _print_response(response, json, lambda: [title, *_format_table(["tasks", "number"], rows)])

    def cancel(self, job_id: str, gateway: str = "", json: bool = False) -> None:
        """Cancel a job.

        Args:
            job_id: Id of the job.
            gateway: ip:port of a gateway's listener for callers.
            json: Print as JSON.
        """
        response = _Client(gateway).call("DELETE", f"/jobs/{job_id}")
        _print_response(
            response, json, lambda: [f"{job_id}: {response.get('state', response['status'])}"]
        )

    def explain(self, job_id: str, gateway: str = "", json: bool = False) -> None:
        """Print why a job is in its current state.

        Args:
            job_id: Id of the job.
            gateway: ip:port of a gateway's listener for callers.
            json: Print as JSON.
        """
        response = _Client(gateway).call("GET", f"/jobs/{job_id}/explain")
        waiting = response.get("waiting_because")
        lines = [f"{job_id}: {response.get('counts')}"]
        lines += [f"waiting because {waiting}"] if waiting else []
        _print_response(response, json, lambda: lines + list(response.get("decisions", [])))


def _load(kind: type[Any], flags: dict[str, Any]) -> Any:
    return load_settings(kind, flags, os.environ)


def _run(settings: DaemonSettings, check: bool, serve: Any) -> None:
    if check:
        print(orjson.dumps(loggable_settings(settings), option=orjson.OPT_INDENT_2).decode())
        return
    code = asyncio.run(serve())
    if code:
        sys.exit(code)


class _Client:
    """Calls the HTTP interface of a gateway."""

    def __init__(self, gateway: str, token: str = "") -> None:
        self._gateway = gateway or os.environ.get("LINKSPAN_GATEWAY", "")
        self._token = token or os.environ.get("LINKSPAN_OPERATOR_TOKEN", "")
        if not self._gateway:
            raise SettingsError("--gateway: missing; give a gateway's ip:port")

    def call(self, method: str, path: str, body: Any = None) -> Any:
        return asyncio.run(self._call(method, path, body))

    async def _call(self, method: str, path: str, body: Any) -> Any:
        import aiohttp

        data = body if isinstance(body, (bytes, type(None))) else orjson.dumps(body)
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        timeout = aiohttp.ClientTimeout(total=_CLIENT_TIMEOUT_S)
        url = f"http://{self._gateway}{path}"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.request(method, url, data=data) as response,
            ):
                return _check_response(response.status, orjson.loads(await response.read()))
        except aiohttp.ClientConnectorError as error:
            raise Unreachable(f"{self._gateway}: {error}; try another gateway") from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            if method == "GET":
                raise Unreachable(f"{self._gateway}: {error!r}; try again") from error
            text = (
                f"no response from {self._gateway}; query it before you repeat it with the same id"
            )
            raise OutcomeUnknown(text) from error


def _check_response(status: int, response: Any) -> Any:
    text = response.get("message") or response.get("reason") or orjson.dumps(response).decode()
    if status == 202:
        raise OutcomeUnknown(text)
    if status in (400, 413, 422):
        raise SettingsError(text)
    if status == 503:
        raise Unreachable(text)
    if status >= 400:
        conflicts = response.get("conflicts")
        raise Refused(f"{text} (changed meanwhile: {', '.join(conflicts)})" if conflicts else text)
    return response


def _parse_assignment(text: str) -> tuple[str, Any]:
    key, found, value = str(text).partition("=")
    if not found:
        raise SettingsError(f"{text!r}: write KEY=JSON")
    try:
        return key, orjson.loads(value)
    except orjson.JSONDecodeError:
        return key, value


def _read_file(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}; give a readable file") from error


def _print_response(response: Any, as_json: bool, lines: Any) -> None:
    if as_json:
        print(orjson.dumps(response, option=orjson.OPT_INDENT_2).decode())
        return
    for line in lines():
        print(line)


def _format_table(head: list[str], rows: list[list[Any]]) -> list[str]:
    texts = [head, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[n]) for row in texts) for n in range(len(head))]
    return [
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in texts
    ]


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
    lines += _format_table(["hall", "role", "host", "version", "last seen (s ago)"], rows)
    lines += [f"no response from {address}" for address in response["not_asked"]]
    for name, service in response["services"].items():
        lines.append(
            f"service {name}: {service['in_flight']} in flight, {service['queued']} queued"
        )
    return lines


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(Cli, name="linkspan")
    except LinkspanError as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
