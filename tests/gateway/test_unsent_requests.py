"""Which failed requests to executors count as certainly not sent, over real sockets."""

from __future__ import annotations

import time

import pytest
from aiohttp.test_utils import make_mocked_request

from linkspan.gateway.request_terms import RequestTerms
from linkspan.gateway.upstream import Call, Upstream, UpstreamError
from tests.standins.unresponsive import unresponsive_address


# Guards against a request that is not tried elsewhere although nothing of it was sent.
async def test_a_request_without_a_connection_was_not_sent() -> None:
    call = Call(
        make_mocked_request("POST", "/services/pool/work"),
        None,  # type: ignore[arg-type]
        RequestTerms(5.0, False, "", False),
        b"{}",
        time.monotonic() + 5.0,
    )
    upstream = Upstream()
    try:
        with unresponsive_address() as address, pytest.raises(UpstreamError) as raised:
            await upstream.exchange(call, f"http://{address}", {})
    finally:
        await upstream.close()
    assert not raised.value.sent
