"""Ownership of a shard, and how long a tenure may act on it."""
