"""Requests through gateway processes to executors that fail, and from callers that misbehave.

Guards against a request that is sent twice although it must not be repeated, an answer that
reaches the wrong caller or is cut short, executors with more requests than slots, and malformed
input that reaches an executor.
"""

from __future__ import annotations

import asyncio
import signal
import time

import aiohttp
import pytest
from yarl import URL

from tests.process.conftest import HALL, SERVICE
from tests.standins.fleet import Fleet

PATH = f"/services/{SERVICE}/search"


async def _requests_sent(fleet: Fleet) -> int:
    stats = [await fleet.get(address, "/_stats") for address in fleet.executors.values()]
    return sum(s["requests"] for s in stats)


async def _most_in_flight(fleet: Fleet) -> int:
    stats = [await fleet.get(address, "/_stats") for address in fleet.executors.values()]
    return max(s["most_in_flight"] for s in stats)


async def test_each_caller_gets_its_own_complete_answer(requests_fleet: Fleet) -> None:
    fleet = requests_fleet
    gateways = [fleet.daemons[name].callers for name in ("g1", "g2")]

    async def ask(n: int) -> bool:
        path = f"{PATH}?q={n}"
        return await fleet.call("POST", gateways[n % 2], path, b"x" * (n % 50)) == (
            200,
            f"{n}:" + "x" * (n % 50),
        )

    assert all(await asyncio.gather(*(ask(n) for n in range(100))))


async def test_non_repeatable_request_is_sent_once_by_two_gateways(requests_fleet: Fleet) -> None:
    """Check that a request is sent once if a load balancer resends it to another gateway."""
    fleet = requests_fleet
    headers = {"Linkspan-Repeatable": "no", "Idempotency-Key": "delivery-7"}
    calls = [
        fleet.call("POST", fleet.daemons[name].callers, PATH, b"plan", headers=headers)
        for name in ("g1", "g2", "g1", "g2")
    ]
    answers = await asyncio.gather(*calls)
    assert sorted(status for status, _ in answers) == [200, 409, 409, 409]
    assert await _requests_sent(fleet) == 1
    late = await fleet.call("POST", fleet.daemons["g2"].callers, PATH, b"plan", headers=headers)
    assert late[0] == 409
    assert late[1]["error"] == "already_dispatched"


async def test_non_repeatable_request_is_refused_while_the_log_is_down(
    requests_fleet: Fleet,
) -> None:
    fleet = requests_fleet
    await fleet.post(fleet.platform, "/faults", {"down": True})
    headers = {
        "Linkspan-Repeatable": "no",
        "Idempotency-Key": "delivery-8",
        "Linkspan-Deadline-Ms": "500",
    }
    status, answer = await fleet.call(
        "POST", fleet.daemons["g1"].callers, PATH, b"plan", headers=headers
    )
    assert (status, answer["error"]) == (503, "log")
    assert await fleet.call("GET", fleet.daemons["g1"].callers, f"{PATH}?q=1") == (200, "1:")
    await fleet.post(fleet.platform, "/faults", {"down": False})
    await asyncio.sleep(1.5)
    assert (await _requests_sent(fleet)) == 1


async def test_key_of_a_request_that_was_not_run_may_be_retried(requests_fleet: Fleet) -> None:
    """Check that the key of a request that was never sent is served on a retry."""
    fleet = requests_fleet
    headers = {"Linkspan-Repeatable": "no", "Idempotency-Key": "again"}
    address = fleet.daemons["g1"].callers
    for name, executor in fleet.executors.items():
        await fleet.list_host(name, HALL, "executor", "127.0.0.1:1", service=SERVICE)
        assert executor
    await asyncio.sleep(1.0)
    status, answer = await fleet.call("POST", address, PATH, b"plan", headers=headers)
    assert (status, answer["error"]) == (503, "not_run")
    for name, executor in fleet.executors.items():
        await fleet.list_host(name, HALL, "executor", executor, service=SERVICE)
    await asyncio.sleep(1.0)
    assert (await fleet.call("POST", address, PATH, b"plan", headers=headers))[0] == 200
    assert await _requests_sent(fleet) == 1


@pytest.mark.parametrize("failure", ["reset", "truncate", "fail"])
async def test_post_that_failed_is_sent_once(requests_fleet: Fleet, failure: str) -> None:
    """Check that no answer, or a part of one, is neither passed on as complete nor retried."""
    fleet = requests_fleet
    status, _ = await fleet.call(
        "POST", fleet.daemons["g1"].callers, f"{PATH}?do={failure}", b"plan"
    )
    assert status in (502, 503)
    assert await _requests_sent(fleet) == 1


async def test_path_query_and_headers_pass_unchanged(requests_fleet: Fleet) -> None:
    """Check that escapes and repeated headers are kept, and internal headers cannot be forged."""
    tail = "/a%2Fb%3Fc/d?do=echo&q=1%2B2+3&q=%C3%A9"
    url = f"http://{requests_fleet.daemons['g1'].callers}/services/{SERVICE}{tail}"
    async with requests_fleet.session.get(URL(url, encoded=True)) as answer:
        assert await answer.text() == tail
        assert answer.headers.getall("Set-Cookie") == ["a=1", "b=2"]
        assert "Linkspan-Not-Sent" not in answer.headers


async def test_unsent_retry_does_not_hide_an_unknown_outcome(requests_fleet: Fleet) -> None:
    """Check the outcome of a request whose retry fails before it is sent.

    The first executor may have run the request, so the outcome is unknown.
    """
    fleet = requests_fleet
    name = sorted(fleet.executors)[0]
    await fleet.list_host(name, HALL, "executor", "127.0.0.1:1", service=SERVICE)
    await asyncio.sleep(1.0)
    statuses = set()
    for _ in range(30):
        before = await _requests_sent(fleet)
        got, answer = await fleet.call("GET", fleet.daemons["g1"].callers, f"{PATH}?do=reset")
        statuses.add((got, answer["error"]))
        if await _requests_sent(fleet) > before:
            assert answer["error"] == "outcome_unknown"
    assert (502, "outcome_unknown") in statuses


async def test_stream_passes_through(requests_fleet: Fleet) -> None:
    status, text = await requests_fleet.call(
        "GET",
        requests_fleet.daemons["g1"].callers,
        f"{PATH}?do=feed",
        headers={"Linkspan-Stream": "yes"},
    )
    assert (status, text) == (200, "piece\n" * 3)


async def test_overload_is_refused_at_once_with_a_retry_time(requests_fleet: Fleet) -> None:
    """Check that requests that cannot meet their deadline are refused long before it."""
    fleet = requests_fleet
    headers = {"Linkspan-Deadline-Ms": "1000"}
    address = fleet.daemons["g1"].callers

    async def ask() -> tuple[int, float, str]:
        started = time.monotonic()
        url = f"http://{address}{PATH}?sleep=0.4"
        async with fleet.session.get(url, headers=headers) as answer:
            await answer.read()
            return answer.status, time.monotonic() - started, answer.headers.get("Retry-After", "")

    await asyncio.gather(*(ask() for _ in range(8)))
    answers = await asyncio.gather(*(ask() for _ in range(120)))
    refused = [(took, after) for status, took, after in answers if status == 503]
    assert refused and all(int(after) >= 1 for _, after in refused)
    assert sum(took < 0.5 for took, _ in refused) >= 0.5 * len(refused)
    assert all(took < 1.5 for _, took, _ in answers)
    assert await _most_in_flight(fleet) <= 8


async def test_slots_are_not_exceeded_while_a_gateway_is_paused_and_killed(
    requests_fleet: Fleet,
) -> None:
    fleet = requests_fleet

    async def load(name: str, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await fleet.call("GET", fleet.daemons[name].callers, f"{PATH}?sleep=0.1")

    g1_load = [load("g1", 6.0) for _ in range(30)]
    g2_load = asyncio.gather(*(load("g2", 1.0) for _ in range(30)), return_exceptions=True)
    running = asyncio.gather(*g1_load)
    await g2_load
    fleet.daemons["g2"].signal(signal.SIGSTOP)
    await asyncio.sleep(2.0)
    fleet.daemons["g2"].signal(signal.SIGCONT)
    await load("g2", 0.5)
    fleet.daemons["g2"].signal(signal.SIGKILL)
    await running
    assert await _most_in_flight(fleet) <= 8


async def test_planned_stop_finishes_requests_in_flight(requests_fleet: Fleet) -> None:
    fleet = requests_fleet
    leaving = fleet.daemons["g1"]
    slow = asyncio.create_task(fleet.call("GET", leaving.callers, f"{PATH}?sleep=1.5&q=1"))
    await asyncio.sleep(0.2)
    leaving.signal(signal.SIGTERM)
    await asyncio.sleep(0.1)
    assert (await fleet.call("GET", leaving.operator, "/readyz"))[0] == 503
    leaving.signal(signal.SIGTERM)
    assert await slow == (200, "1:")
    assert await asyncio.wait_for(leaving.process.wait(), 10) == 0


async def test_leaving_executor_gets_no_new_requests(requests_fleet: Fleet) -> None:
    fleet = requests_fleet
    name, address = next(iter(fleet.executors.items()))
    await fleet.list_host(name, HALL, "executor", address, service=SERVICE, leaving=True)
    await asyncio.sleep(3.0)
    before = (await fleet.get(address, "/_stats"))["requests"]
    for n in range(20):
        assert (await fleet.call("GET", fleet.daemons["g1"].callers, f"{PATH}?q={n}"))[0] == 200
    assert (await fleet.get(address, "/_stats"))["requests"] == before


INVALID_REQUESTS = [
    ("POST", "/jobs", b"\xff{", {}, 400, "body"),
    ("POST", "/jobs", b"[]", {}, 400, "body"),
    ("POST", "/jobs", b'{"job_id": 7}', {}, 400, "size"),
    ("POST", "/jobs", b'{"colour": "red"}', {}, 400, "colour"),
    ("GET", PATH, None, {"Linkspan-Deadline-Ms": "soon"}, 400, "Linkspan-Deadline-Ms"),
    ("GET", PATH, None, {"Linkspan-Repeatable": "no"}, 400, "Linkspan-Repeatable"),
    ("POST", PATH, b"", {"Linkspan-Repeatable": "no"}, 400, "Idempotency-Key"),
    ("GET", "/services/nobody/x", None, {}, 404, None),
    ("POST", PATH, b"x" * 20_000, {}, 413, None),
]


async def test_refusal_of_invalid_input_names_the_field(requests_fleet: Fleet) -> None:
    fleet = requests_fleet
    for method, path, body, headers, status, field in INVALID_REQUESTS:
        got, answer = await fleet.call(
            method, fleet.daemons["g1"].callers, path, body, headers=headers
        )
        assert (got, answer.get("field")) == (status, field), answer
    assert await _requests_sent(fleet) == 0


SMUGGLING_REQUESTS = [
    b"POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
    b"\r\n",
    b"POST %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"GET %s HTTP/1.1\r\nHost: x\r\nX-A: b\r\n c\r\n\r\n",
    b"POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
]


async def test_request_smuggling_is_refused(requests_fleet: Fleet) -> None:
    host, port = requests_fleet.daemons["g1"].callers.split(":")
    for request in SMUGGLING_REQUESTS:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request % PATH.encode())
        answer = await asyncio.wait_for(reader.read(200), 5)
        writer.close()
        assert answer.startswith(b"HTTP/1.1 400") or answer.startswith(b"HTTP/1.0 400"), answer
    assert await _requests_sent(requests_fleet) == 0


async def test_peer_that_sends_malformed_frames_is_disconnected(requests_fleet: Fleet) -> None:
    host, port = requests_fleet.daemons["g1"].peer.split(":")
    for malformed in (
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x01\xff\xff\xff\xff",
        b"\x01\x00\x00\x00\x04abcd",
    ):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(malformed)
        assert await asyncio.wait_for(reader.read(), 5) == b""
        writer.close()
    gateway = requests_fleet.daemons["g1"]
    assert len(gateway.seen(230)) == 3
    assert (await requests_fleet.call("GET", gateway.callers, PATH))[0] == 200


async def test_operators_need_the_token() -> None:
    async with Fleet() as fleet:
        gateway = await fleet.add_daemon("gateway", HALL, "g1", operator_token="sesame")
        assert (await fleet.call("GET", gateway.operator, "/config"))[0] == 401
        assert (await fleet.call("GET", gateway.operator, "/healthz"))[0] == 200
        headers = {"Authorization": "Bearer sesame"}
        answer = await fleet.call("GET", gateway.operator, "/config", headers=headers)
        assert answer == (200, {"version": 0, "document": {}})
        with pytest.raises(aiohttp.ClientError):
            await fleet.call("GET", "127.0.0.1:1", "/config")
        assert "sesame" not in str(gateway.events)
