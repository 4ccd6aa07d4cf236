"""Checks that no decoder fails on values that are nested as deeply as JSON decoders follow.

An error message with the text of such a value would exceed the interpreter's recursion limit, and
the host that reads the record would end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest

from linkspan.errors import LinkspanError
from linkspan.jobs.record_codec import decode
from linkspan.platform.jobs import job_from_wire
from linkspan.platform.machines import MachineClient
from linkspan.platform.records import configuration_from_wire, executor_from_wire
from linkspan.shard.ownership.owner_record import OwnerRecord
from linkspan.shard.recovery.progress import decode_roster, moved_to, restore_run
from tests.fuzz import builders
from tests.fuzz.answers import FixedSession
from tests.fuzz.builders import NESTED_LEVELS, with_nested_parts
from tests.fuzz.test_service_answers import look
from tests.fuzz.test_shard_records import progress_run
from tests.fuzz.test_store_answers import KEYED, client

DECODERS: dict[str, tuple[Any, Callable[[bytes], Any]]] = {
    "configuration": (builders.CONFIGURATION, configuration_from_wire),
    "executor": (builders.EXECUTOR, lambda value: executor_from_wire("e1", value)),
    "job": (builders.JOB, lambda value: job_from_wire("0a", "q", value)),
    "report": (builders.REPORT, lambda value: asyncio.run(look(200, value))),
    "machines": (builders.MACHINES, lambda value: asyncio.run(_machines(value))),
    "keys": (
        builders.KEY_PAGE,
        lambda value: asyncio.run(client(200, value).newest_records_page(KEYED)),
    ),
    "owner": (builders.OWNER, OwnerRecord.decode),
    "roster": (builders.ROSTER, decode_roster),
    "progress": (builders.PROGRESS, lambda value: restore_run(progress_run(), value, 1.0)),
    "move": ({"moved": 1}, moved_to),
    **{
        f"job record {number} ({key[0]})": (
            sample,
            lambda value, key=key: decode(key.encode(), value),
        )
        for number, (key, sample) in enumerate(builders.JOB_RECORDS)
    },
}
"""A valid sample of each decoded input, and its decoder."""


async def _machines(value: bytes) -> object:
    return await MachineClient(FixedSession(200, value), "a:1").machines()  # type: ignore[arg-type]


# Guards against hosts that end by themselves, again and again, on one deeply nested record.
@pytest.mark.parametrize("name", DECODERS)
@pytest.mark.parametrize("levels", NESTED_LEVELS)
def test_a_deeply_nested_value_is_decoded_or_refused(name: str, levels: int) -> None:
    sample, decoder = DECODERS[name]
    for value in with_nested_parts(sample, levels):
        with suppress(LinkspanError):
            decoder(value)
