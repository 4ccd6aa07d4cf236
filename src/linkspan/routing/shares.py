"""Divides the executors' slots among a hall's gateways without central coordination.

Each gateway computes the division from its own view of the members and publishes that
view in its heartbeats. :class:`ShareTable` decides which slots may be used meanwhile.
"""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


@lru_cache(maxsize=8_192)
def slot_owners(executor: str, slots: int, members: frozenset[str]) -> tuple[str, ...]:
    """Return the owner of each of an executor's slots.

    Uses rendezvous hashing: each slot goes to the highest-ranking member that has not
    yet reached its even part of this executor's slots, so that a change of members
    moves few slots.

    Args:
        executor: Name of the executor.
        slots: Number of its slots.
        members: Gateways among which the slots are divided; not empty.
    """
    max_per_member = -(-slots // len(members))
    counts = dict.fromkeys(members, 0)
    owners: list[str] = []
    for slot in range(slots):
        free = [member for member in members if counts[member] < max_per_member]
        owner = max(free, key=lambda member: (_rank(executor, slot, member), member))
        counts[owner] += 1
        owners.append(owner)
    return tuple(owners)


def _rank(executor: str, slot: int, member: str) -> int:
    return xxh3_64_intdigest(f"{executor}\0{slot}\0{member}".encode())


def division_digest(members: Iterable[str]) -> int:
    """Return the digest with which peers confirm a division among ``members``."""
    return xxh3_64_intdigest("\0".join(sorted(members)).encode())


class Division(NamedTuple):
    """The division of slots that a peer last published.

    Attributes:
        members: Gateways among which the peer divides the slots.
        confirmed: Digest of each gateway's division that the peer confirms. The peer
            confirms only while its requests in flight fit its own share.
    """

    members: frozenset[str]
    confirmed: Mapping[str, int]


class ShareTable:
    """Decides which slots this gateway may use.

    A gateway uses a slot only if it owns the slot in its own division and no peer
    owns the slot in the division that the peer last published. A division that gives
    this gateway more slots takes effect only after every other member has confirmed
    it and thereby given those slots up. A silent member therefore keeps its slots
    until it is removed from the members.

    Args:
        name: Name of this gateway.
        fresh_s: Maximum time between two calls of :meth:`tick`. After a longer
            freeze the gateway uses no slots and starts over like a new gateway.
        start_delay_s: Time for which a gateway that starts (over) collects heartbeats
            before it uses a slot; at least the delay with which the host list shows
            new hosts.
    """

    def __init__(self, name: str, *, fresh_s: float = 5.0, start_delay_s: float = 3.0) -> None:
        self._name = name
        self._fresh_s = fresh_s
        self._start_delay_s = start_delay_s
        self._started_at = float("inf")
        self._members: frozenset[str] = frozenset()
        self._confirmed_members: frozenset[str] | None = None
        self._peers: dict[str, Division] = {}
        self._last_tick = float("-inf")
        self._share_cache: dict[tuple[str, int], int] = {}

    def __repr__(self) -> str:
        confirmed = self._confirmed_members == self._members
        return f"ShareTable({self._name!r}, members={len(self._members)}, confirmed={confirmed})"

    @property
    def members(self) -> frozenset[str]:
        """Gateways among which this gateway divides the slots, including itself."""
        return self._members

    @property
    def is_confirmed(self) -> bool:
        """Whether all members have confirmed the current division."""
        return self._confirmed_members == self._members

    def set_members(self, other_members: Iterable[str]) -> None:
        """Divide the slots among this gateway and ``other_members``."""
        self._members = frozenset({self._name, *other_members})
        self._peers = {
            peer: division for peer, division in self._peers.items() if peer in self._members
        }
        self._settle()

    def hear(self, peer: str, division: Division) -> None:
        """Apply the division that a peer published; non-members are ignored."""
        if peer in self._members and peer != self._name:
            self._peers[peer] = division
            self._settle()

    def tick(self, now: float) -> None:
        """Record that this gateway runs; start over after a freeze.

        Args:
            now: Time in seconds.
        """
        if now - self._last_tick > self._fresh_s:
            self._confirmed_members = None
            self._peers.clear()
            self._started_at = now
        self._last_tick = now
        if not self.is_confirmed:
            self._settle()

    def heard(self, *, fits: bool) -> dict[str, int]:
        """Return the digest of each peer's division that this gateway confirms.

        Args:
            fits: Whether this gateway's requests in flight fit its current shares;
                otherwise it confirms nothing.
        """
        if not fits:
            return {}
        return {peer: division_digest(division.members) for peer, division in self._peers.items()}

    def share(self, executor: str, slots: int, now: float) -> int:
        """Return how many of an executor's slots this gateway may use now.

        Args:
            executor: Name of the executor.
            slots: Number of its slots.
            now: Time in seconds.
        """
        if self._confirmed_members is None or now - self._last_tick > self._fresh_s:
            return 0
        cached = self._share_cache.get((executor, slots))
        if cached is None:
            cached = self._share_cache[executor, slots] = self._count(
                executor, slots, self._confirmed_members
            )
        return cached

    def _count(self, executor: str, slots: int, confirmed_members: frozenset[str]) -> int:
        member_sets = [(self._name, self._members), (self._name, confirmed_members)]
        own_owners = [slot_owners(executor, slots, members) for _, members in member_sets]
        peer_owners = [
            (peer, slot_owners(executor, slots, division.members))
            for peer, division in self._peers.items()
            if division.members
        ]
        return sum(
            all(owners[slot] == self._name for owners in own_owners)
            and all(owners[slot] != peer for peer, owners in peer_owners)
            for slot in range(slots)
        )

    def _settle(self) -> None:
        """Clear cached shares, and adopt the current division if all members confirm it."""
        self._share_cache.clear()
        if not self._members or self._last_tick - self._started_at < self._start_delay_s:
            return
        digest = division_digest(self._members)
        other_members = self._members - {self._name}
        confirmed = all(
            peer in self._peers and self._peers[peer].confirmed.get(self._name) == digest
            for peer in other_members
        )
        if confirmed:
            self._confirmed_members = self._members
