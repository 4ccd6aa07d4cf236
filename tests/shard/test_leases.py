"""Tests that a lease is never declared expired while it may still be valid at its executor."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from linkspan.shard.leases import CLOCK_DRIFT, LeaseClock, inherited_lease_expiry

times = st.floats(0, 100)


@given(
    rate=st.floats(1 - CLOCK_DRIFT, 1.0),
    skew=st.floats(-1_000, 1_000),
    lease_s=st.floats(0.5, 20),
    heard=times,
    delay=st.floats(0, 2),
    later=st.floats(0, 30),
)
def test_no_lease_outlasts_its_lapse(
    *, rate: float, skew: float, lease_s: float, heard: float, delay: float, later: float
) -> None:
    """The executor's clock runs up to 2% slow and its answers take time to come."""

    def clock_at(now: float) -> float:
        return skew + rate * now

    lease = LeaseClock(clock_at(heard), heard + delay, clock_at(heard))
    lease.grant(lease_s, heard + delay + later)
    lapsed = lease.leases_expired_at()
    assert clock_at(lapsed) >= lease.granted_s


@given(times, times)
def test_grants_never_shorten(first: float, second: float) -> None:
    lease = LeaseClock(0.0, 0.0, 0.0)
    lease.grant(10.0, first)
    before = lease.granted_s
    lease.grant(1.0, second)
    assert lease.granted_s >= before


def test_an_inherited_lease_expires_after_its_owner_can_no_longer_renew_it() -> None:
    assert inherited_lease_expiry(100.0, 10.0, 9.8) >= 100.0 + 10.0 + 9.8 / 0.98
