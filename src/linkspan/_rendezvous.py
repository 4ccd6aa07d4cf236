"""Rendezvous hashing, by which hosts assign keys consistently without communication."""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


def rendezvous(key: str, nodes: Iterable[str]) -> str:
    """Return the node with the highest weight for a key.

    Adding or removing a node moves only the keys that are assigned to that node (Thaler and
    Ravishankar, 1998).

    Args:
        key: Key to assign to a node.
        nodes: Candidate nodes, at least one.

    Example:
        >>> rendezvous("worker-3", ["a"])
        'a'
    """
    return max(nodes, key=lambda node: (weight(key, node), node))


def weight(key: str, node: str) -> int:
    """Return a node's weight for a key, from 0 to 2**64 - 1."""
    return xxh3_64_intdigest(f"{key}\0{node}".encode())


def order_by_shares(key: str, shares: Mapping[str, float]) -> list[str]:
    """Return nodes in an order that depends on a key and on the nodes' shares.

    Of many keys, each node comes first for its share of them; with other shares, few keys change
    (weighted rendezvous hashing, Schindelhauer and Schomaker, 2005).

    Args:
        key: Key to order the nodes for.
        shares: Share of each node, greater than 0; relative to one another.
    """

    def distance(node: str) -> tuple[float, str]:
        uniform = (weight(key, node) + 1) / 2**64
        return -log(uniform) / shares[node], node

    return sorted(shares, key=distance)
