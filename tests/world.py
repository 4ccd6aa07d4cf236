"""A hall in memory: scheduler cores, a fake log and fake workers on a virtual clock."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from linkspan.errors import LogGap, LogUnavailable
from linkspan.ledger.codec import decode, encode
from linkspan.ledger.job_entry import JobEntry
from linkspan.ledger.ledger import Ledger
from linkspan.ledger.records import Record
from linkspan.ledger.snapshot import Recovery, snapshot_parts
from linkspan.model.resources import Resources
from linkspan.model.worker import WorkerSpec
from linkspan.placement.placer import PolicyPlacer
from linkspan.scheduler.core import SchedulerCore
from linkspan.scheduler.timing import Timing
from linkspan.services.messages import ExchangeRequest, WorkerReport
from tests.standins.fake_log import FakeLog
from tests.standins.fake_worker import FakeWorker, Witness

HALL = "rennes-a"
STREAM = "ledger"
TICK_S = 0.5
TIMING = Timing(
    lease_s=8.0,
    drift=0.02,
    offline_renewal_s=40.0,
    worker_silence_s=5.0,
    peer_silence_s=2.0,
    exchange_s=2.0,
    append_timeout_s=3.0,
)


@dataclass
class SimScheduler:
    """A scheduler core with links that can be cut and a process that can be frozen."""

    core: SchedulerCore
    position: int = 0
    frozen_until: float = 0.0
    log_cut: bool = False
    peers_cut: bool = False
    workers_cut: set[str] = field(default_factory=set)
    recovery: Recovery | None = None


@dataclass
class _Transit:
    """Orders in transit to a worker. A freeze of the sender delays them."""

    due: float
    sender: str
    worker: str
    orders: ExchangeRequest
    began: float


class World:
    """One hall, whose schedulers and workers proceed in ``advance``."""

    def __init__(self, *, seed: int = 0, workers: int = 3, schedulers: int = 2) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.small_hall = 64 * (seed % 2)
        self.log = FakeLog(seed=seed)
        self.witness = Witness()
        self.failing: set[str] = set()
        self.schedulers: dict[str, SimScheduler] = {}
        self.workers = [self._worker(n) for n in range(workers)]
        self.cut_workers: set[str] = set()
        self.slow = False
        self._transits: list[_Transit] = []
        self._started = 0
        for _ in range(schedulers):
            self.start_scheduler()

    def _worker(self, number: int) -> FakeWorker:
        return FakeWorker(
            WorkerSpec(f"w{number}", 1, Resources(4_000, 4_000)),
            self.witness,
            lambda start: (
                1e9 if start.kind == "watch" else self.random.choice((1.5, 4.0, 12.0, 60.0))
            ),
            fails=lambda start: start.kind in self.failing,
            offset=1_000.0 * number,
            rate=1.0 + (number - 1) * 0.005,
        )

    def start_scheduler(self) -> str:
        """Start a scheduler under a new name."""
        self._started += 1
        name = f"s{self._started}"
        core = SchedulerCore(
            name, Ledger(HALL), PolicyPlacer(), timing=TIMING, small_hall=self.small_hall
        )
        self.schedulers[name] = SimScheduler(core)
        return name

    def kill(self, name: str) -> None:
        """Kill a scheduler. Its orders in transit may still arrive."""
        del self.schedulers[name]

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a scheduler's process for a time, and delay its orders in transit."""
        until = self.now + seconds
        self.schedulers[name].frozen_until = until
        for transit in self._transits:
            if transit.sender == name:
                transit.due = max(transit.due, until)

    def heal(self) -> None:
        """End all faults."""
        self.log.faults.down = False
        self.log.faults.append_lost = self.log.faults.answer_lost = 0.0
        self.log.faults.duplicate = 0.0
        self.cut_workers.clear()
        self.slow = False
        self.failing.clear()
        for sim in self.schedulers.values():
            sim.log_cut = sim.peers_cut = False
            sim.workers_cut.clear()

    def advance(self, seconds: float) -> None:
        """Advance the time of all schedulers and workers."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for worker in self.workers:
                worker.tick(self.now)
            self._deliver_orders()
            awake = [s for s in self.schedulers.values() if s.frozen_until <= self.now]
            for sim in awake:
                self._send_heartbeats(sim, awake)
            for sim in awake:
                self._read(sim)
                self._step(sim)

    def _send_heartbeats(self, sim: SimScheduler, awake: list[SimScheduler]) -> None:
        core = sim.core
        unfit = core.unfit(self.now)
        for other in awake:
            if other is not sim and not (sim.peers_cut or other.peers_cut):
                other.core.on_peer(core.name, core.ledger.next_offset, self.now, unfit=unfit)

    def _read(self, sim: SimScheduler) -> None:
        if sim.log_cut:
            return
        try:
            page = self.log.read(STREAM, sim.position)
        except LogUnavailable:
            return
        except LogGap as gap:
            sim.recovery = Recovery(HALL, gap.first)
            sim.position = gap.first
            return
        entries = [(entry.offset, decode(entry.body)) for entry in page.entries]
        sim.position += len(entries)
        if sim.recovery is None:
            sim.core.on_records(entries, self.now, end=page.end)
            return
        sim.recovery.feed(entries)
        if sim.recovery.ledger is not None:
            sim.core.on_snapshot(sim.recovery.ledger, self.now)
            sim.recovery = None

    def _step(self, sim: SimScheduler) -> None:
        core = sim.core
        core.watch_workers([w.spec.name for w in self.workers], self.now)
        step = core.step(self.now)
        if step.record is not None:
            self._append(sim, step.record)
        for worker, orders in step.exchanges.items():
            if worker not in sim.workers_cut and worker not in self.cut_workers:
                due = self.now + self.random.choice((0.0, 0.5, 1.0, 5.0 if self.slow else 1.0))
                self._transits.append(_Transit(due, core.name, worker, orders, self.now))

    def _append(self, sim: SimScheduler, record: Record) -> None:
        sim.core.append_done()
        if sim.log_cut:
            return
        try:
            self.log.append(STREAM, encode(record))
        except LogUnavailable:
            return

    def snapshot(self) -> None:
        """Have the first scheduler that can append do so with a snapshot of its ledger."""
        for sim in self.schedulers.values():
            if sim.recovery is None and sim.frozen_until <= self.now and not sim.log_cut:
                for part in snapshot_parts(sim.core.ledger):
                    record = Record(sim.core.name, 0, sim.core.ledger.next_offset, (part,))
                    self._append(sim, record)
                return

    def _deliver_orders(self) -> None:
        due = [t for t in self._transits if t.due <= self.now]
        self._transits = [t for t in self._transits if t.due > self.now]
        by_name = {worker.spec.name: worker for worker in self.workers}
        for transit in due:
            report = by_name[transit.worker].exchange(transit.orders, self.now)
            self._deliver_report(transit, report)

    def _deliver_report(self, transit: _Transit, report: WorkerReport) -> None:
        sim = self.schedulers.get(transit.sender)
        lost = transit.worker in self.cut_workers or self.random.random() < 0.05
        if sim is None or lost or transit.worker in sim.workers_cut:
            return
        if sim.frozen_until <= self.now:
            sim.core.on_report(report, transit.began)

    def settle(self, seconds: float = 160.0) -> None:
        """End all faults and advance until the hall is idle."""
        self.heal()
        if not self.schedulers:
            self.start_scheduler()
        self.advance(seconds)

    def ledger(self) -> Ledger:
        """Return the ledger of the scheduler that has read the furthest."""
        sims = self.schedulers.values()
        return max((s.core.ledger for s in sims), key=lambda ledger: ledger.next_offset)

    def placements_of(self, entry: JobEntry) -> str:
        """Describe where the ledger and the workers place a job, for assertion messages."""
        placed = [(t, p) for t, p in self.ledger().placements.items() if t.job == entry.number]
        workers = [(w.spec.name, list(w.runs), list(w.closed)) for w in self.workers]
        return f"{placed} {self.schedulers} {workers}"
