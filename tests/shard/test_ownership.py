"""Tests who owns a shard, when another host claims it, and how long former owners may act."""

from __future__ import annotations

from linkspan.shard.ownership.owner_record import OwnerAct, OwnerRecord
from linkspan.shard.ownership.ownership import (
    MAX_UNPROVED_S,
    OWNER_SILENCE_S,
    RELEASED_CLAIM_DELAY_S,
    REMOTE_OWNER_SILENCE_S,
    RENEWAL_INTERVAL_S,
    Owner,
    OwnerView,
)
from linkspan.store.types import Entry


def entry(offset: int, act: OwnerAct, host: str, *, token: int = 0, incarnation: str = "") -> Entry:
    return Entry(offset, OwnerRecord(act, host, incarnation or f"{host}-life", token).encode())


def view(*, home: bool = True) -> OwnerView:
    return OwnerView("me", "me-life", home=home)


def test_the_token_of_a_claim_is_its_offset_plus_one() -> None:
    seen = view()
    seen.apply(entry(4, OwnerAct.CLAIM, "other"), 0.0)
    assert seen.owner == Owner("other", "other-life", 5)


def test_a_stale_renewal_does_not_keep_an_owner_alive() -> None:
    seen = view()
    seen.apply(entry(0, OwnerAct.CLAIM, "a"), 0.0)
    seen.apply(entry(1, OwnerAct.CLAIM, "b"), 1.0)
    seen.apply(entry(2, OwnerAct.RENEW, "a", token=1), 2.5)
    assert seen.owner and seen.owner.host == "b"
    assert seen.should_claim(1.0 + OWNER_SILENCE_S)


def test_a_home_host_claims_after_silence_and_a_remote_one_later() -> None:
    for home, silence_s in ((True, OWNER_SILENCE_S), (False, REMOTE_OWNER_SILENCE_S)):
        seen = view(home=home)
        seen.apply(entry(0, OwnerAct.CLAIM, "other"), 0.0)
        assert not seen.should_claim(silence_s - 0.01)
        assert seen.should_claim(silence_s)


def test_a_release_frees_the_shard_for_home_hosts() -> None:
    for home in (True, False):
        seen = view(home=home)
        seen.apply(entry(0, OwnerAct.CLAIM, "other"), 0.0)
        seen.apply(entry(1, OwnerAct.RELEASE, "other", token=1), 0.1)
        assert seen.should_claim(0.2) is home


def test_a_released_shard_goes_to_another_hall_if_its_own_does_not_claim_it() -> None:
    seen = view(home=False)
    seen.apply(entry(0, OwnerAct.CLAIM, "other"), 0.0)
    seen.apply(entry(1, OwnerAct.RELEASE, "other", token=1), 0.1)
    assert not seen.should_claim(0.1 + RELEASED_CLAIM_DELAY_S - 0.01)
    assert seen.should_claim(0.1 + RELEASED_CLAIM_DELAY_S)
    seen.apply(entry(2, OwnerAct.CLAIM, "third"), 0.8)
    assert not seen.should_claim(0.8 + REMOTE_OWNER_SILENCE_S - 0.01)


def test_a_previous_incarnation_of_the_own_host_is_replaced_at_once() -> None:
    seen = view()
    seen.apply(entry(0, OwnerAct.CLAIM, "me", incarnation="earlier"), 0.0)
    assert not seen.mine
    assert seen.should_claim(0.1)


def test_an_outage_of_the_own_store_connection_is_not_silence_of_the_owner() -> None:
    seen = view()
    seen.apply(entry(0, OwnerAct.CLAIM, "other"), 0.0)
    seen.on_store_available(6.0)
    assert not seen.should_claim(6.1)
    assert seen.should_claim(6.0 + OWNER_SILENCE_S)


def test_an_owner_whose_claim_is_no_longer_stored_is_known_by_its_renewal() -> None:
    seen = view()
    seen.apply(entry(90, OwnerAct.RENEW, "other", token=12), 0.0)
    assert seen.owner == Owner("other", "other-life", 12)
    assert not seen.should_claim(0.5)


def renewal(offset: int, host: str, *, token: int, number: int, additional: int = 0) -> Entry:
    record = OwnerRecord(OwnerAct.RENEW, host, f"{host}-life", token, number, additional=additional)
    return Entry(offset, record.encode())


def test_a_silent_owner_may_act_for_its_remaining_time() -> None:
    seen = view()
    seen.apply(renewal(9, "other", token=1, number=50), 0.0)
    assert seen.former_owners_remaining_s(4.0) == MAX_UNPROVED_S - 4.0


def test_without_a_known_owner_a_former_owner_may_have_its_full_time_left() -> None:
    seen = view()
    assert seen.former_owners_remaining_s(0.0) == MAX_UNPROVED_S


def test_the_owner_before_a_previous_incarnation_of_this_host_counts() -> None:
    seen = view()
    seen.apply(entry(9, OwnerAct.CLAIM, "other"), 0.0)
    seen.apply(entry(10, OwnerAct.CLAIM, "me", incarnation="me-first"), 3.0)
    assert seen.former_owners_remaining_s(4.0) == MAX_UNPROVED_S - 4.0


def test_after_a_long_tenure_of_a_previous_incarnation_no_former_owner_has_time_left() -> None:
    seen = view()
    renewals = int(MAX_UNPROVED_S / RENEWAL_INTERVAL_S) + 2
    seen.apply(renewal(9, "me", token=1, number=renewals), 0.0)
    assert seen.former_owners_remaining_s(0.0) == 0.0


# Guards against summaries between two renewals that make a tenure seem older than it is.
def test_additional_records_do_not_add_to_the_age_of_a_tenure() -> None:
    seen = view()
    seen.apply(renewal(19, "me", token=1, number=2, additional=18), 0.0)
    assert seen.former_owners_remaining_s(0.0) == MAX_UNPROVED_S - RENEWAL_INTERVAL_S


# Guards against a long wait after summaries between renewals, as if others had written them.
def test_additional_records_are_those_of_the_tenure() -> None:
    seen = view()
    renewals = int(MAX_UNPROVED_S / RENEWAL_INTERVAL_S) + 2
    seen.apply(renewal(renewals + 3, "me", token=1, number=renewals, additional=3), 0.0)
    assert seen.former_owners_remaining_s(0.0) == 0.0


def test_a_previous_incarnation_known_by_its_claim_alone_may_have_followed_another_owner() -> None:
    seen = view()
    seen.apply(entry(9, OwnerAct.CLAIM, "me", incarnation="me-first"), 0.0)
    assert seen.former_owners_remaining_s(1.0) == MAX_UNPROVED_S - 1.0


def test_a_late_renewal_does_not_hide_the_owner_from_a_host_that_starts_later() -> None:
    """A starting host reads only the last records, the first of which is of an earlier tenure."""
    seen = view()
    seen.apply(renewal(20, "me", token=3, number=9), 0.0)
    seen.apply(renewal(21, "other", token=18, number=2), 0.0)
    assert seen.owner == Owner("other", "other-life", 18)
    assert seen.former_owners_remaining_s(1.0) == MAX_UNPROVED_S - 1.0


def test_a_late_renewal_does_not_restore_a_released_tenure() -> None:
    seen = view()
    seen.apply(entry(4, OwnerAct.CLAIM, "other"), 0.0)
    seen.apply(entry(5, OwnerAct.RELEASE, "other", token=5), 1.0)
    seen.apply(renewal(6, "other", token=5, number=1), 1.5)
    assert seen.owner is None
