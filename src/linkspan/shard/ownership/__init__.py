"""Who owns a shard, and how long a tenure may act on it."""
