"""Measures times and memory on this machine over several sizes, and fits lines to them."""

from __future__ import annotations

import gc
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

from bench._fit import Fit, fit_line
from bench.halls import lone_scheduler, report_of, running_hall
from bench.repeatable import example_heartbeat, placed_record, target_document
from linkspan.config.store import Change, ConfigState, ConfigStore, encode_change
from linkspan.ledger.codec import decode, encode
from linkspan.ledger.ledger import Ledger
from linkspan.ledger.records import Placed, Record
from linkspan.ledger.snapshot import restore, snapshot_parts
from linkspan.model.job import AttemptId
from linkspan.peer import codec as peer_codec
from linkspan.peer.messages import Envelope
from linkspan.placement.guard import BatchState
from linkspan.placement.learned import LearnedPlacer
from linkspan.services.wire import (
    orders_from_json,
    orders_to_json,
    report_from_json,
    report_to_json,
)

REPEATS = 5


def _seconds(action: Callable[[], Any], repeats: int = REPEATS) -> float:
    """Return the minimum time of several runs of an action, in seconds."""
    times = []
    for _ in range(repeats):
        gc.collect()
        started = time.perf_counter()
        action()
        times.append(time.perf_counter() - started)
    return min(times)


class Slope(NamedTuple):
    """Measurements of ``what`` as a function of ``over``, with the fitted line."""

    what: str
    over: str
    points: list[tuple[float, float]]
    fit: Fit


def _slope(what: str, over: str, sizes: tuple[int, ...], measure: Callable[[int], float]) -> Slope:
    points = [(float(size), measure(size)) for size in sizes]
    return Slope(what, over, points, fit_line(points))


def _skipped_decision_us(decisions: int) -> float:
    bodies = [encode(placed_record(decisions, serial=n)) for n in range(50)]

    def fold() -> None:
        ledger = Ledger("rennes-a")
        for offset, body in enumerate(bodies):
            ledger.apply(offset, decode(body))

    return _seconds(fold) / len(bodies) * 1e6


def _applied_placement_us(decisions: int) -> float:
    """Return the time to decode and apply a record of valid placements, in microseconds."""
    ledger = running_hall(240, 0, queued=decisions)
    placed = [Placed(AttemptId(1 + n // 100, n % 100, 1), 1 + n % 240) for n in range(decisions)]
    body = encode(Record("s1", 3, ledger.next_offset, tuple(placed)))
    parts = b"".join(part.body for part in snapshot_parts(ledger))

    def fold() -> float:
        fresh = restore("rennes-a", ledger.next_offset, parts)
        started = time.perf_counter()
        fresh.apply(fresh.next_offset, decode(body))
        return time.perf_counter() - started

    return min(fold() for _ in range(REPEATS)) * 1e6


def _ledger_kb(tasks: int) -> float:
    gc.collect()
    tracemalloc.start()
    ledger = running_hall(tasks // 12 + 1, tasks)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert ledger.placements
    return size / 1_000


def _recover_ms(tasks: int) -> float:
    ledger = running_hall(tasks // 12 + 1, tasks)
    body = b"".join(part.body for part in snapshot_parts(ledger))
    return _seconds(lambda: restore("rennes-a", 2, body), 3) * 1e3


def _snapshot_ms(tasks: int) -> float:
    ledger = running_hall(tasks // 12 + 1, tasks)
    return _seconds(lambda: snapshot_parts(ledger), 3) * 1e3


def _idle_step_ms(workers: int) -> float:
    core = lone_scheduler(running_hall(workers, workers * 12))
    core.step(0.0)
    return _seconds(lambda: core.step(0.5)) * 1e3


def _exchange_step_ms(workers: int) -> float:
    core = lone_scheduler(running_hall(workers, workers * 12))
    times = iter(range(10, 1_000, 10))
    return (_seconds(lambda: core.step(float(next(times)))) - _idle_step_ms(workers) / 1e3) * 1e3


def _pass_ms(workers: int) -> float:
    """Return the time of a pass that places 40 tasks from a queue of 20 jobs, in ms."""
    ledger = running_hall(workers, workers * 12, queued=2_000)
    placer = lone_scheduler(ledger).placer
    fit = list(ledger.workers)
    return _seconds(lambda: list(placer.place(ledger, fit, (), 0.0))) * 1e3


def _learned_pass_ms(workers: int) -> float:
    """Return the time of the same pass with the learning placer and 3 services per worker."""
    ledger = running_hall(workers, workers * 12, queued=2_000)
    placer = LearnedPlacer()
    for number in ledger.workers:
        batch = [BatchState(n, f"kind-{n}", 0.0, False) for n in range(9)]
        services: dict[object, str] = {f"s{n}": f"service-{n}" for n in range(3)}
        placer.colocation.record_tasks(str(number), 0.0, services, batch)
        for n in range(3):
            placer.colocation.record_measurement(str(number), f"s{n}", 0.5, 0.6, 1.0)
    fit = list(ledger.workers)
    return _seconds(lambda: list(placer.place(ledger, fit, (), 0.0)), 3) * 1e3


def _exchange_us(tasks: int) -> float:
    """Return the time to encode and decode one exchange without HTTP, in microseconds."""
    ledger = running_hall(1, tasks)
    orders = lone_scheduler(ledger).step(0.0).exchanges["rennes-a-w0000"]
    report = report_to_json(report_of(ledger, 1))
    orders_from_json(orders_to_json(orders))
    return (
        _seconds(lambda: [(orders_to_json(orders), report_from_json(report)) for _ in range(200)])
        / 200
        * 1e6
    )


def _change_us(keys: int) -> float:
    document = dict(list(target_document().items())[:keys])
    store = ConfigStore()
    store.adopt(ConfigState(5_000, document, dict.fromkeys(document, 5_000)))
    offsets = iter(range(5_000, 10**6))
    bodies = [
        encode_change(
            Change(f"c{n}", 10**6, "ana", {"quotas/team-7": {"milli_cpu": n + 1, "memory_mb": 1}})
        )
        for n in range(50 * REPEATS)
    ]
    source = iter(bodies)
    return (
        _seconds(lambda: [store.apply(next(offsets), next(source)) for _ in range(50)]) / 50 * 1e6
    )


def heartbeat_us() -> float:
    envelope = Envelope(0, example_heartbeat())
    return (
        _seconds(lambda: [peer_codec.decode(peer_codec.encode(envelope)) for _ in range(200)])
        / 200
        * 1e6
    )


def slopes() -> list[Slope]:
    """Run all measurements on this machine."""
    tasks = (2_000, 8_000, 24_000)
    return [
        _slope(
            "us to decode and fold a record",
            "placements in it",
            (20, 100, 400),
            _applied_placement_us,
        ),
        _slope(
            "us to decode and pass over a record",
            "decisions in it",
            (20, 100, 400),
            _skipped_decision_us,
        ),
        _slope("KB of ledger state", "running tasks", tasks, _ledger_kb),
        _slope("ms to restore a snapshot", "running tasks", tasks, _recover_ms),
        _slope("ms to make a snapshot", "running tasks", tasks, _snapshot_ms),
        _slope("ms of a step with nothing due", "own workers", (24, 78, 233), _idle_step_ms),
        _slope(
            "ms more when all exchanges are due", "own workers", (24, 78, 233), _exchange_step_ms
        ),
        _slope("ms of a full placement pass", "workers", (24, 233, 2_800), _pass_ms),
        _slope("ms of a pass that learns", "workers", (24, 78, 233), _learned_pass_ms),
        _slope("us to code an exchange", "tasks on the worker", (4, 12, 20), _exchange_us),
        _slope("us to fold a change of configuration", "keys", (50, 150, 332), _change_us),
    ]


class Memory(NamedTuple):
    """Resident and unique memory of a process, in MB."""

    what: str
    resident: float
    unique: float


_MEMORY_PROBE = """
import sys, asyncio
{imports}
text = open('/proc/self/smaps_rollup').read()
kb = lambda *names: sum(int(l.split()[1]) for l in text.splitlines() if l.split(':')[0] in names)
print(kb('Rss'), kb('Private_Clean', 'Private_Dirty'))
"""


def memory() -> list[Memory]:
    """Measure the memory that imports take, each in a new process."""
    probes = {
        "interpreter and asyncio": "",
        "with aiohttp": "import aiohttp.web",
        "scheduler, imported": "import linkspan.scheduler.daemon",
        "gateway, imported": "import linkspan.gateway.daemon",
        "both codecs loaded": (
            "import linkspan.scheduler.daemon\nfrom linkspan.ledger import codec\n"
            "from linkspan.peer import codec as peer\ncodec._schema(); peer._schema()"
        ),
    }
    results = []
    for what, imports in probes.items():
        probe = _MEMORY_PROBE.format(imports=imports)
        out = subprocess.run(
            [sys.executable, "-c", probe], capture_output=True, text=True, check=True
        )
        resident, unique = (int(part) / 1_024 for part in out.stdout.split())
        results.append(Memory(what, resident, unique))
    return results
