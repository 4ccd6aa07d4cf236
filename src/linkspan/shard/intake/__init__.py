"""Job intake of a shard: new and changed jobs, due repetitions, and changed queue terms."""
