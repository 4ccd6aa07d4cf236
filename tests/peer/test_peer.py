"""The protocol between hosts: message encoding, frames, links, and the directory of live peers.

Guards against malformed bytes that raise anything but a typed error, and against connections that
went silent without being closed: on one side they lose messages, on the other they pile up.
"""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.config.store import ConfigState
from linkspan.errors import BadFrame, Unreachable
from linkspan.peer import link as peer_link
from linkspan.peer import server as peer_server
from linkspan.peer.codec import decode, encode
from linkspan.peer.directory import PeerDirectory
from linkspan.peer.framing import MAX_FRAME_BYTES, read_frame
from linkspan.peer.link import PeerLink
from linkspan.peer.messages import (
    Answer,
    Ask,
    Cancel,
    ConfigAnswer,
    Envelope,
    Explain,
    FetchConfig,
    Heard,
    Heartbeat,
    Message,
    Submit,
)
from linkspan.peer.server import PeerServer
from tests.builders import job
from tests.standins.fault_proxy import FaultProxy

TEXT = st.text(max_size=20)
NUMBER = st.integers(0, 2**32 - 1)
HEARTBEATS = st.builds(
    Heartbeat,
    TEXT,
    TEXT,
    TEXT,
    TEXT,
    NUMBER,
    NUMBER,
    st.lists(TEXT, max_size=3).map(tuple),
    st.lists(TEXT, max_size=3).map(tuple),
    st.lists(st.builds(Heard, TEXT, NUMBER), max_size=3).map(tuple),
    NUMBER,
    st.booleans(),
    TEXT,
    st.lists(TEXT, max_size=3).map(tuple),
)
MESSAGES = st.one_of(
    HEARTBEATS,
    st.builds(Submit, st.builds(job, TEXT)),
    st.builds(Cancel, TEXT),
    st.builds(Ask, TEXT),
    st.builds(Explain, TEXT),
    st.just(FetchConfig()),
    st.builds(Answer, TEXT, st.binary(max_size=20)),
)


@settings(derandomize=True, database=None)
@given(NUMBER, MESSAGES)
def test_round_trip(request: int, message: Message) -> None:
    assert decode(encode(Envelope(request, message))) == Envelope(request, message)


def test_configuration_round_trips_completely() -> None:
    state = ConfigState(7, {"quotas/maps": {"milli_cpu": 1}}, {"quotas/maps": 7}, {"c1": 7})
    answer = decode(encode(Envelope(1, ConfigAnswer(state)))).message
    assert isinstance(answer, ConfigAnswer)
    assert dict(answer.state.document) == dict(state.document)
    assert answer.state.version == 7 and answer.state.recent == {"c1": 7}


@settings(derandomize=True, database=None)
@given(st.binary(max_size=100))
def test_rubbish_is_a_bad_frame_or_a_message(body: bytes) -> None:
    with contextlib.suppress(BadFrame):
        assert isinstance(decode(body), Envelope)


FRAMES = [
    (b"\x02\x00\x00\x00\x01x", "version 2"),
    (b"\x01" + (MAX_FRAME_BYTES + 1).to_bytes(4, "big"), "the limit is"),
    (b"\x01\x00\x00\x00\x05abc", "cut short"),
    (b"\x01\x00", "cut short"),
]


@pytest.mark.parametrize(("sent", "problem"), FRAMES)
async def test_malformed_frame_raises(sent: bytes, problem: str) -> None:
    reader = asyncio.StreamReader()
    reader.feed_data(sent)
    reader.feed_eof()
    with pytest.raises(BadFrame, match=problem):
        await read_frame(reader)


async def test_end_of_stream_between_frames_reads_as_none() -> None:
    reader = asyncio.StreamReader()
    reader.feed_eof()
    assert await read_frame(reader) is None


async def test_answers_match_their_requests_in_any_order() -> None:
    async def answer(message: Message) -> Message:
        assert isinstance(message, Ask)
        await asyncio.sleep(0.02 if message.job_id == "slow" else 0)
        return Answer(message.job_id)

    server = PeerServer(answer)
    link = PeerLink(await server.start("127.0.0.1", 0))
    requests = [link.ask(Ask(job_id), timeout_s=5) for job_id in ("slow", "fast")]
    assert await asyncio.gather(*requests) == [Answer("slow"), Answer("fast")]
    await link.close()
    await server.stop()


async def test_silent_and_absent_peers_raise_different_errors() -> None:
    async def never(message: Message) -> Message | None:
        return None

    server = PeerServer(never)
    address = await server.start("127.0.0.1", 0)
    link = PeerLink(address)
    with pytest.raises(Unreachable, match="did not answer"):
        await link.ask(Ask("a"), timeout_s=0.05)
    await link.close()
    await server.stop()
    with pytest.raises(ConnectionRefusedError):
        await link.ask(Ask("a"), timeout_s=1)


async def test_a_link_that_went_silent_fails_one_request() -> None:
    async def answer(message: Message) -> Message:
        assert isinstance(message, Ask)
        return Answer(message.job_id)

    server = PeerServer(answer)
    proxy = FaultProxy(await server.start("127.0.0.1", 0))
    async with proxy.serve() as address:
        link = PeerLink(address)
        assert await link.ask(Ask("a"), timeout_s=5) == Answer("a")
        proxy.silence()
        with pytest.raises(Unreachable, match="did not answer"):
            await link.ask(Ask("b"), timeout_s=0.1)
        assert await link.ask(Ask("c"), timeout_s=5) == Answer("c")
        assert proxy.accepted == 2
        await link.close()
    await server.stop()


async def test_a_link_without_answers_is_reopened_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Check that a link for heartbeats reopens: no answer shows whether they arrive."""
    monkeypatch.setattr(peer_link, "MAX_IDLE_S", 0.2)
    received = asyncio.Event()

    async def receive(message: Message) -> None:
        received.set()

    server = PeerServer(receive)
    proxy = FaultProxy(await server.start("127.0.0.1", 0))
    async with proxy.serve() as address:
        link = PeerLink(address)
        await link.send(Ask("a"))
        await asyncio.wait_for(received.wait(), 5)
        proxy.silence()
        received.clear()
        async with asyncio.timeout(5):
            while not received.is_set():
                await link.send(Ask("b"))
                await asyncio.sleep(0.05)
        await link.close()
    await server.stop()


def test_directory_orders_peers_and_removes_silent_ones() -> None:
    directory = PeerDirectory(silence_s=3.0, forget_s=10.0)
    directory.record_heartbeat(Heartbeat("a", "scheduler", "h1", "x:1", config=5), 0.0)
    directory.record_heartbeat(Heartbeat("b", "scheduler", "h1", "x:2", draining=True), 2.0)
    directory.record_heartbeat(Heartbeat("c", "gateway", "h2", "x:3", config=9), 2.0)
    assert [p.heartbeat.name for p in directory.live(2.0, role="scheduler")] == ["a", "b"]
    assert [p.heartbeat.name for p in directory.live(4.0)] == ["c", "b"]
    assert directory.newest_config().heartbeat.name == "c"
    assert directory.live(20.0) == [] and directory.all() == []


async def test_a_connection_that_went_silent_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check that abandoned connections are closed, as they would pile up in the server."""
    monkeypatch.setattr(peer_server, "MAX_SILENCE_S", 0.2)

    async def receive(message: Message) -> None:
        return None

    server = PeerServer(receive)
    host, _, port = (await server.start("127.0.0.1", 0)).rpartition(":")
    for sent in (b"", b"\x01\x00"):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(sent)
        assert await asyncio.wait_for(reader.read(), 5) == b""
        writer.close()
    await server.stop()
