"""Starts a host daemon: ``python3 -m linkspan.host``.

The command line (``linkspan host``) does the same with flags; this entry leaves its
imports out, since each restart pays for them.
"""

from __future__ import annotations

import asyncio
import sys

from linkspan.errors import LinkspanError
from linkspan.host.daemon import HostDaemon
from linkspan.platform.settings import read_settings, settings_path


def main() -> int:
    """Run a host daemon and return its exit code."""
    try:
        path = settings_path()
        asyncio.run(HostDaemon(read_settings(path), path).serve())
    except LinkspanError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main())
