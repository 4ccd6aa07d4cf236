"""Process of the store: ``python -m soak.store HOST...``; each host has a port of its own."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from tests.standins.platform_http import StoreServer

from linkspan.store.types import Partition
from soak.standin import listen, serve

PAGE_KEYS = 500
"""Most keys in a page of the newest records, as the platform's store has it."""


class StoreControl:
    """Switches of a store, for the process that started it."""

    def __init__(self, server: StoreServer) -> None:
        self._server = server

    def put(self, record: dict[str, str]) -> None:
        """Write a record as the platform itself does."""
        partition = Partition(record["topic"], keyed=True)
        self._server.store.put(partition, record["key"].encode(), record["value"].encode())

    def server(self, values: dict[str, Any]) -> None:
        """Set attributes of the server: ``status``, ``delay_s``."""
        for name, value in values.items():
            setattr(self._server, name, value)

    def store(self, values: dict[str, Any]) -> None:
        """Set attributes of the state: ``losing``, ``late``."""
        for name, value in values.items():
            setattr(self._server.store, name, value)

    def turn_away(self, values: dict[str, list[str]]) -> None:
        """Name the hosts that are ``refusing`` or ``silent`` from now on."""
        for name, hosts in values.items():
            setattr(self._server.store, name, set(hosts))

    def forget(self, _argument: None) -> None:
        """Drop the history of all partitions; the newest of each key stay."""
        for partition in list(self._server.store.partitions):
            self._server.store.forget(partition)

    def last_conditional(self, _argument: None) -> str:
        """Return the host that last wrote under a condition."""
        return self._server.last_conditional


async def main(hosts: list[str]) -> None:
    """Serve until standard input ends."""
    server = StoreServer(page_keys=PAGE_KEYS)
    addresses = {host: await listen(server.handle) for host in hosts}
    server.hosts = {int(a.rpartition(":")[2]): host for host, a in addresses.items()}
    await serve(StoreControl(server), addresses)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
