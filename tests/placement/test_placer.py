"""One placement pass over a ledger, and the placer that learns from reports.

Guards against placements that exceed a worker's capacity or a team's quota, that break a rule on
colocation, or that ignore placements and interference which the ledger does not show yet.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.ledger.records import Ended, Evicted, Outcome, Placed, Recalled, Resized
from linkspan.model.job import AttemptId, Priority, TaskId
from linkspan.model.resources import Resources
from linkspan.placement.guard import BatchState
from linkspan.placement.learned import LearnedPlacer
from linkspan.placement.placer import Obstacle, PlacementRules, PolicyPlacer
from linkspan.placement.policies import BestFit
from linkspan.selectors.selector import parse_selector
from linkspan.services.messages import AttemptKey, UsageSample, WorkerReport
from tests.builders import LedgerBuilder, job, worker

SPECS = st.builds(
    lambda n, cores, priority, team: job(
        f"j{n}",
        count=3,
        size=Resources(cores * 500, 500),
        priority=priority,
        team=team,
    ),
    st.integers(0, 20),
    st.integers(1, 8),
    st.sampled_from([Priority.URGENT, Priority.BATCH, Priority.WATCHER]),
    st.sampled_from(["maps", "routes"]),
)


@settings(derandomize=True, database=None)
@given(st.lists(SPECS, max_size=8), st.integers(0, 6_000))
def test_pass_never_overfills_nor_passes_a_quota(specs: list[object], quota: int) -> None:
    built = LedgerBuilder().with_worker(worker("w1", 3), worker("w2", 5)).with_job(*specs)
    rules = PlacementRules({"maps": Resources(quota, 10**6)})
    for placer in (PolicyPlacer(), PolicyPlacer(BestFit()), LearnedPlacer()):
        placer.rules = rules
        placed = list(placer.place(built.ledger, [1, 2], (), 0.0))
        assert len({task for task, _ in placed}) == len(placed)
        used = {1: Resources(), 2: Resources()}
        teams = Resources()
        for task, number in placed:
            entry = built.ledger.jobs[task.job]
            used[number] += entry.size
            if entry.spec.team == "maps" and entry.spec.priority is not Priority.WATCHER:
                teams += entry.size
        assert all(used[n].fits_within(built.ledger.workers[n].spec.size) for n in used)
        assert teams.milli_cpu <= quota


def _obstacle(spec: object, **rules: object) -> Obstacle | None:
    built = LedgerBuilder().with_worker(worker(cores=2, rack="a")).with_job(spec)
    placer = PolicyPlacer(rules=PlacementRules(rules.pop("quotas", {}), **rules))
    list(placer.place(built.ledger, [1], (), 0.0))
    return placer.last.obstacles.get(1)


def test_waiting_jobs_name_their_obstacle() -> None:
    assert _obstacle(job(selector="rack=b")) is Obstacle.SELECTOR
    assert _obstacle(job(size=Resources(9_000, 1))) is Obstacle.TOO_LARGE
    assert _obstacle(job(count=3)) is Obstacle.NO_ROOM
    assert _obstacle(job(count=2), quotas={"routes": Resources(1_000, 9_000)}) is Obstacle.QUOTA
    assert _obstacle(job(count=2)) is None


def test_colocation_rule_holds_in_both_directions() -> None:
    rules = PlacementRules({}, ((parse_selector("tier=quiet"), parse_selector("tier=noisy")),))
    for first, second in (("quiet", "noisy"), ("noisy", "quiet")):
        built = LedgerBuilder().with_worker()
        built.with_job(job("a", labels={"tier": first}), job("b", labels={"tier": second}))
        placer = PolicyPlacer(rules=rules)
        assert list(placer.place(built.ledger, [1], (), 0.0)) == [(TaskId(1, 0), 1)]
        assert placer.last.obstacles == {2: Obstacle.COMPANY}


def test_pending_placements_keep_their_capacity() -> None:
    built = LedgerBuilder().with_worker(worker(cores=1)).with_job(job(count=2))
    pending = [Placed(AttemptId(1, 0, 1), 1)]
    assert list(PolicyPlacer().place(built.ledger, [1], pending, 0.0)) == []


def test_urgent_tasks_go_before_batch_tasks_and_then_by_submission() -> None:
    built = LedgerBuilder().with_worker(worker(cores=2))
    built.with_job(job("old"), job("new", team="maps"), job("now", priority=Priority.URGENT))
    built.apply(Placed(AttemptId(1, 0, 1), 1), Evicted(AttemptId(1, 0, 1), "", True))
    placed = list(PolicyPlacer().place(built.ledger, [1], (), 0.0))
    assert [task.job for task, _ in placed] == [3, 1]


def test_urgent_task_gets_capacity_by_a_recall() -> None:
    built = LedgerBuilder().with_worker(worker(cores=2))
    built.with_job(job("batch", count=2), job("now", priority=Priority.URGENT))
    built.apply(Placed(AttemptId(1, 0, 1), 1), Placed(AttemptId(1, 1, 1), 1))
    placer = LearnedPlacer()
    assert list(placer.place(built.ledger, [1], (), 0.0)) == []
    recalls = placer.take_recalls()
    assert recalls == {AttemptId(1, 0, 1): "makes room for urgent now"}
    list(placer.place(built.ledger, [1], (), 1.0))
    assert placer.take_recalls() == {}
    built.apply(Recalled(AttemptId(1, 0, 1)), Evicted(AttemptId(1, 0, 1), "half", True))
    assert list(placer.place(built.ledger, [1], (), 2.0)) == [(TaskId(2, 0), 1)]


def test_one_pass_counts_the_interference_of_its_own_placements() -> None:
    """Check that a pass adds its own placements to the tasks of the last report."""
    built = LedgerBuilder().with_worker(worker(cores=20))
    built.with_job(job("svc", kind="finder", priority=Priority.SERVICE), job("b", count=10))
    built.apply(Placed(AttemptId(1, 0, 1), 1))
    placer = LearnedPlacer()
    colocation = placer.colocation
    for n in range(200):
        batch = [BatchState(i, "route-plan", 0.0, False) for i in range(n % 3)]
        colocation.record_tasks("1", n * 10.0, {"s": "finder"}, batch)
        colocation.record_measurement("1", "s", 0.5, 0.5 + 0.15 * (n % 3), n * 10.0 + 1.0)
    colocation.record_tasks("1", 3_000.0, {"s": "finder"}, [])
    placed = list(placer.place(built.ledger, [1], (), 0.0))
    assert 1 <= len(placed) <= 3


def test_learned_size_is_reserved_for_later_placements() -> None:
    built = LedgerBuilder().with_worker().with_job(job(count=2))
    built.apply(Placed(AttemptId(1, 0, 1), 1))
    placer = LearnedPlacer()
    run = AttemptKey("rennes-a/1.0", 1)
    usage = UsageSample(run, 9.0, Resources(2_500, 800), 0.0)
    report = WorkerReport(worker(), 10.0, running=(run,), usage=(usage,))
    placer.observe(report, built.ledger, 0.0)
    assert list(placer.resizes(built.ledger)) == [Resized(1, Resources(2_500, 1_000))]


def test_worker_on_which_all_tasks_fail_gets_no_new_tasks() -> None:
    built = LedgerBuilder().with_worker(worker("bad"), worker("good")).with_job(job())
    placer = LearnedPlacer()
    for n in range(12):
        for name in ("bad", "good"):
            placer.note_end(f"k{n % 3}", name, failed=name == "bad", ledger=built.ledger, now=0.0)
    assert list(placer.place(built.ledger, [1, 2], (), 1.0)) == [(TaskId(1, 0), 2)]
    assert Ended(AttemptId(1, 0, 1), Outcome.FAILED).outcome is Outcome.FAILED
