"""Process of the store, with one port per host: ``python -m soak.store HOST...``."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from tests.standins.platform_http import StoreServer

from linkspan.store.types import Partition
from soak.standin import listen, serve

PAGE_KEYS = 500
"""Maximum number of keys in a page of the newest records, as in the platform's store."""


class StoreControl:
    """Commands that the parent process sends to the store."""

    def __init__(self, server: StoreServer) -> None:
        self._server = server

    def put(self, record: dict[str, str]) -> None:
        """Write a record on behalf of the platform."""
        partition = Partition(record["topic"], keyed=True)
        self._server.store.put(partition, record["key"].encode(), record["value"].encode())

    def server(self, values: dict[str, Any]) -> None:
        """Set attributes of the server: ``status``, ``delay_s``."""
        for name, value in values.items():
            setattr(self._server, name, value)

    def store(self, values: dict[str, Any]) -> None:
        """Set attributes of the store: ``lost_answer_share``, ``late``."""
        for name, value in values.items():
            setattr(self._server.store, name, value)

    def turn_away(self, values: dict[str, list[str]]) -> None:
        """Set the hosts whose calls the store refuses (``refusing``) or ignores (``silent``)."""
        for name, hosts in values.items():
            setattr(self._server.store, name, set(hosts))

    def forget(self, _argument: None) -> None:
        """Drop the history of all partitions, but keep the newest record of each key."""
        for partition in list(self._server.store.partitions):
            self._server.store.forget(partition)

    def last_conditional(self, _argument: None) -> str:
        """Return the host that last made a conditional append."""
        return self._server.last_conditional


async def main(hosts: list[str]) -> None:
    """Serve until standard input is closed."""
    server = StoreServer(page_keys=PAGE_KEYS)
    addresses = {host: await listen(server.handle) for host in hosts}
    server.hosts = {int(a.rpartition(":")[2]): host for host, a in addresses.items()}
    await serve(StoreControl(server), addresses)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
