"""The scheduler's core in situations that the state machine of a hall found or seldom reaches.

They are about membership of schedulers, lost appends, stale state, drained workers, and leases of
watchers on workers that only some schedulers can reach.
"""

from __future__ import annotations

import pytest

from linkspan._rendezvous import rendezvous
from linkspan.ledger.records import Joined, Placed
from linkspan.placement.placer import PolicyPlacer
from linkspan.runtime.log_tail import LOG_READ_WAIT_S
from linkspan.scheduler.core import SchedulerCore
from linkspan.services.messages import AttemptKey, ClosedAttempt, WorkerReport
from tests.builders import LedgerBuilder, job, watcher, worker
from tests.world import World

LOG_ANSWER_S = 0.01
"""Duration of a log read beyond the time that it waits for records."""


def _settled(world: World, job_id: str) -> bool:
    return job_id in world.ledger().finished


def test_expelled_scheduler_joins_again() -> None:
    """Check that an expelled scheduler joins again when no other one is left.

    It once stayed expelled for ever. Found by the state machine of a hall.
    """
    world = World(schedulers=2)
    world.advance(4.0)
    last = world.schedulers["s1"]
    last.log_cut = last.peers_cut = True
    world.advance(60.0)
    assert list(world.ledger().expelled) == ["s1"]
    world.kill("s2")
    world.heal()
    last.core.submit(job("after"), world.now)
    world.advance(120.0)
    assert _settled(world, "after")


def test_lost_submission_is_appended_again() -> None:
    """Check that a job submitted during a log outage runs after the outage.

    Its submission was once never appended. Found by a process test.
    """
    world = World(schedulers=1)
    world.advance(4.0)
    world.log.faults.down = True
    world.schedulers["s1"].core.submit(job("late"), world.now)
    world.advance(10.0)
    world.log.faults.down = False
    world.advance(100.0)
    assert _settled(world, "late")


def test_scheduler_with_stale_state_acknowledges_no_end() -> None:
    """Check that a scheduler acknowledges no end of a placement that it has not read.

    Such an end was once acknowledged. The worker then discarded it, and the attempt counted as
    never started. Found by the state machine of a hall.
    """
    built = LedgerBuilder().with_worker()
    built.apply(Joined("s1"))
    core = SchedulerCore("s1", built.ledger, PolicyPlacer())
    core.watch_workers(["w1"], 0.0)
    end = built.ledger.next_offset
    core.on_records([], 1.0, end=end)
    run = AttemptKey("rennes-a/1.0", 1)
    closed = ClosedAttempt(run, ended=True, failed=False, started=True, checkpoint="")
    core.on_report(WorkerReport(worker(), 5.0, closed=(closed,)), started=5.0)
    assert core.step(6.0).exchanges["w1"].acknowledged == ()
    core.on_records([], 11.0, end=end, read_started=10.0)
    assert core.step(12.0).exchanges["w1"].acknowledged == (run,)


def test_leaving_worker_gets_no_new_tasks_and_is_drained() -> None:
    """Check that watchers move away, batch tasks run to their end, and new tasks go elsewhere."""
    world = World(seed=1, workers=2, schedulers=1)
    world.advance(4.0)
    core = world.schedulers["s1"].core
    for n in range(4):
        core.submit(watcher(f"watch{n}"), world.now)
    world.advance(6.0)
    assert {worker for worker, _ in world.witness.running.values()} == {"w0"}
    world.workers[0].leaving = True
    begun = dict(world.witness.begun)
    world.advance(30.0)
    running = world.witness.running
    assert sorted(running) == [f"watch{n}/0" for n in range(4)]
    assert {worker for worker, _ in running.values()} == {"w1"}
    assert world.witness.violations == []
    core.submit(job("new", count=3), world.now)
    world.advance(10.0)
    assert begun and not world.workers[0].runs


def test_many_submissions_and_cancellations_take_few_appends() -> None:
    """Check the number of appends for thousands of submitted and cancelled jobs.

    All jobs are cancelled twice and out of order, some of them before their submission.
    """
    world = World(schedulers=2, workers=1)
    world.advance(4.0)
    names = [f"j{n}" for n in range(3_000)]
    cancels = names * 2
    world.random.shuffle(cancels)
    first, second = (world.schedulers[name].core for name in ("s1", "s2"))
    before = world.log.appends
    for job_id in cancels[:1_000]:
        second.cancel(job_id, world.now)
    for name in names:
        first.submit(job(name, labels={"note": "x" * 40}), world.now)
    world.advance(2.0)
    for job_id in cancels[1_000:]:
        second.cancel(job_id, world.now)
    world.advance(40.0)
    ledger = world.ledger()
    assert not ledger.jobs and not world.witness.running
    ran = sum(done.counts.not_run == 0 for done in ledger.finished.values())
    assert ran <= 8 and len(ledger.finished) + len(ledger.tombstones) >= 3_000
    assert world.log.appends - before <= 60


def _hall_with_isolated_scheduler(small_hall: bool) -> World:
    """Return a hall whose watcher runs on w0.

    Only the scheduler s1 reaches w0, and s1 reaches neither the log nor its peer.
    """
    world = World(seed=int(small_hall), workers=2, schedulers=2)
    world.advance(4.0)
    world.schedulers["s1"].core.submit(watcher(), world.now)
    world.advance(6.0)
    assert [worker for worker, _ in world.witness.running.values()] == ["w0"]
    isolated, other = world.schedulers["s1"], world.schedulers["s2"]
    isolated.log_cut = isolated.peers_cut = True
    other.workers_cut = {"w0"}
    return world


@pytest.mark.parametrize("small_hall", [False, True])
def test_watcher_of_an_unreachable_scheduler_moves_after_its_lease(small_hall: bool) -> None:
    """Check that a watcher moves only after its unreachable scheduler has stopped renewing it.

    That scheduler renews the lease until its own state is too old. The others have recalled the
    watcher by then, but start it elsewhere only when the lease must have expired.
    """
    world = _hall_with_isolated_scheduler(small_hall)
    world.advance(40.0)
    assert list(world.ledger().recalled)
    assert [worker for worker, _ in world.witness.running.values()] == ["w0"]
    world.advance(60.0)
    assert [worker for worker, _ in world.witness.running.values()] == ["w1"]
    assert world.witness.violations == []


def test_confirmed_recall_waits_for_one_lease_only() -> None:
    """Check that a watcher moves early if all schedulers confirm the recall.

    Its worker does not answer. One lease then suffices, well before the limit that applies while
    a scheduler does not answer.
    """
    world = World(seed=1, workers=2, schedulers=2)
    world.advance(4.0)
    world.schedulers["s1"].core.submit(watcher(), world.now)
    world.advance(6.0)
    world.cut_workers.add("w0")
    world.advance(5.0 + 8.0 * 1.02 + 8.0)
    assert [worker for worker, _ in world.witness.running.values()] == ["w1"]
    assert world.witness.violations == []


def test_a_starting_scheduler_renews_workers_of_a_dead_one_at_once() -> None:
    """Check that a peer counts as dead if the starting scheduler has never heard from it.

    Such a peer once counted as alive for the time limit on silence, so the workers that it should
    have renewed lost their leases meanwhile. Found by a process test.
    """
    dead = "s1"
    names = (f"s{number}" for number in range(2, 100))
    new = next(name for name in names if rendezvous("lead", [dead, name]) == dead)
    built = LedgerBuilder().with_worker()
    built.apply(Joined(dead))
    built.apply(Joined(new))
    core = SchedulerCore(new, built.ledger, PolicyPlacer())
    core.on_records([], 0.0, end=built.ledger.next_offset)
    core.step(0.0)
    later = core.timing.peer_silence_s / 2
    core.watch_workers(["w1"], later)
    core.on_records([], later, end=built.ledger.next_offset)
    assert core.leads(later)
    assert "w1" in core.step(later).exchanges


def test_tasks_are_placed_while_the_log_is_quiet() -> None:
    """Check that the state of a scheduler counts as fresh although nobody appends to the log.

    In a process test on a busy machine, a first job was not placed for 45 s. Its scheduler was the
    leader, knew the workers and read the log. The first placement pass came before the workers'
    first reports, and nothing was appended afterwards. If a log read may wait as long as its
    result counts as fresh, the state is never fresh when the read returns.
    """
    built = LedgerBuilder().with_worker().with_job()
    built.apply(Joined("s1"))
    core = SchedulerCore("s1", built.ledger, PolicyPlacer())
    core.watch_workers(["w1"], 0.0)
    end = built.ledger.next_offset
    placed = []
    for tick in range(160):
        now = 0.25 * tick
        if now % LOG_READ_WAIT_S == 0:
            core.on_records([], now, end=end, read_started=now - LOG_READ_WAIT_S - LOG_ANSWER_S)
        if now >= 10.0:
            core.on_report(WorkerReport(worker(), now), started=now)
        record = core.step(now).record
        placed += [d for d in record.decisions if isinstance(d, Placed)] if record else []
        if record:
            core.append_done()
    assert placed
