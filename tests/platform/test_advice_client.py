"""Checks the request to the policy service, and that malformed answers count as unreachable."""

from __future__ import annotations

import orjson
import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from linkspan.errors import Unreachable
from linkspan.platform.advice import AdviceClient
from linkspan.shard.job_run import new_run
from linkspan.shard.planning.advice import Advice
from linkspan.shard.shard_job import ShardJob
from tests.job_builders import step
from tests.shard.builders import JOB, submitted_job


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, b'{"good":[["e1","t-1"]],"valid_ms":3000}', Advice({"e1": "t-1"}, 3.0)),
        (200, b"{}", Advice({}, 0.0)),
        (200, b'{"good":7}', None),
        (200, b"[]", None),
        (200, b"{", None),
        (429, b"", None),
    ],
)
async def test_answers_are_decoded_or_unreachable(
    status: int, body: bytes, expected: Advice | None
) -> None:
    seen: list[bytes] = []

    async def answer(request: web.Request) -> web.Response:
        seen.append(await request.read())
        return web.Response(status=status, body=body)

    app = web.Application()
    app.router.add_post("/api/advise", answer)
    run = new_run(ShardJob(submitted_job(step(1), step(1))), 2)
    async with TestServer(app) as server, ClientSession() as session:
        client = AdviceClient(session, f"{server.host}:{server.port}")
        if expected is None:
            with pytest.raises(Unreachable):
                await client.advise(run.steps[1], ("e1", "e2"))
        else:
            assert await client.advise(run.steps[1], ("e1", "e2")) == expected
    assert orjson.loads(seen[0]) == {"step": f"{JOB}.2.1", "workers": ["e1", "e2"]}
