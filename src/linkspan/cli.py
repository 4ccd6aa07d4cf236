"""The command line: starts daemons and sends requests of operators and callers to a gateway."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

import fire
import orjson

from linkspan import __version__
from linkspan.commands.job_commands import JobCommands
from linkspan.commands.log_commands import LogCommands
from linkspan.commands.operator_commands import OperatorCommands
from linkspan.errors import LinkspanError
from linkspan.settings import (
    DaemonSettings,
    GatewaySettings,
    SchedulerSettings,
    help_text,
    load_settings,
    loggable_settings,
)


class Cli(OperatorCommands, JobCommands, LogCommands):
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


def _load(kind: type[Any], flags: dict[str, Any]) -> Any:
    return load_settings(kind, flags, os.environ)


def _run(settings: DaemonSettings, check: bool, serve: Any) -> None:
    if check:
        print(orjson.dumps(loggable_settings(settings), option=orjson.OPT_INDENT_2).decode())
        return
    code = asyncio.run(serve())
    if code:
        sys.exit(code)


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(Cli, name="linkspan")
    except LinkspanError as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
