"""Measures the figures of docs/CAPACITY.md and extrapolates them to the target size.

``python -m bench.capacity`` prints the tables; ``--write`` writes them into the page.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import time
from pathlib import Path
from typing import Any, NamedTuple

from tests.standins.fleet import Fleet

from bench.gateway import GatewayCost, measure
from bench.repeatable import example_heartbeat, exchange_bytes, repeatable
from bench.slopes import Memory, Slope, heartbeat_us, memory, slopes
from bench.target import (
    CHANGES_A_DAY,
    GATEWAYS_A_HALL,
    HALL_STARTS_S,
    HALL_TASKS,
    HALL_WORKERS,
    HALLS,
    SCHEDULERS_A_HALL,
    STARTS_S,
)
from linkspan.peer import codec as peer_codec
from linkspan.peer.messages import Envelope
from linkspan.services.http import HttpWorkers
from linkspan.services.messages import ExchangeRequest

PAGE = Path(__file__).resolve().parents[1] / "docs" / "CAPACITY.md"


class Need(NamedTuple):
    """A resource need of one role at the target size.

    Attributes:
        role: Role of the process.
        what: Name of the figure.
        value: The extrapolated figure.
        limit: Required limit; empty if there is none.
        mechanism: Mechanism that keeps the figure within its limit, or that is still missing.
    """

    role: str
    what: str
    value: str
    limit: str
    mechanism: str


async def http_exchange_ms() -> float:
    """Return the CPU time that one exchange over HTTP takes in this process, in ms."""
    async with Fleet() as fleet:
        await fleet.add_workers("rennes-a", 1, run_s=1.0)
        hosts = await fleet.get(fleet.platform, "/hosts")
        port = HttpWorkers(fleet.session)
        for _ in range(50):
            await port.exchange(hosts[0]["address"], ExchangeRequest())
        started = time.process_time()
        for _ in range(500):
            await port.exchange(hosts[0]["address"], ExchangeRequest())
        return (time.process_time() - started) / 500 * 1e3


def needs(measured: list[Slope], exchange_ms: float, gateway: GatewayCost) -> list[Need]:
    """Return the figures at the target size, extrapolated from measured ones."""
    line = {slope.what: slope.fit for slope in measured}
    own = HALL_WORKERS / SCHEDULERS_A_HALL
    starts_per_s = HALL_STARTS_S / SCHEDULERS_A_HALL
    exchanges_per_s = own / 4.0 + starts_per_s
    orders, report = exchange_bytes(12)
    decisions = 2 * HALL_STARTS_S
    record = line["us to decode and fold a record"]
    folding_cpu = 8 * record.start / 1e6 + decisions * record.slope / 1e6
    step = line["ms more when all exchanges are due"]
    exchange_cpu = exchanges_per_s * (exchange_ms + step.slope) / 1e3
    placement_cpu = line["ms of a full placement pass"].at(HALL_WORKERS) * 4 / 1e3
    heartbeats_per_s = (SCHEDULERS_A_HALL + GATEWAYS_A_HALL - 1 + 2) * 2
    heartbeat_bytes = len(peer_codec.encode(Envelope(0, example_heartbeat()))) + 5
    heartbeat_cpu_us = heartbeat_us()
    log_bytes = decisions * 8.5 * 4 / 3 + 8 * 250
    state_mb = line["KB of ledger state"].slope * HALL_TASKS / 1e3
    change_us = line["us to fold a change of configuration"].at(332)
    base = memory()
    scheduler_mb, gateway_mb = base[2].unique, base[3].unique
    whole_pass = line["ms of a full placement pass"].at(HALL_WORKERS)
    return [
        Need(
            "scheduler",
            f"ledger folding, {decisions:.0f} decisions/s in 8 records",
            f"{folding_cpu:.1%} of a core",
            "2.4%",
            "group commit, packed records",
        ),
        Need(
            "scheduler",
            f"exchanges, {exchanges_per_s:.0f}/s over {own:.0f} own workers",
            f"{exchange_cpu:.1%} of a core",
            "2.4%",
            "does not fit while each start has its own; next: one a second and worker",
        ),
        Need(
            "scheduler that places",
            "passes, 4 a second on a full queue",
            f"{placement_cpu:.1%} of a core",
            "2.4%",
            "does not fit on an endless queue; next: keep candidates between passes",
        ),
        Need(
            "scheduler that places",
            "one pass over a hall by best fit",
            f"{whole_pass:.0f} ms",
            "50 ms",
            "bounded placements a pass, kinds counted once",
        ),
        Need(
            "scheduler that places",
            "one pass that learns, 3 services beside 9 kinds a worker",
            f"{line['ms of a pass that learns'].at(HALL_WORKERS):.0f} ms",
            "50 ms",
            "does not fit; effects are kept for a pass; next: fewer candidates a job",
        ),
        Need(
            "scheduler",
            "heartbeats, coding both ways",
            f"{heartbeats_per_s * heartbeat_cpu_us / 1e6:.2%} of a core",
            "2.4%",
            "all peers of the hall, two far ones a second",
        ),
        Need(
            "scheduler",
            "bytes of heartbeats",
            f"{heartbeats_per_s * heartbeat_bytes / 1e3:.1f} KB/s",
            "4 KB/s",
            "near ones each second, two far ones; next: every other second",
        ),
        Need(
            "scheduler",
            "bytes read from the ledger",
            f"{log_bytes / 1e3:.1f} KB/s",
            "4 KB/s",
            "7 to 10 bytes a decision, a third more for the log's base64",
        ),
        Need(
            "scheduler",
            "bytes of exchanges",
            f"{exchanges_per_s * (orders + report + 400) / 1e3:.0f} KB/s",
            "4 KB/s",
            "does not fit; next: report changes only, renew by report number",
        ),
        Need(
            "scheduler",
            f"ledger state of {HALL_TASKS:,} running tasks",
            f"{state_mb:.1f} MB",
            "",
            "three bytes a queued task, one entry a running one",
        ),
        Need(
            "scheduler",
            "memory in all, unique",
            f"{scheduler_mb + state_mb:.1f} MB",
            "32 MB",
            "nearly all is libraries; resident size is over the limit at once",
        ),
        Need(
            "scheduler",
            f"start after a loss of its state, {HALL_TASKS:,} tasks",
            f"{line['ms to restore a snapshot'].at(HALL_TASKS):.0f} ms",
            "",
            "snapshot and tail",
        ),
        Need(
            "all",
            "folding a change of configuration",
            f"{change_us / 1e3:.1f} ms; {change_us * CHANGES_A_DAY / 86_400 / 1e6:.2%} of a core",
            "2.4%",
            "one fold a change, the whole document checked",
        ),
        Need(
            "all",
            f"{CHANGES_A_DAY:,} changes a day",
            f"{CHANGES_A_DAY / 86_400:.2f} appends/s",
            "100/s in all",
            "the configuration's own stream",
        ),
        Need(
            "log",
            f"{STARTS_S:,} starts/s, {HALLS} halls",
            f"{HALLS * 8} appends/s at the most",
            "100/s",
            "each hall's part is 8/s, whatever the number of decisions",
        ),
        Need(
            "gateway",
            "idle, with peers and log tails",
            f"{gateway.idle_share:.1%} of a core",
            "2.4%",
            "long polls and heartbeats; measured in one hall of one gateway",
        ),
        Need(
            "gateway",
            "a request",
            f"{gateway.core_ms:.2f} ms of a core",
            "",
            "not control; shares need no message a request",
        ),
        Need("gateway", "memory, unique", f"{gateway_mb:.1f} MB", "32 MB", "see the scheduler"),
        Need("command line", "a call", "one HTTP request", "", "holds no state"),
    ]


def needs_table(rows: list[Need]) -> str:
    """Return the table of the figures at the target size."""
    return _table(
        ("role", "what", "at the target", "limit", "mechanism, or what is next"),
        [tuple(row) for row in rows],
    )


def _table(head: tuple[str, ...], rows: list[tuple[Any, ...]]) -> str:
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)


def repeatable_table(figures: dict[str, float]) -> str:
    """Return the table of repeatable figures, which CI compares with a new run."""
    return _table(("figure", "value"), [(name, value) for name, value in figures.items()])


def slopes_table(measured: list[Slope]) -> str:
    """Return the table of measured lines."""
    rows = []
    for slope in measured:
        points = ", ".join(f"{int(x):,}: {y:.4g}" for x, y in slope.points)
        line = f"{slope.fit.start:.4g} + {slope.fit.slope:.4g} x"
        rows.append((slope.what, slope.over, points, line, f"{slope.fit.error:.0%}"))
    return _table(("what", "over x", "points", "line", "worst error"), rows)


def memory_table(measured: list[Memory]) -> str:
    """Return the table of the memory that imports take."""
    rows = [(m.what, f"{m.resident:.1f}", f"{m.unique:.1f}") for m in measured]
    return _table(("process", "resident MB", "unique MB"), rows)


def write_section(text: str, name: str, body: str) -> str:
    """Return the page with the text between the markers of a section replaced."""
    pattern = re.compile(rf"(<!-- {name} -->\n).*?(<!-- /{name} -->)", re.S)
    if not pattern.search(text):
        raise ValueError(f"no section {name!r} in the page")
    return pattern.sub(lambda match: f"{match.group(1)}{body}\n{match.group(2)}", text)


def main() -> None:
    """Measure and print the tables; write them into the page with ``--write``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", help="write the tables into the page")
    parser.add_argument(
        "--repeatable",
        action="store_true",
        help="print only the figures that are the same in every run",
    )
    args = parser.parse_args()
    figures = repeatable()
    if args.repeatable:
        _finish({"repeatable": repeatable_table(figures)}, write=args.write)
        return
    measured, exchange_ms = slopes(), asyncio.run(http_exchange_ms())
    gateway = asyncio.run(measure())
    sections = {
        "repeatable": repeatable_table(figures),
        "slopes": slopes_table(measured),
        "memory": memory_table(memory()),
        "target": needs_table(needs(measured, exchange_ms, gateway)),
    }
    print(f"heartbeat coded and decoded: {heartbeat_us():.0f} us")
    print(f"exchange over HTTP: {exchange_ms:.2f} ms of this process's processor time\n")
    _finish(sections, write=args.write)


def _finish(sections: dict[str, str], *, write: bool) -> None:
    print("\n\n".join(sections.values()))
    if not write:
        return
    text = PAGE.read_text()
    for name, body in sections.items():
        text = write_section(text, name, body)
    PAGE.write_text(text)


if __name__ == "__main__":
    main()
