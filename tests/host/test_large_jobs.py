"""Jobs that are large for their size, in bodies inside the limits."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from linkspan.clock import steady
from linkspan.errors import InvalidInput, UnstorableJob
from linkspan.host import _job_decoder
from linkspan.host._job_decoder import JobDecoder
from linkspan.host.caller_waits import CallerWaits
from linkspan.platform.jobs import JsonCallerFormat
from tests.job_builders import QUEUE

RECORD_BYTES = 50_000
LONG = b" " * _job_decoder.MAX_INLINE_BYTES


def _decoder(form: Any = None) -> JobDecoder:
    return JobDecoder(form or JsonCallerFormat(), CallerWaits(), RECORD_BYTES)


def _body(steps: int) -> bytes:
    return b'{"steps":[' + b",".join([b"{}"] * steps) + b"]}" + LONG


async def test_a_job_that_the_store_would_refuse_is_known_before_it_is_written() -> None:
    """Guards against a record that is refused each time, with all records that go with it."""
    decoder = _decoder()
    spec = await decoder.decode("0a", QUEUE, _body(1_000), steady() + 3.0)
    assert len(spec.steps) == 1_000
    with pytest.raises(UnstorableJob):
        await decoder.decode("0a", QUEUE, _body(1_200), steady() + 3.0)
    with pytest.raises(InvalidInput):
        await decoder.decode("0a", QUEUE, LONG + b"{", steady() + 3.0)


async def test_large_jobs_whose_turn_does_not_come_in_time_are_not_decoded() -> None:
    """Guards against seconds of work for callers that have gone."""
    decoded = []
    blocked = asyncio.Event()
    loop = asyncio.get_running_loop()

    class SlowFormat:
        def job(self, job_id: str, queue: str, body: bytes) -> Any:
            decoded.append(job_id)
            asyncio.run_coroutine_threadsafe(blocked.wait(), loop).result()
            return JsonCallerFormat().job(job_id, queue, body)

    decoder = _decoder(cast(Any, SlowFormat()))
    first = asyncio.create_task(decoder.decode("0a", QUEUE, _body(1), steady() + 30.0))
    await asyncio.sleep(0.05)
    with pytest.raises(TimeoutError):
        await decoder.decode("0b", QUEUE, _body(1), steady() + 0.1)
    blocked.set()
    await first
    assert decoded == ["0a"]
