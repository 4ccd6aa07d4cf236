"""The command line: daemons, and what operators and dispatchers ask."""

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
    described,
    help_of,
    load_settings,
)

_CLIENT_TIMEOUT_S = 15.0


class Cli(LogCommands):
    """linkspan, a scheduler for services and batch work on the same hosts.

    Commands towards a gateway take --gateway IP:PORT (or LINKSPAN_GATEWAY):
    the callers' listener for jobs, the operators' listener for the rest.
    Exit codes: 0 done, 2 wrong input, 3 refused, 4 outcome unknown yet,
    5 unreachable.
    """

    def version(self) -> None:
        """Print the version."""
        print(__version__)

    def gateway(self, check: bool = False, **settings: Any) -> None:
        if settings.get("help"):
            print(help_of(GatewaySettings))
            return
        from linkspan.gateway.daemon import GatewayDaemon

        loaded = _load(GatewaySettings, settings)
        _run(loaded, check, lambda: GatewayDaemon(loaded).serve())

    def scheduler(self, check: bool = False, **settings: Any) -> None:
        if settings.get("help"):
            print(help_of(SchedulerSettings))
            return
        from linkspan.scheduler.daemon import SchedulerDaemon

        loaded = _load(SchedulerSettings, settings)
        _run(loaded, check, lambda: SchedulerDaemon(loaded).serve())

    def host(self, settings: str = "", check: bool = False) -> None:
        """Run a host daemon on the users' platform.

        Args:
            settings: Path of the settings file; empty takes it from LINKSPAN_BOOT.
            check: Print the settings and end.
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
        f"Run a gateway. --check prints the settings and ends.\n\n{help_of(GatewaySettings)}"
    )
    scheduler.__doc__ = (
        f"Run a scheduler. --check prints the settings and ends.\n\n{help_of(SchedulerSettings)}"
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
        """Publish a change of configuration.

        Args:
            values: KEY=JSON, as many as belong to the change.
            change_id: Your id of the change; the same id twice is one change.
            author: Who makes it.
            base: Version it is made on; without it, the one in force.
            delete: Keys to remove, with commas between.
            gateway: ip:port of a gateway's operators' listener.
            token: Operators' token.
            json: Print the whole answer as JSON.
        """
        client = _Client(gateway, token)
        if base is None:
            base = client.call("GET", "/config")["version"]
        body = {
            "change_id": change_id or f"change-{os.getpid()}-{time.time_ns()}",
            "base": base,
            "author": author or os.environ.get("USER", "operator"),
            "values": dict(_assignment(value) for value in values),
            "deleted": [key for key in delete.split(",") if key],
        }
        answer = client.call("POST", "/config/changes", body)
        _show(answer, json, lambda: _publish_lines(answer))

    def config(self, gateway: str = "", token: str = "", json: bool = False) -> None:
        """Print the configuration in force.

        Args:
            gateway: ip:port of a gateway's operators' listener.
            token: Operators' token.
            json: Print as JSON.
        """
        answer = _Client(gateway, token).call("GET", "/config")
        rows = [[key, orjson.dumps(value).decode()] for key, value in answer["document"].items()]
        _show(
            answer, json, lambda: [f"version {answer['version']}", *_table(["key", "value"], rows)]
        )

    def status(self, gateway: str = "", token: str = "", json: bool = False) -> None:
        """Print hosts, versions in force and services as one gateway sees them.

        Args:
            gateway: ip:port of a gateway's operators' listener.
            token: Operators' token.
            json: Print as JSON.
        """
        answer = _Client(gateway, token).call("GET", "/status")
        _show(answer, json, lambda: _status_lines(answer))

    def drain(self, gateway: str = "", token: str = "") -> None:
        """Ask a daemon for a planned stop.

        Args:
            gateway: ip:port of the daemon's operators' listener.
            token: Operators' token.
        """
        _Client(gateway, token).call("POST", "/drain")
        print("draining")

    def submit(self, file: str, gateway: str = "", json: bool = False) -> None:
        """Hand in a job.

        Args:
            file: Path of the job's JSON, - for standard input.
            gateway: ip:port of a gateway's callers' listener.
            json: Print the whole answer as JSON.
        """
        body = sys.stdin.buffer.read() if file == "-" else _read(file)
        answer = _Client(gateway).call("POST", "/jobs", body)
        _show(answer, json, lambda: [f"{answer['job_id']}: {answer['status']}"])

    def jobs(self, job_id: str, gateway: str = "", json: bool = False) -> None:
        """Print where a job stands.

        Args:
            job_id: The job.
            gateway: ip:port of a gateway's callers' listener.
            json: Print as JSON.
        """
        answer = _Client(gateway).call("GET", f"/jobs/{job_id}")
        rows = [[key, value] for key, value in (answer.get("counts") or {}).items()]
        title = f"{job_id}: {answer.get('state', answer['status'])}"
        _show(answer, json, lambda: [title, *_table(["tasks", "number"], rows)])

    def cancel(self, job_id: str, gateway: str = "", json: bool = False) -> None:
        """Cancel a job.

        Args:
            job_id: The job.
            gateway: ip:port of a gateway's callers' listener.
            json: Print as JSON.
        """
        answer = _Client(gateway).call("DELETE", f"/jobs/{job_id}")
        _show(answer, json, lambda: [f"{job_id}: {answer.get('state', answer['status'])}"])

    def explain(self, job_id: str, gateway: str = "", json: bool = False) -> None:
        """Print why a job stands where it does.

        Args:
            job_id: The job.
            gateway: ip:port of a gateway's callers' listener.
            json: Print as JSON.
        """
        answer = _Client(gateway).call("GET", f"/jobs/{job_id}/explain")
        waiting = answer.get("waiting_because")
        lines = [f"{job_id}: {answer.get('counts')}"]
        lines += [f"waits because {waiting}"] if waiting else []
        _show(answer, json, lambda: lines + list(answer.get("decisions", [])))


def _load(kind: type[Any], flags: dict[str, Any]) -> Any:
    return load_settings(kind, flags, os.environ)


def _run(settings: DaemonSettings, check: bool, serve: Any) -> None:
    if check:
        print(orjson.dumps(described(settings), option=orjson.OPT_INDENT_2).decode())
        return
    code = asyncio.run(serve())
    if code:
        sys.exit(code)


class _Client:
    """Calls one gateway's HTTP interface."""

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
                session.request(method, url, data=data) as answer,
            ):
                return _checked(answer.status, orjson.loads(await answer.read()))
        except aiohttp.ClientConnectorError as error:
            raise Unreachable(f"{self._gateway}: {error}; try another gateway") from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            if method == "GET":
                raise Unreachable(f"{self._gateway}: {error!r}; try again") from error
            text = f"no answer from {self._gateway}; ask before sending it again under the same id"
            raise OutcomeUnknown(text) from error


def _checked(status: int, answer: Any) -> Any:
    text = answer.get("message") or answer.get("reason") or orjson.dumps(answer).decode()
    if status == 202:
        raise OutcomeUnknown(text)
    if status in (400, 413, 422):
        raise SettingsError(text)
    if status == 503:
        raise Unreachable(text)
    if status >= 400:
        conflicts = answer.get("conflicts")
        raise Refused(f"{text} (changed meanwhile: {', '.join(conflicts)})" if conflicts else text)
    return answer


def _assignment(text: str) -> tuple[str, Any]:
    key, found, value = str(text).partition("=")
    if not found:
        raise SettingsError(f"{text!r}: write KEY=JSON")
    try:
        return key, orjson.loads(value)
    except orjson.JSONDecodeError:
        return key, value


def _read(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}; give a readable file") from error


def _show(answer: Any, as_json: bool, lines: Any) -> None:
    if as_json:
        print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
        return
    for line in lines():
        print(line)


def _table(head: list[str], rows: list[list[Any]]) -> list[str]:
    texts = [head, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[n]) for row in texts) for n in range(len(head))]
    return [
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in texts
    ]


def _publish_lines(answer: Any) -> list[str]:
    return [f"in force as version {answer['version']}", *answer["warnings"]]


def _status_lines(answer: Any) -> list[str]:
    lines = [f"{answer['name']} in {answer['hall']}, configuration {answer['config_version']}"]
    rows = [
        [p["hall"], p["role"], p["name"], p["config_version"], p["heard_s_ago"]]
        for p in answer["peers"]
    ]
    lines += _table(["hall", "role", "host", "version", "heard s ago"], rows)
    lines += [f"could not be asked: {address}" for address in answer["not_asked"]]
    for name, service in answer["services"].items():
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
