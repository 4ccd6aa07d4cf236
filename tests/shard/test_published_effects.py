"""Tests which learned interference effects owners publish, and how other hosts merge them."""

from __future__ import annotations

from random import Random

from linkspan.shard.colocation._effect_selector import (
    MAX_PUBLISHED_AS_CHANGED,
    MAX_PUBLISHED_IN_TURN,
    EffectSelector,
)
from linkspan.shard.handover.summary import HallSummary, PairEffect
from linkspan.shard.ownership.owner_record import OwnerAct, OwnerRecord
from linkspan.shard.ownership.ownership import MAX_REMEMBERED_EFFECTS, OwnerView
from linkspan.store.types import Entry

STANDING_IMAGES = 16
BEST_EFFORT_IMAGES = 30
"""Images of the tasks of a hall in the largest simulated deployment."""

MAX_EFFECTS_BYTES = 1_200
"""Limits the effects in a summary: five halls publish one in 1.2 s, and a host is to spend a few
kilobytes per second on all summaries that it follows."""


def pairs(count: int, *, seed: int = 0) -> list[PairEffect]:
    random = Random(seed)
    names = [
        (f"s{s:05x}", f"b{i:05x}")
        for s in range(STANDING_IMAGES)
        for i in range(BEST_EFFORT_IMAGES)
    ]
    return [
        PairEffect(standing, image, random.uniform(0.0, 0.2), 1e-4)
        for standing, image in names[:count]
    ]


def record(offset: int, *effects: PairEffect) -> Entry:
    summary = HallSummary(capacity=1, effects=effects)
    return Entry(offset, OwnerRecord(OwnerAct.RENEW, "a", "a-1", 1, offset, summary).encode())


def test_the_published_effects_of_a_large_hall_stay_short() -> None:
    selector = EffectSelector()
    known = pairs(STANDING_IMAGES * BEST_EFFORT_IMAGES)
    for _ in range(60):
        selected = HallSummary(effects=selector.select(known)).encode()
        bare = HallSummary().encode()
        assert len(str(selected)) - len(str(bare)) <= MAX_EFFECTS_BYTES


def test_each_pair_is_published_in_turn() -> None:
    selector = EffectSelector()
    known = pairs(300)
    rounds = -(-len(known) // MAX_PUBLISHED_IN_TURN)
    selected = {(e.standing, e.image) for _ in range(rounds) for e in selector.select(known)}
    assert len(selected) == len(known)
    again = {(e.standing, e.image) for _ in range(rounds) for e in selector.select(known)}
    assert again == selected


def test_the_most_changed_effects_are_published_at_once() -> None:
    selector = EffectSelector()
    known = pairs(300)
    for _ in range(40):
        selector.select(known)
    changed = known[250:255]
    known[250:255] = [effect._replace(mean=effect.mean + 0.1) for effect in changed]
    selected = {(e.standing, e.image): e for e in selector.select(known)}
    assert [selected[e.standing, e.image].mean for e in changed] == [e.mean + 0.1 for e in changed]
    assert len(selected) <= MAX_PUBLISHED_IN_TURN + MAX_PUBLISHED_AS_CHANGED


def test_a_pair_that_is_no_longer_known_is_not_published() -> None:
    selector = EffectSelector()
    known = pairs(5)
    assert len(selector.select(known)) == 5
    assert set(selector.select(known[:2])) == set(known[:2])
    assert selector.select([]) == ()


def test_a_host_merges_the_effects_of_several_records() -> None:
    view = OwnerView("me", "me-1", home=False)
    first, second, later = pairs(3)
    view.apply(record(0, first, second), 0.0)
    view.apply(record(1, later, first._replace(mean=0.5)), 1.0)
    view.apply(record(2), 2.0)
    assert view.summary
    assert {(e.image, round(e.mean, 4)) for e in view.summary.effects} == {
        (second.image, round(second.mean, 4)),
        (later.image, round(later.mean, 4)),
        (first.image, 0.5),
    }


def test_a_host_keeps_the_newest_of_many_effects() -> None:
    view = OwnerView("me", "me-1", home=False)
    effects = [PairEffect("s", f"{n:06x}", 0.1, 1e-4) for n in range(MAX_REMEMBERED_EFFECTS + 50)]
    for offset, effect in enumerate(effects):
        view.apply(record(offset, effect), 0.0)
    assert view.summary
    assert [e.image for e in view.summary.effects] == [e.image for e in effects[50:]]
