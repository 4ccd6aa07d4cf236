"""One shard: the executors of a hall, the jobs that live there, their owner."""
