"""Addresses of simulated executors, which have names, in the form that entries hold."""

from __future__ import annotations

import zlib
from dataclasses import replace
from ipaddress import AddressValueError, IPv4Address
from typing import TYPE_CHECKING

from linkspan.platform.records import executor_from_wire

if TYPE_CHECKING:
    from linkspan.shard.messages import ExecutorRecord

_NETWORK = int(IPv4Address("10.0.0.0"))
_names: dict[str, str] = {}


def wire_address(address: str) -> str:
    """Return the address in an entry of an executor with a simulated address, such as `east-0:1`.

    The number depends on the name alone, so that runs with one seed are the same. Executors of the
    soak have IP addresses, which stay as they are.
    """
    name, _, port = address.rpartition(":")
    if _is_ip(name):
        return address
    wire = f"{IPv4Address(_NETWORK + zlib.crc32(name.encode()) % 2**24)}:{port}"
    assert _names.setdefault(wire, address) == address
    return wire


def _is_ip(name: str) -> bool:
    try:
        IPv4Address(name)
    except AddressValueError:
        return False
    return True


def decode_executor(executor_id: str, value: bytes) -> ExecutorRecord:
    """Decode an entry as the product does, with the simulated address that it stands for.

    Other addresses stay as they are: no simulated executor has them.
    """
    record = executor_from_wire(executor_id, value)
    return replace(record, address=_names.get(record.address, record.address))
