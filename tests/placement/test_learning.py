"""Models that placement learns, and what it decides by them.

These are the interference of batch tasks with services, the guard that throttles and evicts,
the sizes of tasks, the quarantine of workers, and the preemption of batch tasks for urgent ones.
Guards against effects attributed to the wrong tasks, and against measures that hit too many.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.model.resources import Resources
from linkspan.placement.colocation import MAX_TRIALS, Colocation
from linkspan.placement.colocation_history import ColocationHistory
from linkspan.placement.guard import BatchState, Guard, GuardWeights, Measure, ServiceState
from linkspan.placement.interference import PRIOR_EFFECT, InterferenceModel
from linkspan.placement.preemption import Site, Victim, cheapest_preemption
from linkspan.placement.quarantine import MAX_QUARANTINED_SHARE, End, Quarantine
from linkspan.placement.sizes import SizeModel

EFFECTS = {"merge": 0.2, "plan": 0.01, "index": 0.06}


def _trained_model(noise: float = 0.03, count: int = 600, surge: float = 1.0) -> InterferenceModel:
    model, draw = InterferenceModel(), random.Random(7)
    for _ in range(count):
        load = draw.uniform(0.2, 0.9)
        kinds = {kind: draw.choice((0, 1, 2)) for kind in EFFECTS}
        added = surge * sum(n * EFFECTS[kind] for kind, n in kinds.items())
        latency = 0.4 + 0.3 * load + added * (0.5 + load)
        model.learn("finder", load, kinds, latency * draw.gauss(1.0, noise))
    return model


def test_effects_of_kinds_are_separated_and_grow_with_load() -> None:
    model = _trained_model()
    for load in (0.35, 0.7):
        for kind, effect in EFFECTS.items():
            found = model.effect("finder", load, kind).mean * model.surge("finder")
            assert found == pytest.approx(effect * (0.5 + load), abs=0.05)
    assert model.base("finder", 0.5) == pytest.approx(0.55, abs=0.08)


def test_unseen_pair_has_a_small_prior() -> None:
    effect = _trained_model().effect("finder", 0.5, "new")
    assert (effect.mean, effect.samples) == (PRIOR_EFFECT, 0.0)


def test_model_follows_a_surge_quickly() -> None:
    model = _trained_model()
    for _ in range(60):
        model.learn("finder", 0.5, {"merge": 2}, 0.55 + 1.5 * 0.4)
    assert model.predict("finder", 0.5, {"merge": 2}) == pytest.approx(1.15, abs=0.1)


def test_late_measurement_is_attributed_to_the_tasks_of_its_time() -> None:
    colocation = Colocation(explores=False)
    quiet, noisy = [], [BatchState("t1", "merge", 0.0, False)]
    for n in range(40):
        start = n * 40.0
        colocation.record_tasks("w", start, {"s": "finder"}, noisy if n % 2 else quiet)
        colocation.record_measurement("w", "s", 0.5, 0.9 if n % 2 else 0.5, start + 1.0)
        if n > 2:
            measured_at = start - 39.0
            colocation.record_measurement("w", "s", 0.5, 0.5 if n % 2 else 0.9, measured_at)
    assert colocation.model.effect("finder", 0.5, "merge").mean > 0.2
    assert colocation.model.base("finder", 0.5) < 0.65


def test_unknown_kind_is_tried_on_few_workers() -> None:
    colocation = Colocation()
    admitted = 0
    for n in range(10):
        colocation.record_tasks(f"w{n}", 0.0, {"s": "finder"}, [])
        if colocation.predict_with(f"w{n}", "new") is not None:
            admitted += 1
            batch = [BatchState(n, "new", 0.0, False)]
            colocation.record_tasks(f"w{n}", 0.0, {"s": "finder"}, batch)
    assert admitted == MAX_TRIALS


def test_guard_throttles_first_then_evicts_then_releases() -> None:
    model = _trained_model(noise=0.0)
    guard = Guard(model, GuardWeights(limit=0.95, eviction_cost=30.0, patience_s=30.0))
    batch = [BatchState(n, "merge", 0.0, False) for n in range(2)]
    hot = [ServiceState("finder", 0.7, 1.2, 100.0)]
    first = guard.decide(hot, batch, 100.0)
    assert [(a.measure, a.key) for a in first] == [(Measure.THROTTLE, 0), (Measure.THROTTLE, 1)]
    throttled = [task._replace(throttled=True) for task in batch]
    still_hot = [ServiceState("finder", 0.9, 1.1, 120.0)]
    assert guard.decide(still_hot, throttled, 120.0) == []
    later = guard.decide(still_hot, throttled, 131.0)
    assert [(a.measure, a.key) for a in later] == [(Measure.EVICT, 0)]
    calm = [ServiceState("finder", 0.1, 0.5, 200.0)]
    released = guard.decide(calm, throttled[1:], 200.0)
    assert [(a.measure, a.key) for a in released] == [(Measure.RELEASE, 1)]


def test_guard_takes_no_measure_without_batch_tasks() -> None:
    guard = Guard(InterferenceModel())
    assert guard.decide([ServiceState("finder", 0.5, 0.6, 1.0)], [], 1.0) == []


def test_history_returns_the_colocated_tasks_of_a_time() -> None:
    history = ColocationHistory()
    history.note(1.0, {"a": 1.0})
    history.note(2.0, {"a": 1.0})
    history.note(3.0, {"a": 2.0})
    assert [history.at(t) for t in (0.5, 2.5, 3.0)] == [None, {"a": 1.0}, {"a": 2.0}]
    assert history.changed == 3.0


def test_size_is_never_less_than_declared_nor_than_learned() -> None:
    sizes = SizeModel()
    declared = Resources(1_000, 4_000)
    assert sizes.needed("merge", declared) == declared
    sizes.learn("merge", Resources(3_000, 1_000))
    assert sizes.needed("merge", declared) == Resources(3_000, 4_000)


def _quarantined_workers(
    quarantine: Quarantine, bad_worker: str = "", bad_kind: str = ""
) -> set[str]:
    quarantined: set[str] = set()
    for n in range(200):
        kind, worker = f"k{n % 5}", f"w{n % 8}"
        failed = worker == bad_worker or kind == bad_kind
        if quarantine.note(End(kind, worker, failed), float(n), 8):
            quarantined.add(worker)
    return quarantined


def test_bad_worker_is_quarantined_but_no_worker_for_a_bad_job() -> None:
    assert _quarantined_workers(Quarantine(), bad_worker="w3") == {"w3"}
    bad = Quarantine()
    assert _quarantined_workers(bad, bad_kind="k2") == set()
    assert bad.fails_everywhere("k2") and not bad.fails_everywhere("k1")


def test_quarantine_is_bounded_in_workers_and_time() -> None:
    quarantine = Quarantine()
    now = 0.0
    for n in range(400):
        now += 0.5
        quarantine.note(End(f"k{n % 5}", f"w{n % 8}", n % 8 < 6), now, 8)
        assert len(quarantine.quarantined(now)) <= MAX_QUARANTINED_SHARE * 8
    assert quarantine.quarantined(now + 10_000.0) == set()


SITES = st.lists(
    st.builds(
        Site,
        st.integers(1, 9),
        st.builds(Resources, st.integers(0, 4_000), st.just(9_000)),
        st.lists(
            st.builds(
                Victim,
                st.integers(),
                st.builds(Resources, st.integers(500, 4_000), st.integers(0, 100), st.just(0)),
                st.floats(0, 100),
            ),
            max_size=5,
        ),
    ),
    max_size=4,
    unique_by=lambda site: site.worker,
)


@settings(derandomize=True, database=None)
@given(SITES, st.builds(Resources, st.integers(1, 9_000), st.integers(0, 9_000), st.just(0)))
def test_preemption_makes_room_and_spares_who_it_can(sites: list[Site], size: Resources) -> None:
    chosen = cheapest_preemption(size, sites)
    rooms = [sum((v.size for v in site.victims), site.room) for site in sites]
    assert (chosen is not None) == any(size.fits_within(room) for room in rooms)
    if chosen is None:
        return
    site = next(s for s in sites if s.worker == chosen.worker)
    room = sum((v.size for v in chosen.victims), site.room)
    assert size.fits_within(room)
    assert all(not size.fits_within(room - victim.size) for victim in chosen.victims)
