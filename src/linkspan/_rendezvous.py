"""Rendezvous hashing, by which hosts assign keys consistently without communication."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable


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
