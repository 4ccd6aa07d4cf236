"""Single requests just inside and just outside each limit, in calm."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from tests.hostile.crowd import ask
from tests.hostile.framing import MAX_BODY_BYTES, MAX_HEAD_BYTES, Target
from tests.hostile.machine import Machine, small_machine
from tests.job_builders import QUEUE

TARGET = Target("00000000000000aa")
HEAD_LIMIT = 6_000
BODY_LIMIT = 5_000
"""Limits of an operator that are below the default ones."""


@pytest_asyncio.fixture
async def machine(tmp_path: Path) -> AsyncIterator[Machine]:
    """A machine whose host is under the default limits."""
    async with small_machine(tmp_path) as started:
        yield started


@pytest_asyncio.fixture
async def limited(tmp_path: Path) -> AsyncIterator[Machine]:
    """A machine whose host is under lower limits than the default ones."""
    limits = {"maxHeaderBytes": HEAD_LIMIT, "maxBodyBytes": BODY_LIMIT}
    async with small_machine(tmp_path, limits=limits) as started:
        yield started


def head_of(size: int, *, field_size: int) -> bytes:
    """Return a whole head of this size whose fields have this size with their line end."""
    start = TARGET.head(method="GET", path=QUEUE.prefix)[:-2]
    missing = size - len(start) - 2
    lines = b""
    while missing - len(lines) >= 2 * field_size:
        lines += b"X:" + b"a" * (field_size - 4) + b"\r\n"
    lines += b"X:" + b"a" * (missing - len(lines) - 4) + b"\r\n"
    head = start + lines + b"\r\n"
    assert len(head) == size
    return head


def job_of(size: int) -> bytes:
    """Return a valid body of this size."""
    start = b'{"spec":"text","steps":[{"count":1,"cpu":500,"memMb":100}]'
    return start + b" " * (size - len(start) - 1) + b"}"


def chunked(body: bytes, size: int) -> bytes:
    """Return a body in chunks of this size, whole."""
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


def submission(body: bytes) -> bytes:
    return TARGET.head(f"Content-Length: {len(body)}") + body


def chunked_submission(body: bytes, size: int) -> bytes:
    return TARGET.head("Transfer-Encoding: chunked") + chunked(body, size)


@pytest.mark.parametrize("field_size", [5, 60, 9_000, 16_000])
async def test_a_head_just_inside_its_limit_is_served(machine: Machine, field_size: int) -> None:
    request = head_of(MAX_HEAD_BYTES, field_size=field_size)
    assert (await ask(machine.host.address, request))[0] == 200


async def test_a_head_just_outside_its_limit_is_refused(limited: Machine) -> None:
    address = limited.host.address
    assert (await ask(address, head_of(HEAD_LIMIT, field_size=60)))[0] == 200
    assert (await ask(address, head_of(HEAD_LIMIT + 1, field_size=60)))[0] == 431


async def test_a_body_just_inside_its_limit_is_served(machine: Machine) -> None:
    status, _ = await ask(machine.host.address, submission(job_of(MAX_BODY_BYTES)))
    assert status == 200


@pytest.mark.parametrize("size", [1, 7, 1_000, MAX_BODY_BYTES])
async def test_a_chunked_body_just_inside_its_limit_is_served(machine: Machine, size: int) -> None:
    request = chunked_submission(job_of(MAX_BODY_BYTES), size)
    assert (await ask(machine.host.address, request))[0] == 200


async def test_a_body_just_outside_its_limit_is_refused(limited: Machine) -> None:
    address = limited.host.address
    assert (await ask(address, submission(job_of(BODY_LIMIT))))[0] == 200
    assert (await ask(address, submission(job_of(BODY_LIMIT + 1))))[0] == 413
    assert (await ask(address, chunked_submission(job_of(BODY_LIMIT), 50)))[0] == 200
    assert (await ask(address, chunked_submission(job_of(BODY_LIMIT + 1), 50)))[0] == 413


async def test_a_changed_limit_is_in_force_while_the_host_runs(machine: Machine) -> None:
    machine.world.limits = {"maxBodyBytes": BODY_LIMIT}
    await machine.world.configure(1)
    address = machine.host.address
    in_force = Target("").head(method="GET", path="/extra-0/")
    while (await ask(address, in_force))[0] != 200:
        pass
    assert (await ask(address, submission(job_of(BODY_LIMIT + 1))))[0] == 413
    assert (await ask(address, submission(job_of(BODY_LIMIT))))[0] == 200


async def test_a_body_declared_over_its_limit_is_refused_before_it_is_sent(
    limited: Machine,
) -> None:
    head = TARGET.head(f"Content-Length: {BODY_LIMIT + 1}")
    assert (await ask(limited.host.address, head))[0] == 413
