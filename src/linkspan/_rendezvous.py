"""Rendezvous hashing: who tries first, agreed on without talking."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable


def rendezvous(key: str, nodes: Iterable[str]) -> str:
    """Return the node that ranks highest for the key.

    Adding or removing a node moves only the keys that it wins or won
    (Thaler and Ravishankar, 1998).

    Args:
        key: What is to be assigned.
        nodes: The candidates, at least one.

    Example:
        >>> rendezvous("worker-3", ["a"])
        'a'
    """
    return max(nodes, key=lambda node: (weight(key, node), node))


def weight(key: str, node: str) -> int:
    """Return a node's rank for a key, from 0 to 2**64 - 1."""
    return xxh3_64_intdigest(f"{key}\0{node}".encode())
