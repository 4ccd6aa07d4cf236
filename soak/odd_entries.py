"""Entries of another writer in the place of those of executors, until these write theirs again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from soak.executors import NESTED_MARK
from soak.faults import Fault
from soak.world import World

MIN_ODD_S = 0.1
MAX_ODD_S = 2.5
"""Longest time until an executor writes its own entry again: more than one heartbeat."""

ODD_START_TIME_MS = 2**52

ODD_ENTRY_FAULTS: dict[str, Fault] = {}
"""Odd entries, in a separate series that only some runs have: those of all other runs stay the
same."""

_CHANGES: dict[str, Callable[[World, Random, str], object]] = {
    "labels": lambda _world, _draw, _address: NESTED_MARK,
    "address": lambda world, draw, address: draw.choice(
        (
            f"{address.rpartition(':')[0]}:70000",
            "127.255.255.254:9",
            draw.choice(world.executor_addresses),
        )
    ),
    "born": lambda _world, _draw, _address: ODD_START_TIME_MS,
    "state": lambda _world, _draw, _address: "retired",
}
"""Odd values of an entry's fields, by field: nested too deeply, an address that is out of range, at
which nobody answers or that belongs to another executor, a wrong start time, an unknown state."""


def odd_entry(function: Fault) -> Fault:
    """Register a kind of odd entries under its function's name."""
    ODD_ENTRY_FAULTS[function.__name__] = function
    return function


@odd_entry
async def overwrite_entries(world: World, draw: Random) -> None:
    """Overwrite the entries of some executors, each with an odd value in one field."""
    addresses = world.executor_addresses
    addresses = draw.sample(addresses, draw.choice((1, (len(addresses) + 1) // 2)))
    for address in addresses:
        field = draw.choice(sorted(_CHANGES))
        changes = {field: _CHANGES[field](world, draw, address)}
        await world.executors.send_command("overwrite", {"address": address, "changes": changes})
    await asyncio.sleep(draw.uniform(MIN_ODD_S, MAX_ODD_S))
    for address in addresses:
        await world.executors.send_command("register", {"address": address})
