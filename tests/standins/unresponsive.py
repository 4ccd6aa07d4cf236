"""An address at which connections are not established, as in a network cut."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def unresponsive_address() -> Iterator[str]:
    """Provide such an address.

    The kernel drops the first packet of a connection to a listener whose backlog is full.
    """
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        waiting = [socket.socket() for _ in range(4)]
        for other in waiting:
            other.setblocking(False)
            other.connect_ex(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        for other in waiting:
            other.close()
