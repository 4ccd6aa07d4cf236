"""Entry point of the host daemon: ``python3 -m linkspan.host``.

The command ``linkspan host`` starts the same daemon and takes flags. This entry point avoids the
imports of the command line, which would slow down every restart.
"""

from __future__ import annotations

import os
import signal
import sys

from linkspan.clock import steady


def main() -> int:
    """Run a host daemon and return its exit code."""
    started_at = steady()
    # Without a handler, a SIGHUP during the imports would end the process. Ignoring it is safe,
    # since the settings are read after the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Hosts use plain HTTP only, but the HTTP library loads the system's certificates when it is
    # imported, which takes a sixth of the CPU time of all imports.
    os.environ["SSL_CERT_FILE"] = os.devnull
    from linkspan.host._run import run

    return run(started_at)


if __name__ == "__main__":
    sys.exit(main())
