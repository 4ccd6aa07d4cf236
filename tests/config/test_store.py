"""The configuration store: its version never decreases, whatever order changes arrive in.

A host reads changes from a stream and adopts newer states from peers. Guards against a host that
returns to an older version, and against a change that overwrites another one on the same key.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.config.store import (
    Change,
    ChangeResult,
    ConfigState,
    ConfigStore,
    decode_config,
    encode_change,
    encode_state,
)

QUOTA = {"milli_cpu": 1_000, "memory_mb": 1_000}


def _change(change_id: str, base: int, *keys: str, **more: object) -> bytes:
    return encode_change(Change(change_id, base, "ana", dict.fromkeys(keys, QUOTA), **more))


def test_first_of_two_racing_changes_wins_and_the_other_gets_the_conflicts() -> None:
    store = ConfigStore()
    assert store.apply(0, _change("a", 0, "quotas/maps")) == ChangeResult(True, 1)
    rejected = store.apply(1, _change("b", 0, "quotas/maps", "quotas/feeds"))
    reason = "changed since version 0; read these keys and submit the change again"
    assert rejected == ChangeResult(False, 1, reason, ("quotas/maps",))
    assert "quotas/feeds" not in store.state.document


def test_changes_of_other_keys_on_an_old_base_are_both_accepted() -> None:
    store = ConfigStore()
    store.apply(0, _change("a", 0, "quotas/maps"))
    assert store.apply(1, _change("b", 0, "quotas/feeds")) == ChangeResult(True, 2)


def test_same_change_twice_is_one_change() -> None:
    store = ConfigStore()
    first = store.apply(0, _change("a", 0, "quotas/maps"))
    assert store.apply(1, _change("a", 0, "quotas/maps")) == first
    assert store.version == 1


def test_change_with_an_invalid_key_is_refused_completely() -> None:
    store = ConfigStore()
    body = encode_change(Change("a", 0, "ana", {"quotas/maps": QUOTA, "quota/x": QUOTA}))
    result = store.apply(0, body)
    assert result is not None and not result.accepted
    assert result.reason.startswith("quota/x: unknown section")
    assert store.state.document == {}


def test_removed_key_conflicts_like_a_changed_one() -> None:
    store = ConfigStore()
    store.apply(0, _change("a", 0, "quotas/maps"))
    store.apply(1, encode_change(Change("b", 1, "ana", {}, ("quotas/maps",))))
    rejected = store.apply(2, _change("c", 1, "quotas/maps"))
    assert rejected is not None and rejected.conflicts == ("quotas/maps",)


def test_malformed_record_on_the_stream_is_skipped() -> None:
    store = ConfigStore()
    assert store.apply(0, b"\xff{") is None
    assert store.apply(1, _change("a", 0, "quotas/maps")) == ChangeResult(True, 2)


CHANGES = st.lists(
    st.builds(
        lambda n, base, key: (f"c{n}", base, f"quotas/{key}"),
        st.integers(0, 30),
        st.integers(0, 12),
        st.sampled_from("abc"),
    ),
    max_size=14,
)


@settings(derandomize=True, database=None)
@given(CHANGES, st.lists(st.tuples(st.integers(0, 14), st.integers(0, 14)), max_size=10))
def test_hosts_agree_and_never_go_back(
    changes: list[tuple[str, int, str]], hops: list[tuple[int, int]]
) -> None:
    """One host reads it all; another gets states from peers, late and mixed up."""
    bodies = [_change(*change) for change in changes]
    reader, states = ConfigStore(), [ConfigState()]
    for offset, body in enumerate(bodies):
        reader.apply(offset, body)
        states.append(reader.state)
    other, versions = ConfigStore(), [0]
    for adopted, read_to in hops:
        state = states[min(adopted, len(states) - 1)]
        decoded = decode_config(encode_state(state))
        assert isinstance(decoded, ConfigState)
        other.adopt(decoded)
        versions.append(other.version)
        for offset in range(other.next_offset, min(read_to, len(bodies))):
            other.apply(offset, bodies[offset])
        versions.append(other.version)
    assert versions == sorted(versions)
    for offset in range(other.next_offset, len(bodies)):
        other.apply(offset, bodies[offset])
    assert other.state.version == reader.state.version
    assert dict(other.state.document) == dict(reader.state.document)
