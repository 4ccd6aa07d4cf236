"""Runs a host daemon with the settings that the platform provides."""

from __future__ import annotations

import asyncio
import sys

from linkspan.clock import steady
from linkspan.errors import LinkspanError
from linkspan.host.daemon import HostDaemon
from linkspan.platform.settings import read_settings, settings_path


def run(started_at: float) -> int:
    """Run a host daemon until it stops and return its exit code.

    Args:
        started_at: Steady time at which the program began to load.
    """
    loaded_s = steady() - started_at
    try:
        path = settings_path()
        asyncio.run(HostDaemon(read_settings(path), path, loaded_s=loaded_s).serve())
    except LinkspanError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    return 0
