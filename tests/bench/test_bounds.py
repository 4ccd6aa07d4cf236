"""Bounds on reproducible benchmark figures: bytes, tail latencies in virtual time, and ratios.

Guards against a change that makes placement, routing or the encoding of records worse. The
figures do not depend on the machine: they are sizes, virtual times or ratios within one run.
"""

from __future__ import annotations

import re
from statistics import median

import pytest
from bench._fit import fit_line
from bench.interference_world import DEPLOYMENTS

from bench import capacity, placement, routing

SEEDS = (0, 1)
DURATION_S = 600


def test_capacity_page_has_the_figures_of_this_code() -> None:
    page = capacity.PAGE.read_text()
    section = re.search(r"<!-- repeatable -->\n(.*?)<!-- /repeatable -->", page, re.S)
    assert section is not None
    assert section.group(1).strip() == capacity.repeatable_table(capacity.repeatable())


def test_encoded_decisions_stay_small() -> None:
    figures = capacity.repeatable()
    assert figures["bytes a placement, 20 in a record"] <= 20
    assert figures["bytes an end, 20 in a record"] <= 20


def test_fit_reports_its_worst_error() -> None:
    assert fit_line([(0, 1.0), (1, 2.0), (2, 2.0)]).error == pytest.approx(0.1667, abs=1e-3)


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda d: d.name)
def test_learned_placement_meets_its_bounds_against_the_baselines(
    deployment: placement.Deployment,
) -> None:
    runs = {
        name: [placement.run(name, deployment, seed, DURATION_S) for seed in SEEDS]
        for name in ("oracle", "fixed_guard", "learned")
    }
    learned = runs["learned"]
    assert median(r.inside for r in learned) >= 0.96
    ratios = [r.work_s / o.work_s for r, o in zip(learned, runs["oracle"], strict=True)]
    assert median(ratios) >= 0.7
    evictions = median(r.evictions for r in learned)
    assert evictions <= 0.5 * median(r.evictions for r in runs["fixed_guard"])
    assert max(r.urgent_p99 for r in learned) <= 6.1
    assert all(r.overcommitted == 0 for name in runs for r in runs[name])


def test_routing_within_shares_survives_overload() -> None:
    shared, unlimited = routing.run("shortest_wait", 1.5), routing.run("unlimited", 1.5)
    assert shared.most_in_flight <= routing.SLOTS
    assert shared.goodput >= 0.64
    assert shared.goodput >= 10 * unlimited.goodput


def test_routing_tail_latency_at_ordinary_load() -> None:
    assert routing.run("shortest_wait", 0.8).p99 <= 180
    slow = {p: routing.run(p, 0.5, slow=2).p99 for p in ("shortest_wait", "round_robin")}
    assert slow["shortest_wait"] <= 0.8 * slow["round_robin"]
