"""Starts a host daemon: ``python3 -m linkspan.host``.

The command line (``linkspan host``) does the same with flags; this entry leaves its
imports out, since each restart pays for them.
"""

from __future__ import annotations

import os
import signal
import sys

from linkspan.clock import steady


def main() -> int:
    """Run a host daemon and return its exit code."""
    began = steady()
    # A reload that is asked for during the imports, 0.6 s, would end the process; the
    # settings are read after them in any case.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Hosts speak plain HTTP only. The HTTP library reads all certificates of the system at
    # its import: a sixth of the processor time of the imports (0.32 s without, 0.38 with).
    os.environ["SSL_CERT_FILE"] = os.devnull
    from linkspan.host._run import run

    return run(began)


if __name__ == "__main__":
    sys.exit(main())
