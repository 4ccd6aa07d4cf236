"""The demo of the README: what it serves, what it counts, and its exit code.

Guards against a demo that reports success although a count is short, and against steps of the
README that do not work on the kept demo.
"""

from __future__ import annotations

import asyncio
import json
import re
import signal
import sys
from asyncio.subprocess import PIPE, Process
from pathlib import Path

import aiohttp
import pytest
from scripts import demo

from tests.job_builders import QUEUE

RUN_LIMIT_S = 60.0
"""Maximum duration of a run: its own limits, 20 s to start and 30 s to work, and a margin."""

KEPT_MESSAGE = "kept running"


async def _start_demo(folder: Path, *flags: str) -> Process:
    script = str(demo.ROOT / "scripts" / "demo.py")
    command = (sys.executable, script, "--logs", str(folder), *flags)
    return await asyncio.create_subprocess_exec(*command, stdout=PIPE)


async def test_demo_kills_an_owner_and_meets_each_count(tmp_path: Path) -> None:
    process = await _start_demo(tmp_path)
    async with asyncio.timeout(RUN_LIMIT_S):
        output, _ = await process.communicate()
    last = output.decode().splitlines()[-1]
    assert process.returncode == 0, output.decode()
    assert last.startswith("demo: met; jobs accepted 48/48, ")
    assert "killed owner replaced 1/1, promises broken 0/0" in last


async def test_demo_reports_work_that_is_not_done_in_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(demo, "WORK_LIMIT_S", 1.0)
    assert await demo.run(tmp_path, keep=False) == 1
    assert capsys.readouterr().out.splitlines()[-1].startswith("demo: NOT MET; ")


@pytest.mark.parametrize(("number", "wanted", "code"), [(3, 3, 0), (2, 3, 1), (4, 3, 1)])
def test_a_count_that_is_not_met_decides_the_exit_code(number: int, wanted: int, code: int) -> None:
    assert demo.print_summary([demo.Count("a", 1, 1), demo.Count("b", number, wanted)]) == code


async def test_kept_demo_serves_until_it_is_stopped(tmp_path: Path) -> None:
    process = await _start_demo(tmp_path, "--keep")
    try:
        async with asyncio.timeout(RUN_LIMIT_S):
            output = await _read_until_kept(process)
            await _use(output, tmp_path)
    finally:
        process.send_signal(signal.SIGTERM)
        await process.wait()
    assert process.returncode == 0
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(*_find(r"host-0: callers ([\d.]+):(\d+)", output))


async def _read_until_kept(process: Process) -> str:
    assert process.stdout
    output = ""
    while KEPT_MESSAGE not in output:
        line = await process.stdout.readline()
        assert line, output
        output += line.decode()
    return output


def _find(pattern: str, output: str) -> tuple[str, ...]:
    match = re.search(pattern, output)
    assert match, output
    return match.groups()


async def _use(output: str, folder: Path) -> None:
    """Follow the steps of the README on the kept demo."""
    (callers,) = _find(r"host-1: callers (\S+),", output)
    (readiness,) = _find(r"host-1: .*readiness (\S+),", output)
    (job_id,) = _find(r"a job to submit: (\w+)", output)
    (standing_id,) = _find(r"a job that stands: (\w+)", output)
    url = f"http://{callers}{QUEUE.prefix}"
    async with aiohttp.ClientSession(headers={"Host": QUEUE.host}) as session:
        async with session.get(readiness) as answer:
            assert answer.status == 200
        async with session.post(url + job_id, data=(folder / "job.json").read_bytes()) as answer:
            assert answer.status == 200
        async with session.delete(url + standing_id) as answer:
            assert answer.status == 200
        await _until_state(session, url + standing_id, "cancelled")
        await _until_state(session, url + job_id, "succeeded")


async def _until_state(session: aiohttp.ClientSession, url: str, state: str) -> None:
    while True:
        async with session.get(url) as answer:
            if json.loads(await answer.read()).get("state") == state:
                return
        await asyncio.sleep(0.2)
