"""Crowds of callers outside the limits: the host lives, stays in its machine, and serves others.

Each guards against a process that runs out of memory, out of descriptors or out of processor time
for ordinary callers by what many connections make it hold or do together.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.hostile.crowd import Crowd, count_waiting, submit_ordinary_job
from tests.hostile.framing import KINDS
from tests.hostile.machine import MAX_FDS, Machine, small_machine

MIXTURES = {
    "all": tuple(KINDS),
    "heads": ("blank-lines", "request-line", "header-line", "header-lines", "header-pieces"),
    "bodies": ("body", "body-pieces", "small-bodies", "long-waits"),
    "chunked": ("chunks", "small-chunks", "chunk-pieces", "chunks-without-end"),
}
"""Kinds that come together, by the name of the mixture."""


async def _check(machine: Machine) -> None:
    """Check that an ordinary caller is served after a crowd, and the bounds of the machine."""
    assert await submit_ordinary_job(machine.host.address) == 200
    assert await count_waiting(machine.host.address) == 200
    machine.sample()
    assert machine.broken_bounds() == []


@pytest.mark.parametrize("name", list(KINDS))
async def test_a_crowd_of_one_kind(tmp_path: Path, name: str) -> None:
    async with small_machine(tmp_path) as machine:
        await Crowd(machine.host.address, [name]).play()
        await _check(machine)


@pytest.mark.parametrize("name", list(MIXTURES))
async def test_a_crowd_of_several_kinds(tmp_path: Path, name: str) -> None:
    async with small_machine(tmp_path) as machine:
        await Crowd(machine.host.address, MIXTURES[name]).play()
        await _check(machine)


@pytest.mark.parametrize("name", ["body", "chunks"])
async def test_crowds_in_a_row(tmp_path: Path, name: str) -> None:
    """Guards against memory that is kept from one crowd to the next."""
    async with small_machine(tmp_path) as machine:
        for _ in range(3):
            await Crowd(machine.host.address, [name]).play()
        await _check(machine)


@pytest.mark.parametrize("name", ["idle", "small-bodies"])
async def test_more_connections_than_the_process_may_have_descriptors(
    tmp_path: Path, name: str
) -> None:
    async with small_machine(tmp_path) as machine:
        await Crowd(machine.host.address, [name], 2 * MAX_FDS).play()
        await _check(machine)
