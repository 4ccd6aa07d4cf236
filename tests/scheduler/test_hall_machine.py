"""State machine of a hall: invariants of its schedulers and workers under faults at any moment.

Guards against a task that runs twice at the same time, a worker with more tasks than it has
capacity for, a task that must not be repeated but starts twice, and schedulers whose ledgers
differ at the same offset. Once all faults are over, every job must end with counts that add up.
"""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from linkspan.ledger.snapshot import snapshot_parts
from linkspan.model.job import Priority
from linkspan.model.resources import Resources
from tests.builders import job, watcher
from tests.world import World

SECONDS = st.sampled_from([0.5, 1.0, 3.0, 6.0, 12.0, 30.0])
LONG = st.sampled_from([3.0, 9.0, 25.0, 90.0])
WORKER = st.sampled_from([0, 1, 2])


class HallMachine(RuleBasedStateMachine):
    """Submissions, cancellations and faults in any order on one hall."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.specs = {}
        self.watchers = 0

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        self.world = World(seed=seed)
        self.world.advance(4.0)

    def _submit(self, spec: object) -> None:
        sims = list(self.world.schedulers.values())
        if sims:
            self.specs[spec.job_id] = spec
            self.world.random.choice(sims).core.submit(spec, self.world.now)

    @rule(count=st.integers(1, 4), cores=st.integers(1, 3), repeatable=st.booleans())
    def submit(self, count: int, cores: int, repeatable: bool) -> None:
        size = Resources(cores * 1_000, 500)
        name = f"j{len(self.specs)}"
        self._submit(job(name, count=count, size=size, repeatable=repeatable))
        self.world.advance(3.0 * (count % 2))

    @precondition(lambda self: self.watchers < 3)
    @rule()
    def submit_watcher(self) -> None:
        # With more watchers, no worker would have capacity for the larger tasks.
        self.watchers += 1
        self._submit(watcher(f"j{len(self.specs)}"))

    @rule(failing=st.booleans())
    def submit_failing(self, failing: bool) -> None:
        self._submit(job(f"j{len(self.specs)}", kind="shaky", priority=Priority.URGENT))
        if failing:
            self.world.failing.add("shaky")

    @precondition(lambda self: self.specs and self.world.schedulers)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        job_id = data.draw(st.sampled_from(sorted(self.specs)))
        for sim in self.world.schedulers.values():
            sim.core.cancel(job_id, self.world.now)

    @rule(seconds=SECONDS)
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @precondition(lambda self: len(self.world.schedulers) < 4)
    @rule()
    def start_scheduler(self) -> None:
        self.world.start_scheduler()

    def _some(self) -> str:
        return self.world.random.choice(sorted(self.world.schedulers))

    @precondition(lambda self: len(self.world.schedulers) > 1)
    @rule()
    def kill_scheduler(self) -> None:
        self.world.kill(self._some())

    @precondition(lambda self: self.world.schedulers)
    @rule(seconds=LONG)
    def freeze_scheduler(self, seconds: float) -> None:
        self.world.freeze(self._some(), seconds)

    @precondition(lambda self: self.world.schedulers)
    @rule(log=st.booleans(), peers=st.booleans(), workers=st.sets(WORKER))
    def cut_scheduler(self, log: bool, peers: bool, workers: set[int]) -> None:
        sim = self.world.schedulers[self._some()]
        sim.log_cut, sim.peers_cut = log, peers
        sim.workers_cut = {f"w{n}" for n in workers}

    @precondition(lambda self: self.world.schedulers)
    @rule(workers=st.sets(WORKER, min_size=1), seconds=LONG)
    def isolate_with_workers(self, workers: set[int], seconds: float) -> None:
        """Leave some workers to one scheduler that reads and hears nothing."""
        alone = self._some()
        for name, sim in self.world.schedulers.items():
            sim.log_cut = sim.peers_cut = name == alone
            sim.workers_cut = set() if name == alone else {f"w{n}" for n in workers}
        self.world.advance(seconds)

    @rule(worker=WORKER)
    def cut_worker(self, worker: int) -> None:
        self.world.cut_workers.add(f"w{worker}")

    @rule(worker=WORKER)
    def restart_worker(self, worker: int) -> None:
        busy = [w for w in self.world.workers if w.runs] or self.world.workers
        busy[worker % len(busy)].restart()

    @rule(down=st.booleans(), lost=st.sampled_from([0.0, 0.3]), twice=st.sampled_from([0.0, 0.3]))
    def fault_log(self, down: bool, lost: float, twice: float) -> None:
        faults = self.world.log.faults
        faults.down, faults.answer_lost, faults.duplicate = down, lost, twice
        faults.append_lost = lost

    @rule()
    def slow_network(self) -> None:
        """Let orders arrive late, when their attempts may be over."""
        self.world.slow = True

    @rule()
    def snapshot_and_trim(self) -> None:
        self.world.snapshot()
        self.world.log.retention = 60

    @rule()
    def heal(self) -> None:
        self.world.heal()

    @invariant()
    def never_twice_never_overcommitted(self) -> None:
        assert self.world.witness.violations == []

    @invariant()
    def not_repeatable_begins_once(self) -> None:
        for task, checkpoints in self.world.witness.resumed_from.items():
            spec = self.specs[task.split("/")[0]]
            if not spec.repeatable:
                assert checkpoints.count("") <= 1, (task, checkpoints)

    @invariant()
    def folds_agree(self) -> None:
        states: dict[int, bytes] = {}
        for sim in self.world.schedulers.values():
            ledger = sim.core.ledger
            body = b"".join(part.body for part in snapshot_parts(ledger))
            assert states.setdefault(ledger.next_offset, body) == body

    def teardown(self) -> None:
        world = self.world
        world.settle(200.0 + 80.0 * len(self.specs))
        assert world.witness.violations == []
        ledger = world.ledger()
        begun = Counter(task.split("/")[0] for task in world.witness.begun)
        for job_id, done in ledger.finished.items():
            counts = done.counts
            assert begun[job_id] <= done.spec.count - counts.not_run, "'not run' was run"
            total = counts.done + counts.failed + counts.cancelled + counts.lost
            assert total == done.spec.count
            assert done.spec.repeatable is False or counts.lost == 0
        for entry in ledger.jobs.values():
            assert entry.spec.restarts, f"not over after all faults ended: {entry}"
        running = Counter(task.split("/")[0] for task in world.witness.running)
        for entry in ledger.jobs.values():
            assert running[entry.spec.job_id] == 1, (
                f"{entry} {running} {world.placements_of(entry)}"
            )


TestHall = HallMachine.TestCase
TestHall.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None, database=None
)
