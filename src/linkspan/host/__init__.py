"""A host's daemon: entry for callers, job records, ownership of a shard."""
