"""Runs a host daemon on the settings that the platform names."""

from __future__ import annotations

import asyncio
import sys

from linkspan.clock import steady
from linkspan.errors import LinkspanError
from linkspan.host.daemon import HostDaemon
from linkspan.platform.settings import read_settings, settings_path


def run(began: float) -> int:
    """Run a host daemon to its end and return its exit code.

    Args:
        began: Steady time at which the program began to load.
    """
    loaded_s = steady() - began
    try:
        path = settings_path()
        asyncio.run(HostDaemon(read_settings(path), path, loaded_s=loaded_s).serve())
    except LinkspanError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    return 0
